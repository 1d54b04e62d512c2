package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// fenceReserve is the number of fences that a leader may assign between two writes
// of the record: several for each slice of a large fleet.
const fenceReserve = 1 << 14

// fences is the range of fences that a leader may still assign. The record holds the
// last one, so that the next leader starts above it.
//
// Guarantee: no fence is accepted by two processes. A leader assigns each slice a new
// fence when it takes over, and another one when a grant fails in a way that calls for
// it. In between it sends the fence only over the connection on which the owner's
// process accepted it.
//
// A new fence for the same owner is not written to the record first: the grant reaches
// either the process that has the keys, or the next process of the same target, which
// accepts them at a higher fence. A leader that has been replaced, however, may not know
// that the keys have moved, and neither does that next process. So such a fence is sent
// only after the leader has been confirmed again.
type fences struct{ next, last uint64 }

// fencesAfter returns the fences of a leader that takes over the given record.
func fencesAfter(former *fleet.Record) fences {
	slices := 0
	for _, list := range former.Slices {
		slices += len(list)
	}
	return fences{next: former.LastFence + 1, last: former.LastFence + uint64(slices) + fenceReserve}
}

// reserved returns the last fence that the next write of the record reserves.
func (f *fences) reserved() uint64 { return max(f.last, f.next+fenceReserve) }

// plan assigns a fence to a move. The move begins only after a record that reserves
// the fence has been written.
func (f *fences) plan() uint64 {
	f.next++
	return f.next - 1
}

// refence assigns a new fence to a slice and keeps what is known of the slice. The fence
// is not sent before this VM has been confirmed as the leader at or after the given
// uptime; 0 means that no confirmation is needed. It reports false if no fence is left
// until the next write of the record.
func (k *keeper) refence(s *fleet.Slice, confirmedSince time.Duration) bool {
	if k.fences.next > k.fences.last {
		return false
	}
	before := *s
	s.Fence = k.fences.plan()
	if confirmedSince != 0 {
		k.awaits[s.Fence] = confirmedSince
	}
	if handover, known := k.handovers[before.Fence]; known {
		k.handovers[s.Fence] = handover
	}
	move(k.confirmedAt, idOf(&before), idOf(s))
	move(k.readySince, idOf(&before), idOf(s))
	return true
}

// isOutdone reports whether a refusal of a grant for its low fence proves that there is
// another leader. It does if the grant had the slice's current fence, since this leader
// has assigned no higher one to these keys.
func (k *keeper) isOutdone(t task) bool {
	s := k.find(t.order)
	return s != nil && s.Last == t.slice.Last && s.Owner == t.target && len(s.From) == 0
}

// conflicted assigns a new fence to a slice after a grant that needs a higher one, and
// returns it; 0 if none was assigned. The next grant is sent without a pause if a renewal
// found its connection lost. It waits if the target refused the fence, because this
// leader may have been replaced.
func (k *keeper) conflicted(t task, refused bool, now time.Time, uptime time.Duration) uint64 {
	s := k.find(t.order)
	if s == nil || !k.refence(s, uptime) {
		return 0
	}
	if refused {
		t.fence = s.Fence
		k.retryAt[t.order] = now.Add(retryOrder)
	}
	return s.Fence
}

// move changes the key of an entry, if there is one.
func move(times map[sliceID]time.Time, from, to sliceID) {
	if at, known := times[from]; known {
		times[to] = at
		delete(times, from)
	}
}
