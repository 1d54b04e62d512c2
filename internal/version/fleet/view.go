package fleet

import (
	"reflect"
	"sort"
	"time"
)

// Keys is the number of keys of a keyed service.
const Keys = 65536

// Life identifies one incarnation of a target, that is one run of its process. When a
// target restarts under its name, the new incarnation holds none of the keys of the
// former one.
type Life struct {
	// ID is the target's name.
	ID string `json:"id"`
	// Born is the start of the process in milliseconds since the Unix epoch.
	Born int64 `json:"born"`
}

// Target is a server that executes requests of a service.
type Target struct {
	Life
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Slots is the largest number of requests that the target executes concurrently.
	Slots int
	// Leaving is set once the target has announced its shutdown or its registration
	// has been removed.
	Leaving bool
	// ColdUntil is when the target stops being cold, on this VM's clock.
	ColdUntil time.Time
}

// Slice is a range of keys and its owner.
type Slice struct {
	// First and Last are the first and last key, both inclusive.
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
	Owner Life   `json:"owner"`
	// Fence is the fencing token of the slice. It rises whenever a key of the slice
	// changes its owner or the owner changes its process. Only the leader knows the
	// current one.
	Fence uint64 `json:"fence"`
	// FormerOwners may still hold keys of the slice. It is granted to its owner only
	// once there are none.
	FormerOwners []Life `json:"from,omitempty"`
	// Ready is set while the owner confirms its grants. It is not stored in the record.
	Ready bool `json:"-"`
}

// Contains reports whether the key is in the slice.
func (s *Slice) Contains(key uint16) bool { return s.First <= key && key <= s.Last }

// Find returns the slice that contains the key, or nil. The slices are sorted by key.
func Find(slices []Slice, key uint16) *Slice {
	i := sort.Search(len(slices), func(i int) bool { return slices[i].Last >= key })
	if i == len(slices) || !slices[i].Contains(key) {
		return nil
	}
	return &slices[i]
}

// WholeCore is the value of Member.Processor for one whole core.
const WholeCore = 1000

// Member is one process of the router on a VM.
type Member struct {
	// VM is the VM's name.
	VM string `json:"vm"`
	// Incarnation identifies the process; it changes with every restart.
	Incarnation string `json:"incarnation"`
	// Address is the address for connections of other VMs.
	Address string `json:"address"`
	// Processor is the processor time that the VM has, in thousandths of a core.
	Processor uint32 `json:"processor,omitempty"`
	// FailureDomain is the failure domain that the VM is in.
	FailureDomain string `json:"failureDomain,omitempty"`
}

// View is a snapshot of what a VM knows.
type View struct {
	// Config is nil until a configuration is known.
	Config  *Config
	Targets map[string]*Target
	// Evacuated are the failure domains whose targets get no new requests.
	Evacuated map[string]bool
	// Slices are the slices of each keyed service, sorted by key.
	Slices map[string][]Slice
	// Term and Leader identify the leader that this VM follows.
	Term   uint64
	Leader Member
	// Members are the VMs that the leader knows, including itself, by name.
	Members map[string]Member
	// Brokers maps a service to the VM that issues its permits.
	Brokers map[string]string
}

// Usable reports whether new requests may be sent to the target.
func (v *View) Usable(t *Target) bool {
	return t != nil && !t.Leaving && !v.Evacuated[t.FailureDomain]
}

// SameTargets reports whether another view has the same configuration, targets and
// evacuations. Views are immutable once published, so it compares pointers instead of
// contents.
func (v *View) SameTargets(other *View) bool {
	return v.Config == other.Config && sameMap(v.Targets, other.Targets) && sameMap(v.Evacuated, other.Evacuated)
}

// SameMembers reports whether another view has the same VMs.
func (v *View) SameMembers(other *View) bool { return sameMap(v.Members, other.Members) }

func sameMap[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// Record is the object in the store that names the leader and the owners of keys. It
// is changed only by conditional writes.
type Record struct {
	// Term rises with each change of the leader.
	Term   uint64 `json:"term"`
	Leader Member `json:"leader"`
	// Write numbers the leader's writes, so that it recognizes its own write after the
	// store's answer was lost.
	Write uint64 `json:"write"`
	// LastFence is the highest fence that the leader may issue.
	LastFence uint64 `json:"lastFence"`
	// Slices are the slices of each keyed service, sorted by key.
	Slices map[string][]Slice `json:"slices,omitempty"`
	// Era is the era of the store in which the record was written; empty if the store names
	// none. In a copy from which the store has been restored, it is a past one.
	Era string `json:"era,omitempty"`
	// Recovering is set from the first write in an era until no leader that lost writes may
	// have named can have a grant in force.
	Recovering bool `json:"recovering,omitempty"`
}

// Load is the load that a target reports.
type Load struct {
	// Running and Waiting count the requests that are executed and queued; Slots is
	// the largest number that is executed concurrently.
	Running, Waiting, Slots int
	// Pace is how long work currently takes, in percent of the usual time; 0 if the
	// target does not report it.
	Pace int
}
