package admission

import (
	"math"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// slownessWeight is the weight of a new sample in the moving average of a
	// target's slowness.
	slownessWeight = 0.15
	// classWeight is the weight of a new sample in the moving average of the work
	// of a class.
	classWeight = 0.03
	// failureWeight is the weight of a new result in the moving average of a
	// target's share of failures.
	failureWeight = 0.15
	// steadySlownessWeight is the weight of a new sample in the moving average that decides
	// how many keys a target owns, and maxSteadySlowness bounds its samples. Single requests
	// differ by a factor of several; an average that follows them moves keys for nothing.
	steadySlownessWeight = 0.05
	maxSteadySlowness    = 4
	// maxSlowness bounds a sample, so that a single slow answer has limited effect.
	maxSlowness = 12
	// minSlowness bounds a sample, so that an unusually quick answer does not
	// attract all requests.
	minSlowness = 0.3
	// idleDecayRate is the rate per second at which the measurements of a target
	// without answers return to average slowness and no failures, so that the
	// target is tried again.
	idleDecayRate = 0.15
	// paceMaxAge is how long a pace that a target has reported is used. The pace
	// changes several times a second.
	paceMaxAge = 200 * time.Millisecond
	// connectBackoff is how long no requests are sent to a target that did not
	// accept a connection. It doubles with each further failure up to
	// maxConnectBackoff.
	connectBackoff    = 200 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
	// connectionIdleTime is how long a VM keeps an idle connection to a target.
	connectionIdleTime = 7 * time.Second
	// coldWindow is the window over which requests to a cold target are counted.
	// It is longer than the second of the limit because delays on the way to the
	// target vary.
	coldWindow = 1100 * time.Millisecond
	// coldShare is the share of the allowed requests to a cold target that is used.
	coldShare = 0.85
)

// notFree is the index of a target that is not in the list of free targets.
const notFree = -1

// target is the broker's state of one target.
type target struct {
	fleet.Target
	// declaredSlots is the number of slots that the target has; Slots is lower for a
	// cautious broker if only some of them belong to its VM.
	declaredSlots int
	// rank orders targets differently for each VM, if the broker knows its VM.
	rank uint64
	// usable is set while new requests may be sent to the target.
	usable bool
	// running is the number of requests in flight.
	running int
	// freeIndex is the target's index in the pool's list of targets with a free slot,
	// or notFree.
	freeIndex int
	// slowness is the measured service time relative to the mean of the service.
	slowness float64
	// steadySlowness is the same, averaged over more answers.
	steadySlowness float64
	// failures is the recent share of requests that failed or were refused, from
	// 0 to 1.
	failures float64
	// measuredAt is when slowness and failures were last updated.
	measuredAt time.Time
	// pace is how long work takes at the moment relative to the usual time, as
	// reported by the target at paceAt; 1 is usual.
	pace   float64
	paceAt time.Time
	// connectionRefused is set after the target has refused a connection, until it
	// answers again.
	connectionRefused bool
	// backoffUntil is the time before which no requests are sent, after
	// connectFailures consecutive failed connections, of which the first was at
	// unreachableSince.
	backoffUntil     time.Time
	connectFailures  int
	unreachableSince time.Time
	// leaving is set once the target has said that it is leaving, at leavingSince, whatever
	// the view says.
	leaving      bool
	leavingSince time.Time
	// restUntil is the time until which the target has asked to get no requests.
	restUntil time.Time
	// silent is set after a request that the target did not answer, until it has answered
	// something. Until silentUntil it gets no requests, and after that one at a time.
	silent                   bool
	silentUntil, silentSince time.Time
	// coldStarts holds when requests were recently permitted while the target is cold.
	coldStarts []time.Time
	// lastSent is when each VM was last permitted to send a request to the target.
	lastSent map[string]time.Time
}

func newTarget(declared *fleet.Target, now time.Time) *target {
	return &target{Target: *declared, freeIndex: notFree, slowness: 1, steadySlowness: 1, pace: 1, measuredAt: now, lastSent: map[string]time.Time{}}
}

// relativeTime returns the expected service time relative to the mean of the
// service, from the measured slowness and the pace that the target has reported.
func (t *target) relativeTime(now time.Time) float64 {
	pace := t.pace
	if age := now.Sub(t.paceAt); age > paceMaxAge {
		pace = 1
	}
	return t.slowness * pace
}

// connected reports whether a VM is likely to have an open connection to the
// target.
func (t *target) connected(vm string, now time.Time) bool {
	return now.Sub(t.lastSent[vm]) < connectionIdleTime
}

// cold reports whether the target is still warming up.
func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// canStartCold reports whether a cold target may get one more request, at most limit
// within coldWindow.
func (t *target) canStartCold(limit int, now time.Time) bool {
	kept := t.coldStarts[:0]
	for _, start := range t.coldStarts {
		if now.Sub(start) < coldWindow {
			kept = append(kept, start)
		}
	}
	t.coldStarts = kept
	return len(t.coldStarts) < limit
}

// recordServiceTime updates the slowness with a measured service time; work is the
// mean work of the request's class in seconds. A recently reported pace accounts for a
// part of the time: the sample is divided by its square root.
func (t *target) recordServiceTime(took time.Duration, work float64, now time.Time) {
	t.recover(now)
	ratio := took.Seconds() / work
	if now.Sub(t.paceAt) < paceMaxAge && t.pace > 0 {
		ratio /= math.Sqrt(t.pace)
	}
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness += slownessWeight * (ratio - t.slowness)
	t.steadySlowness += steadySlownessWeight * (min(ratio, maxSteadySlowness) - t.steadySlowness)
}

// recordOutcome updates the share of failures with a result.
func (t *target) recordOutcome(failed bool, now time.Time) {
	t.recover(now)
	value := 0.0
	if failed {
		value = 1
	}
	t.failures += failureWeight * (value - t.failures)
}

// recover moves the measurements back towards their defaults by the time that has
// passed without an update.
func (t *target) recover(now time.Time) {
	idle := now.Sub(t.measuredAt).Seconds()
	t.measuredAt = now
	if idle <= 0 {
		return
	}
	keep := math.Exp(-idleDecayRate * idle)
	t.slowness = 1 + (t.slowness-1)*keep
	t.steadySlowness = 1 + (t.steadySlowness-1)*keep
	t.failures *= keep
}

// backOff stops requests to the target for a while after a connection that was not
// accepted. The count of failures is limited only to keep the shift from overflowing:
// maxConnectBackoff is reached before.
func (t *target) backOff(now time.Time) {
	if t.connectFailures == 0 {
		t.unreachableSince = now
	}
	t.connectFailures = min(t.connectFailures+1, 6)
	t.backoffUntil = now.Add(min(connectBackoff<<(t.connectFailures-1), maxConnectBackoff))
}

// resetBackoff ends the backoff after an answer.
func (t *target) resetBackoff() {
	t.connectFailures, t.connectionRefused, t.backoffUntil = 0, false, time.Time{}
}
