package dispatch

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

const (
	// housekeepingInterval is the interval of the checks that traffic does not
	// trigger itself.
	housekeepingInterval = 100 * time.Millisecond
	// ratePeriod is the measuring period of rates.
	ratePeriod = time.Second
	// spareConnections are kept ready beyond one per slot, for those that are
	// closed after a timed-out or broken answer.
	spareConnections = 1
	// awaitRights is how long a target without rights is kept after its first use.
	awaitRights = 30 * time.Second
)

// housekeep runs the periodic checks until the context ends.
func (d *Dispatcher) housekeep(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, e := range d.all() {
				d.tend(e, time.Now())
			}
		}
	}
}

// tend brings one target up to date.
func (d *Dispatcher) tend(e *endpoint, now time.Time) {
	table := d.config.Rights()
	held := table != nil && table.Targets[e.name] != nil
	if e.unused(held, now) {
		d.remove(e)
		return
	}
	if snapshot := d.config.Snapshot(); snapshot != nil && snapshot.Targets[e.name] != nil {
		declared := snapshot.Targets[e.name]
		if service := snapshot.Services[declared.Service]; service != nil {
			e.redeclare(*declared, service.Declared)
		}
	}
	var slices []rights.Held
	if held {
		slices = table.Targets[e.name].Slices
	}
	e.check(now, slices)
	if held {
		e.connections().Warm(e.warmConnections())
	}
}

// unused reports whether the target may be forgotten: this VM has no right to
// it and nothing is in flight. When the right returns, the target is cold.
func (e *endpoint) unused(held bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held {
		e.hadRights = true
		return false
	}
	if e.hadRights {
		// Another dispatcher may have the target before it comes back.
		e.inherited = false
		e.turnCold("right lost")
	}
	if !e.hadRights && now.Sub(e.createdAt) < awaitRights {
		return false
	}
	return e.slots.taken == 0 && e.queue.length == 0 && e.holding == 0 && e.inFlight.count(nil, now) == 0
}

// redeclare follows a change of the manifest. Connections to a former address
// run to the end of their exchanges.
func (e *endpoint) redeclare(declared manifest.Target, service *manifest.Service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.declared == declared && e.service == service {
		return
	}
	if e.declared.Address != declared.Address || e.declared.Connections != declared.Connections {
		e.pool.Close()
		e.pool = newPool(&declared)
	}
	if e.declared.Address != declared.Address {
		e.incarnation = ""
		e.turnCold("new address")
	}
	e.declared, e.service = declared, service
	e.slots.declared = max(declared.Slots, 1)
	e.cold.resize(service.ColdStart, e.slots.declared)
	e.queue.redeclare(service)
}

// check expires what has run out and looks for stalls and stragglers.
func (e *endpoint) check(now time.Time, held []rights.Held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rates.follow(held, now)
	e.expire(now)
	e.checkStall(now)
	if now.Sub(e.rates.rolledAt) < ratePeriod {
		return
	}
	e.rates.occupied(e.slots.occupied(), now)
	e.rates.roll(now)
	e.times.recoverIdle()
	e.checkStraggling()
}

// checkStall makes a target cold that has left a request unanswered for far
// longer than usual: it may be frozen, and bears little when it wakes.
func (e *endpoint) checkStall(now time.Time) {
	good := e.times.goodTime(e.declaredGood())
	if good == 0 || e.inFlight.longestUnanswered(now) < max(stallFactor*good, minStall) {
		return
	}
	if e.cold.restart() {
		e.times.beginLevel(now)
		events.TargetStalled.Log(&e.logger).Int("limit", e.cold.limit).Send()
	}
}

// checkStraggling logs when the target becomes a straggler and when it recovers.
func (e *endpoint) checkStraggling() {
	speed := e.times.speed()
	switch {
	case !e.straggling && speed < stragglingSpeed:
		e.straggling = true
		events.TargetStraggling.Log(&e.logger).Float64("speed", speed).Send()
	case e.straggling && speed > recoveredSpeed:
		e.straggling = false
		events.TargetRecovered.Log(&e.logger).Float64("speed", speed).Send()
	}
}

// warmConnections returns the number of connections to keep ready.
func (e *endpoint) warmConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return 0
	}
	return e.slots.declared + spareConnections
}
