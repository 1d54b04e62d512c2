package admission

import (
	"math"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// slownessWeight is the weight of a new answer in a target's slowness.
	slownessWeight = 0.15
	// classWeight is the weight of a new answer in the mean work of a class.
	classWeight = 0.03
	// failureWeight is the weight of a new result in a target's share of failures.
	failureWeight = 0.15
	// maxSlowness bounds what one answer counts for.
	maxSlowness = 12
	// minSlowness keeps an unusually quick answer from attracting all requests.
	minSlowness = 0.3
	// idleRecovery is the rate per second at which a target without answers
	// returns to the usual slowness and to no failures, so that it is tried again.
	idleRecovery = 0.15
	// paceFresh is how long a target's word on its pace is used; the pace
	// changes several times a second.
	paceFresh = 200 * time.Millisecond
	// unreachablePause keeps requests away from a target that did not accept a
	// connection; it doubles with each failure up to unreachableMax.
	unreachablePause = 200 * time.Millisecond
	unreachableMax   = 2 * time.Second
	// connectionKept is how long a VM keeps an unused connection to a target.
	connectionKept = 7 * time.Second
	// coldWindow is the window over which starts at a cold target are counted;
	// it exceeds a second by the spread of the delays on the way.
	coldWindow = 1100 * time.Millisecond
	// coldShare is the share of the allowed starts that is used.
	coldShare = 0.85
)

// none is the index of a target that is not in a list.
const none = -1

// target is what the broker knows of one target.
type target struct {
	fleet.Target
	usable  bool
	running int
	// free is the target's index in the pool's list of those with a free slot, or none.
	free int
	// slowness is the service time relative to the mean of the service.
	slowness float64
	// failures is the recent share of requests that were refused or broke.
	failures   float64
	measuredAt time.Time
	// pace is the target's word on how long work takes now, 1 for as usual.
	pace   float64
	paceAt time.Time
	// refused is set while nothing listens at the address.
	refused bool
	// pausedUntil keeps requests away after failed connections.
	pausedUntil time.Time
	pauses      int
	// starts are the recent starts while the target is cold.
	starts []time.Time
	// sentBy is when each VM was last permitted to send here.
	sentBy map[string]time.Time
}

func newTarget(declared *fleet.Target, now time.Time) *target {
	return &target{Target: *declared, free: none, slowness: 1, pace: 1, measuredAt: now, sentBy: map[string]time.Time{}}
}

// relativeTime is the expected service time relative to the mean of the
// service, from the measured slowness and the target's own word on its pace.
func (t *target) relativeTime(now time.Time) float64 {
	pace := t.pace
	if age := now.Sub(t.paceAt); age > paceFresh {
		pace = 1
	}
	return t.slowness * pace
}

// connected reports whether a VM is likely to have an open connection.
func (t *target) connected(vm string, now time.Time) bool {
	return now.Sub(t.sentBy[vm]) < connectionKept
}

// cold reports whether the target is cold.
func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// coldRoom reports whether a cold target may start one more request.
func (t *target) coldRoom(limit int, now time.Time) bool {
	kept := t.starts[:0]
	for _, start := range t.starts {
		if now.Sub(start) < coldWindow {
			kept = append(kept, start)
		}
	}
	t.starts = kept
	return len(t.starts) < limit
}

// learn counts a service time; work is the mean of the request's class.
func (t *target) learn(took time.Duration, work float64, now time.Time) {
	t.recover(now)
	ratio := took.Seconds() / work
	if now.Sub(t.paceAt) < paceFresh && t.pace > 0 {
		ratio /= math.Sqrt(t.pace)
	}
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness += slownessWeight * (ratio - t.slowness)
}

// count counts a result.
func (t *target) count(failed bool, now time.Time) {
	t.recover(now)
	value := 0.0
	if failed {
		value = 1
	}
	t.failures += failureWeight * (value - t.failures)
}

// recover lets measurements fade while there are no answers.
func (t *target) recover(now time.Time) {
	idle := now.Sub(t.measuredAt).Seconds()
	t.measuredAt = now
	if idle <= 0 {
		return
	}
	keep := math.Exp(-idleRecovery * idle)
	t.slowness = 1 + (t.slowness-1)*keep
	t.failures *= keep
}

// pause keeps requests away after a connection that was not accepted.
func (t *target) pause(now time.Time) {
	t.pauses = min(t.pauses+1, 6)
	t.pausedUntil = now.Add(min(unreachablePause<<(t.pauses-1), unreachableMax))
}

// reachable ends a pause.
func (t *target) reachable() {
	t.pauses, t.refused, t.pausedUntil = 0, false, time.Time{}
}
