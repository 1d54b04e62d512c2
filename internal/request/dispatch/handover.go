package dispatch

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

// StartWith begins to dispatch to a target after a handover. Until the inFlight
// requests of the former dispatcher are past the service's longest deadline,
// they count against the target's slots; the cold start continues at coldLimit.
//
// StartWith is called again with a lower count whenever the former dispatcher
// reports that requests of its have ended; a later call never raises the
// target's limit.
func (d *Dispatcher) StartWith(target string, inFlight, coldLimit int) {
	e := d.endpoint(target)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.rates.occupied(e.slots.occupied(), now)
	if !e.inherited {
		e.inherited = true
		e.cold.resume(coldLimit)
		events.TargetInherited.Log(&e.logger).Int("in_flight", inFlight).Int("limit", e.cold.limit).Send()
	}
	e.slots.inherit(inFlight, now.Add(e.service.Limits.MaxDeadline()))
	e.pump(now)
}
