package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

const (
	// drainPatience is how long a planned move holds new requests while it waits
	// for those in flight. A request that runs longer, like an upload, postpones
	// the move instead of keeping the slice's other requests waiting.
	drainPatience = 500 * time.Millisecond
	// postponement is the time until a postponed move is tried again.
	postponement = 2 * time.Second
)

// withdrawal takes one piece away from its owner, so that it can be released.
type withdrawal struct {
	piece     piece
	next      string
	nextFence uint64
	// since is when the withdrawal began.
	since time.Duration
	// loss is set when the owner is lost, unset for a planned move.
	loss bool
	// out is set once the piece has left the owner's set; number is the first
	// set without it and end the latest end of a grant with it.
	out    bool
	number uint64
	end    time.Duration
	// revoked is set when the target has confirmed the revocation.
	revoked bool
}

// advanceWithdrawals begins withdrawals and releases what has been withdrawn.
func (m *machine) advanceWithdrawals(t *tenure) {
	if !t.leaseValid(m.now) || len(t.inquiries) > 0 || m.now < t.grantsFrom {
		return
	}
	m.beginWithdrawals(t)
	for _, w := range slices.Clone(t.withdrawals) {
		m.advanceWithdrawal(t, w)
	}
}

// beginWithdrawals withdraws moving slices, and every slice of a lost target.
func (m *machine) beginWithdrawals(t *tenure) {
	lost := t.grants.state == targetLost
	for _, p := range t.grants.desired {
		recorded := m.record.recorded(t.cell, &p.slice)
		if recorded == nil || recorded.Owner != t.target || recorded.Fence != p.fence {
			continue
		}
		if !lost && (!recorded.Moving || m.now < t.postponed[p.slice]) || !m.hasNext(recorded) || t.withdrawing(&p.slice) {
			continue
		}
		w := &withdrawal{piece: p, next: recorded.Next, nextFence: recorded.NextFence, since: m.now, loss: lost}
		t.withdrawals = append(t.withdrawals, w)
		m.changed = true
	}
}

// hasNext reports whether the record names a next owner with dispatch rights.
func (m *machine) hasNext(s *assignment.Slice) bool {
	return s.Next != "" && s.Next != s.Owner && m.record.rightsOf(s.Next) != nil
}

func (t *tenure) withdrawing(s *assignment.Slice) bool {
	return slices.ContainsFunc(t.withdrawals, func(w *withdrawal) bool { return overlap(&w.piece.slice, s) })
}

func (m *machine) advanceWithdrawal(t *tenure, w *withdrawal) {
	if !w.out && m.drained(t, w) {
		w.out = true
		w.end = t.grants.lastEnd
		m.refreshDesired(t)
		w.number = t.grants.setNumber
	}
	if !w.out && !w.loss && m.now-w.since >= drainPatience {
		m.postpone(t, w)
		return
	}
	if w.out && m.withdrawn(t, w) {
		t.endWithdrawal(w)
		m.makeRelease(t, w)
		m.refreshDesired(t)
	}
}

// postpone gives up a planned move for now: the owner goes on serving.
func (m *machine) postpone(t *tenure, w *withdrawal) {
	t.endWithdrawal(w)
	for slice, until := range t.postponed {
		if m.now >= until {
			delete(t.postponed, slice)
		}
	}
	t.postponed[w.piece.slice] = m.now + postponement
	m.changed = true
	m.out.decide(decision{kind: movePostponed, target: t.target, epoch: t.epoch, slice: refOfSlice(t.cell, &w.piece.slice), fence: w.piece.fence, next: w.next, nextFence: w.nextFence})
}

func (t *tenure) endWithdrawal(w *withdrawal) {
	t.withdrawals = slices.DeleteFunc(t.withdrawals, func(other *withdrawal) bool { return other == w })
}

// drained reports whether no request for the piece is in flight any more. A
// planned move looks only after the traffic side has been told to hold new
// requests. The requests of a lost target that checks fences need not be awaited, nor those
// of a target whose process is gone.
func (m *machine) drained(t *tenure, w *withdrawal) bool {
	if t.grants.state == targetLost && (!m.record.targets[t.target].unchecked || t.grants.refusedSince != 0) {
		return true
	}
	return m.now > w.since && t.inherited == 0 && m.in.inFlight(t.target, &w.piece.slice) == 0
}

// withdrawn reports whether the target no longer holds the piece: it has
// confirmed a later set after the revocation, or every grant has lapsed.
func (m *machine) withdrawn(t *tenure, w *withdrawal) bool {
	if m.off.noGrantWait || t.grants.state == targetLost {
		return true
	}
	if w.revoked && t.grants.confirmedNumber >= w.number {
		return true
	}
	return !m.record.targets[t.target].hold && m.now >= w.end+timing.DriftMargin
}
