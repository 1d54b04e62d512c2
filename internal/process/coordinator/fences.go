package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// fenceReserve is the number of fences that a leader may assign between two writes
// of the record: several for each slice of a large fleet.
const fenceReserve = 1 << 14

// fenceRange is the range of fences that a leader may still assign. The record holds the
// last one, so that the next leader starts above it.
//
// Guarantee: no fence is accepted by two processes. A leader assigns each slice a new
// fence when it takes over, and another one when a grant needs a higher one or the owner
// refuses requests. In between it sends the fence only over the connection on which the owner's
// process accepted it.
//
// A new fence for the same owner is not written to the record first: the grant reaches
// either the process that has the keys, or the next process of the same target, which
// accepts them at a higher fence. A leader that has been replaced, however, may not know
// that the keys have moved, and neither does that next process. So such a fence is sent
// only after the leader has been confirmed again.
type fenceRange struct{ next, last uint64 }

// fencesAfter returns the fences of a leader that takes over the given record.
func fencesAfter(former *fleet.Record) fenceRange {
	slices := 0
	for _, list := range former.Slices {
		slices += len(list)
	}
	return fenceRange{next: former.LastFence + 1, last: former.LastFence + uint64(slices) + fenceReserve}
}

// reserved returns the last fence that the next write of the record reserves.
func (f *fenceRange) reserved() uint64 { return max(f.last, f.next+fenceReserve) }

// allocate returns the next fence. A move to which it is assigned begins only after a
// record that reserves the fence has been written.
func (f *fenceRange) allocate() uint64 {
	f.next++
	return f.next - 1
}

// refence assigns a new fence to a slice and keeps what is known of the slice. The fence
// is not sent before this VM has been confirmed as the leader at or after the given
// uptime; 0 means that no confirmation is needed. It reports false if no fence is left
// until the next write of the record.
func (lt *leaseTable) refence(s *fleet.Slice, minConfirmed time.Duration) bool {
	if lt.fences.next > lt.fences.last {
		return false
	}
	old := *s
	s.Fence = lt.fences.allocate()
	if minConfirmed != 0 {
		lt.minConfirmedUptime[s.Fence] = minConfirmed
	}
	if handover, known := lt.handovers[old.Fence]; known {
		lt.handovers[s.Fence] = handover
	}
	rekey(lt.confirmedAt, idOf(&old), idOf(s))
	rekey(lt.readySince, idOf(&old), idOf(s))
	return true
}

// provesLaterLeader reports whether a target that refuses a grant because its fence is too low proves
// that there is a later leader. It does if the grant had the slice's current fence, since
// this leader has assigned no higher one to these keys.
func (lt *leaseTable) provesLaterLeader(t task) bool {
	s := lt.findSlice(t.order)
	return s != nil && s.Last == t.slice.Last && s.Owner == t.target && len(s.FormerOwners) == 0
}

// handleConflict assigns a new fence to a slice after a grant that needs a higher one, and
// returns it; 0 if none was assigned. The next grant is sent without a pause if a renewal
// found its connection lost. It waits if the target refused the fence, because this
// leader may have been replaced.
func (lt *leaseTable) handleConflict(t task, refused bool, now time.Time, uptime time.Duration) uint64 {
	s := lt.findSlice(t.order)
	if s == nil || !lt.refence(s, uptime) {
		return 0
	}
	if refused {
		t.fence = s.Fence
		lt.retryAt[t.order] = now.Add(orderRetryDelay)
	}
	return s.Fence
}

// rekey changes the key of an entry, if there is one.
func rekey(times map[sliceID]time.Time, oldID, newID sliceID) {
	if at, known := times[oldID]; known {
		times[newID] = at
		delete(times, oldID)
	}
}
