package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// fenceReserve is the number of fences that a leader may give out between two
// writes of the record: several for each slice of a large fleet.
const fenceReserve = 1 << 14

// fences are the fences that a leader may give out. The record has the last one, so
// that the next leader begins above it.
//
// Guarantee: no fence reaches two processes. A leader gives each slice a fence of
// its own when it takes over, and another when a grant of it failed; in between it
// sends the fence only over the connection on which the owner's process took it.
// This needs no write, since the owner stays the same: it either is the process that
// has the keys, or its successor under its name, which takes them at a higher fence.
// A former leader may not know that the keys have moved on, and the successor does not
// either. So such a fence is sent only once its leader has been confirmed since.
type fences struct{ next, last uint64 }

// fencesAfter are the fences of a leader that takes over a record.
func fencesAfter(former *fleet.Record) fences {
	slices := 0
	for _, list := range former.Slices {
		slices += len(list)
	}
	return fences{next: former.LastFence + 1, last: former.LastFence + uint64(slices) + fenceReserve}
}

// reserved is the last fence that the next write of the record reserves.
func (f *fences) reserved() uint64 { return max(f.last, f.next+fenceReserve) }

// plan gives out a fence for a move, which begins once a record is written that
// reserves it.
func (f *fences) plan() uint64 {
	f.next++
	return f.next - 1
}

// refence gives a slice another fence, with what is known of the slice. It is sent once
// the leader has been confirmed since an uptime; 0 if it has been. It reports false if no
// fence is left until the record is written.
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

// isOutdone reports whether a process that refuses a grant shows another leader: the fence
// is the slice's present one, so that this leader has given out no higher one for its keys.
func (k *keeper) isOutdone(t task) bool {
	s := k.find(t.order)
	return s != nil && s.Last == t.slice.Last && s.Owner == t.target && len(s.From) == 0
}

// conflicted gives a slice another fence after a grant for which a higher one is
// needed, and returns it; 0 if there is none. It is granted without a pause if a renewal
// found its connection gone; a fence that was refused may be that of a leader which
// has been replaced.
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

func move(times map[sliceID]time.Time, from, to sliceID) {
	if at, known := times[from]; known {
		times[to] = at
		delete(times, from)
	}
}
