package fleet

import (
	"reflect"
	"sort"
	"time"
)

// Keys is the number of keys of a keyed service.
const Keys = 65536

// Life is a target in one life of its process. A target that starts again
// under its name holds nothing of before.
type Life struct {
	ID string `json:"id"`
	// Born is the target's start in milliseconds since the Unix epoch.
	Born int64 `json:"born"`
}

// Target is a server that runs requests.
type Target struct {
	Life
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving is set once the target has announced its end or its entry has
	// been removed.
	Leaving bool
	// ColdUntil is when the target stops being cold, on this VM's clock.
	ColdUntil time.Time
}

// Slice is a range of keys with its owner.
type Slice struct {
	// First and Last are inclusive.
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
	Owner Life   `json:"owner"`
	// Fence rises with every change of the owner of a key, and with every change of
	// the process that has it. Only the leader knows the present one.
	Fence uint64 `json:"fence"`
	// From are the former owners that may still hold keys of the slice. The
	// owner is granted the slice only once there is none.
	From []Life `json:"from,omitempty"`
	// Ready is set while the owner confirms its grants. It is not kept.
	Ready bool `json:"-"`
}

// Contains reports whether the slice has the key.
func (s *Slice) Contains(key uint16) bool { return s.First <= key && key <= s.Last }

// Find returns the slice that contains the key in a list sorted by key, or nil.
func Find(slices []Slice, key uint16) *Slice {
	i := sort.Search(len(slices), func(i int) bool { return slices[i].Last >= key })
	if i == len(slices) || !slices[i].Contains(key) {
		return nil
	}
	return &slices[i]
}

// WholeCore is one core in the unit of Member.Processor.
const WholeCore = 1000

// Member is a VM of the system.
type Member struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Address is where other VMs connect.
	Address string `json:"address"`
	// Processor is the VM's part of a processor, in thousandths of a core (WholeCore).
	Processor uint32 `json:"processor,omitempty"`
	// FailureDomain is where the VM is.
	FailureDomain string `json:"failureDomain,omitempty"`
}

// View is what a VM knows at one moment.
type View struct {
	// Config is nil until a configuration is known.
	Config  *Config
	Targets map[string]*Target
	// Evacuated are the failure domains whose targets get no requests.
	Evacuated map[string]bool
	// Slices are the slices of the keyed services, sorted by key.
	Slices map[string][]Slice
	// Term and Leader are of the leader that this VM follows.
	Term   uint64
	Leader Member
	// Members are the VMs that the leader knows, by name.
	Members map[string]Member
	// Brokers maps a service to the VM that gives out its permits.
	Brokers map[string]string
}

// Usable reports whether new requests may be sent to the target.
func (v *View) Usable(t *Target) bool {
	return t != nil && !t.Leaving && !v.Evacuated[t.FailureDomain]
}

// SameTargets reports whether another view has the configuration, the targets and
// the evacuations of this one. Views are not changed once they are published, so
// that it compares identities.
func (v *View) SameTargets(other *View) bool {
	return v.Config == other.Config && sameMap(v.Targets, other.Targets) && sameMap(v.Evacuated, other.Evacuated)
}

func sameMap[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// Record is what the store keeps of the leader and of the owners of keys. It
// is changed only by conditional writes.
type Record struct {
	// Term rises with each change of the leader.
	Term   uint64 `json:"term"`
	Leader Member `json:"leader"`
	// Write numbers the writes of the leader, to recognise its own after a lost answer.
	Write uint64 `json:"write"`
	// LastFence is the highest fence that the leader may give out.
	LastFence uint64 `json:"lastFence"`
	// Slices are the slices of the keyed services, sorted by key.
	Slices map[string][]Slice `json:"slices,omitempty"`
}

// Load is a target's word on its load.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the moment, in percent of the usual; 0 if
	// the target does not say.
	Pace int
}
