// Package placement decides which target owns which slice and which VMs
// dispatch to which target.
//
// Every function is pure: the same inputs give the same result, on every node
// and in every run. Guarantees of the transitions (transition.go), whatever
// their order: a slice changes its owner only by an accepted release; fences
// never fall; a fence is never reserved for two targets; the partners of a
// target change again only after their handover is complete, except in a
// forced recovery.
package placement

import (
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/zeebo/xxh3"
)

// Target is a target as placement sees it.
type Target struct {
	Name          string
	FailureDomain string
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Speed is the measured service rate relative to the target's usual one;
	// 0 means that nothing was measured.
	Speed float64
	// Lost is set while the target's dispatcher holds it for dead.
	Lost bool
	// ColdLimit is the number of requests that a cold target may have in
	// flight; 0 means that the target is warm.
	ColdLimit int
	// Busy is the mean number of requests in flight.
	Busy float64
	// Leaving is set when the target is drained, when its failure domain is
	// out, or when the manifest no longer has it.
	Leaving bool
}

// Usable reports whether the target may be given slices.
func (t *Target) Usable() bool { return !t.Lost && !t.Leaving }

// Capacity returns the number of slots at usual speed that the target is worth;
// 0 if it is not usable.
func (t *Target) Capacity() float64 {
	if !t.Usable() {
		return 0
	}
	slots := float64(t.Slots)
	if t.ColdLimit > 0 {
		slots = min(slots, float64(t.ColdLimit))
	}
	if t.Speed > 0 {
		slots *= t.Speed
	}
	return slots
}

// VM is an entry VM that may hold dispatch rights.
type VM struct {
	Holder        assignment.Holder
	FailureDomain string
}

// coldHeadroom is the share of a cold target's limit up to which it bears its load.
const coldHeadroom = 0.5

// bearsLoad reports whether the target is cold and still not short of slots.
// Cold is often over in seconds, before what was moved off could return.
func (t *Target) bearsLoad() bool {
	return t.ColdLimit > 0 && t.Busy <= coldHeadroom*float64(t.ColdLimit)
}

// weight is the rendezvous weight of a candidate for a purpose.
func weight(purpose, candidate string) uint64 {
	return xxh3.HashString(purpose + "\x00" + candidate)
}

// findTarget returns the target of a list sorted by name, or nil.
func findTarget(targets []Target, name string) *Target {
	i := sort.Search(len(targets), func(i int) bool { return targets[i].Name >= name })
	if i == len(targets) || targets[i].Name != name {
		return nil
	}
	return &targets[i]
}
