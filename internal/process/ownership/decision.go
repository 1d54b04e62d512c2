package ownership

import "github.com/chestnutcourse/chestnutcourse/api/peerv1"

// decisionKind is a kind of decision; each has a numbered event.
type decisionKind int

const (
	granted decisionKind = iota
	grantRefused
	targetSuspected
	targetGone
	targetFound
	released
	acceptedRelease
	dispatcherSuspected
	suspicionEnded
	tookOver
	handoverBegun
	handoverAccepted
	recoveryBegun
	tenureEnded
	movePostponed
)

// decision is one decision of the protocol, for the log. Fields that do not
// apply are zero.
type decision struct {
	kind        decisionKind
	target      string
	epoch       uint64
	nextEpoch   uint64
	vm          string
	slice       *peerv1.SliceRef
	owner       string
	fence       uint64
	next        string
	nextFence   uint64
	setNumber   uint64
	count       int
	incarnation string
	reason      string
	loss        bool
}
