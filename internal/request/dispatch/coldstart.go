package dispatch

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// lateAnswerCredit is what an answer that is not in good time counts towards
// the next step. It is above zero so that a target whose usual time has changed
// for good still becomes warm.
const lateAnswerCredit = 0.1

// coldStart is the cold-start limit of one target. The limit of requests in
// flight starts at the manifest's cold-start slots, rises by one with every
// step of answers in good time, and falls back to the start at once on any sign
// that the target cannot bear more.
type coldStart struct {
	declared manifest.ColdStart
	slots    int
	limit    int
	// cold is set until the limit has reached the slots.
	cold bool
	// credit counts answers towards the next step.
	credit float64
	// nextStart is the earliest start of the next request while the target is
	// cold and its start rate is capped.
	nextStart time.Time
}

// newColdStart returns the limit of a target that has just started.
func newColdStart(declared manifest.ColdStart, slots int) *coldStart {
	c := &coldStart{declared: declared, slots: slots}
	c.restart()
	return c
}

// initialLimit returns the limit at the start.
func (c *coldStart) initialLimit() int {
	initial := c.declared.Slots
	if initial == 0 {
		initial = manifest.DefaultColdSlots
	}
	return min(initial, c.slots)
}

// restart makes the target cold and reports whether that changed anything.
func (c *coldStart) restart() bool {
	changed := !c.cold || c.limit > c.initialLimit()
	c.limit = c.initialLimit()
	c.cold = true
	c.credit = 0
	return changed
}

// resume continues a cold start at a limit, as after a handover.
func (c *coldStart) resume(limit int) {
	c.limit = min(max(limit, c.initialLimit()), c.slots)
	c.cold = c.limit < c.slots
	c.credit = 0
}

// resize follows a change of the manifest. The limit of a cold target never
// rises by it.
func (c *coldStart) resize(declared manifest.ColdStart, slots int) {
	c.declared, c.slots = declared, slots
	if !c.cold || c.limit > slots {
		c.limit = slots
	}
}

// answered counts an answer and reports whether it completed the cold start.
func (c *coldStart) answered(inGoodTime bool) bool {
	if !c.cold {
		return false
	}
	if inGoodTime {
		c.credit++
	} else {
		c.credit += lateAnswerCredit
	}
	if c.credit < float64(c.stepLength()) {
		return false
	}
	c.credit = 0
	c.limit = min(c.limit+1, c.slots)
	c.cold = c.limit < c.slots
	return !c.cold
}

func (c *coldStart) stepLength() int {
	if c.declared.SuccessesPerStep == 0 {
		return manifest.DefaultColdSuccesses
	}
	return c.declared.SuccessesPerStep
}

// startDelay returns how long the next request has to wait because of the cap
// on the start rate; 0 means that it may start.
func (c *coldStart) startDelay(now time.Time) time.Duration {
	if !c.cold || c.declared.RequestsPerSecond <= 0 {
		return 0
	}
	return max(c.nextStart.Sub(now), 0)
}

// started counts a start against the cap on the start rate.
func (c *coldStart) started(now time.Time) {
	if c.declared.RequestsPerSecond > 0 {
		c.nextStart = now.Add(time.Duration(float64(time.Second) / c.declared.RequestsPerSecond))
	}
}

// ratePerSecond returns the rate at which a target with the given service time
// completes requests under the limit.
func (c *coldStart) ratePerSecond(serviceTime time.Duration) float64 {
	rate := float64(c.limit) / serviceTime.Seconds()
	if c.cold && c.declared.RequestsPerSecond > 0 {
		return min(rate, c.declared.RequestsPerSecond)
	}
	return rate
}
