package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

const (
	// minLinger and maxLinger bound the time for which the slot of a request
	// that was given up stays taken, so that the target can notice.
	minLinger = 50 * time.Millisecond
	maxLinger = time.Second
	// lingerFactor is that time in recent service times.
	lingerFactor = 2
	// stallFactor and minStall bound the wait for an answer, in good times,
	// after which the target counts as stalled.
	stallFactor = 5
	minStall    = 500 * time.Millisecond
	// stragglingSpeed and recoveredSpeed are the speeds at which a target is
	// logged as a straggler and as recovered; the gap avoids flapping.
	stragglingSpeed = 0.5
	recoveredSpeed  = 0.75
	// drainGrace is how long a leaving target of a keyed service still takes
	// requests for slices that have not been moved yet.
	drainGrace = 2 * time.Second
)

// endpoint is the dispatcher's state for one target. The lock is held for
// short computations only, never during input or output.
type endpoint struct {
	name   string
	logger zerolog.Logger

	mu       sync.Mutex
	declared manifest.Target
	service  *manifest.Service
	pool     *target.Pool
	slots    slots
	cold     *coldStart
	queue    *queue
	times    serviceTimes
	rates    rates
	inFlight inFlight
	// holding counts requests that wait for a paused slice.
	holding int
	// incarnation is the target's incarnation as last seen, "" if it tells none.
	incarnation string
	// lostSeen is the pool's count of connections lost while idle.
	lostSeen   int
	alive      bool
	straggling bool
	createdAt  time.Time
	hadRights  bool
	// inherited is set by the first StartWith.
	inherited bool
	closed    bool
	wakeup    *time.Timer
}

// newEndpoint returns the state of a target that was never seen before: cold.
func newEndpoint(declared manifest.Target, service *manifest.Service, logger zerolog.Logger) *endpoint {
	now := time.Now()
	slotCount := max(declared.Slots, 1)
	return &endpoint{
		name: declared.Name, logger: logger.With().Str("target", declared.Name).Logger(),
		declared: declared, service: service,
		pool:     newPool(&declared),
		slots:    slots{declared: slotCount},
		cold:     newColdStart(service.ColdStart, slotCount),
		queue:    newQueue(service),
		rates:    newRates(now),
		inFlight: newInFlight(),
		alive:    true, createdAt: now,
	}
}

// newPool returns the pool for requests: the target's connections less those
// that control uses.
func newPool(declared *manifest.Target) *target.Pool {
	return target.NewPool(declared.Address, declared.Connections-target.ControlConnections)
}

// acquire waits for a slot for the ticket. It returns "" once the slot is
// taken, otherwise the reason of the refusal.
func (e *endpoint) acquire(ctx context.Context, t *ticket, class string) outcome.Reason {
	w := newWaiter(class, t.deadline)
	if reason := e.enqueue(w, t); reason != "" {
		return reason
	}
	select {
	case reason := <-w.verdict:
		return e.admitted(reason, t)
	case <-ctx.Done():
	}
	e.mu.Lock()
	withdrawn := e.queue.remove(w)
	e.mu.Unlock()
	if !withdrawn {
		if reason := e.admitted(<-w.verdict, t); reason != "" {
			return reason
		}
		e.release(t)
	}
	return contextReason(ctx)
}

// enqueue queues a waiter, or refuses it at once if it cannot finish in time.
func (e *endpoint) enqueue(w *waiter, t *ticket) outcome.Reason {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return outcome.Draining
	}
	if !e.canFinish(w, now) {
		return outcome.WouldBeLate
	}
	if refused := e.queue.push(w); refused != nil {
		refused.verdict <- outcome.QueueFull
	}
	e.pump(now)
	return ""
}

// admitted registers the ticket of a waiter that was given a slot.
func (e *endpoint) admitted(reason outcome.Reason, t *ticket) outcome.Reason {
	if reason != "" {
		return reason
	}
	e.mu.Lock()
	t.takenAt = time.Now()
	e.inFlight.tickets[t] = struct{}{}
	e.mu.Unlock()
	return ""
}

// canFinish reports whether a request of the waiter's class and deadline can
// be answered in time, by the measured service time. An idle target always
// gets a request, so that the measurement cannot refuse everything for good.
func (e *endpoint) canFinish(w *waiter, now time.Time) bool {
	remaining := w.deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	if e.slots.occupied() == 0 && e.queue.length == 0 || e.times.holding == 0 {
		return true
	}
	return e.expectedWait(w)+e.times.likely() <= remaining
}

// expectedWait estimates how long a new waiter waits for its slot.
func (e *endpoint) expectedWait(w *waiter) time.Duration {
	ahead := e.queue.ahead(w.class, w.deadline)
	if e.slots.available(e.cold.limit) && e.queue.length == 0 {
		return 0
	}
	return seconds((ahead + 1) / e.cold.ratePerSecond(seconds(e.times.holding)))
}

// pump gives free slots to waiters. The lock is held.
func (e *endpoint) pump(now time.Time) {
	for e.queue.length > 0 && e.slots.available(e.cold.limit) {
		if delay := e.cold.startDelay(now); delay > 0 {
			e.wakeAfter(delay)
			return
		}
		e.giveSlot(e.queue.pop(), now)
	}
}

// giveSlot takes a slot for a waiter, or refuses it if it has become too late.
func (e *endpoint) giveSlot(w *waiter, now time.Time) {
	remaining := w.deadline.Sub(now)
	idle := e.slots.occupied() == 0
	if remaining <= 0 {
		w.verdict <- outcome.DeadlinePassed
		return
	}
	if !idle && e.times.likely() > remaining {
		w.verdict <- outcome.WouldBeLate
		return
	}
	e.rates.occupied(e.slots.occupied(), now)
	e.slots.taken++
	e.cold.started(now)
	w.verdict <- ""
}

// wakeAfter arranges another pump. The lock is held.
func (e *endpoint) wakeAfter(delay time.Duration) {
	if e.wakeup != nil {
		return
	}
	e.wakeup = time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.wakeup = nil
		e.pump(time.Now())
	})
}

// confirm is called with the connection on which the ticket is to be sent. It
// reports false if the limit has fallen below what is in flight meanwhile, for
// example because the connection leads to a new incarnation of the target.
func (e *endpoint) confirm(exchange *target.Exchange) bool {
	lost := e.pool.Lost()
	e.mu.Lock()
	defer e.mu.Unlock()
	if exchange.Incarnation() == "" && lost != e.lostSeen {
		e.turnCold("connection lost")
	}
	e.lostSeen = lost
	e.noteIncarnation(exchange.Incarnation())
	return !e.slots.exceeded(e.cold.limit)
}

// sent marks a ticket as handed to its connection.
func (e *endpoint) sent(t *ticket) {
	e.mu.Lock()
	t.sentAt = time.Now()
	e.mu.Unlock()
}

// release frees the slot of a ticket that certainly does not run.
func (e *endpoint) release(t *ticket) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight.tickets, t)
	e.freeSlot(now)
}

// freeSlot gives a slot back and passes it on. The lock is held.
func (e *endpoint) freeSlot(now time.Time) {
	e.rates.occupied(e.slots.occupied(), now)
	e.slots.taken--
	e.pump(now)
}

// answered ends a ticket with a complete answer.
func (e *endpoint) answered(t *ticket, id sliceID, incarnation string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight.tickets, t)
	e.noteIncarnation(incarnation)
	e.rates.completed(id, t.key)
	e.times.hold(now.Sub(t.takenAt))
	if t.streamed {
		e.credit(true)
	} else {
		e.measure(t.sentAt, now)
	}
	e.freeSlot(now)
}

// measure feeds a service time to the cold-start limit. The lock is held.
func (e *endpoint) measure(sentAt, now time.Time) {
	took := now.Sub(sentAt)
	e.times.add(took, !e.cold.cold)
	e.times.measureLevel(sentAt, took)
	if e.times.recovered() {
		e.times.forgetLevel()
	}
	good := e.times.goodTime(e.declaredGood())
	e.credit(good == 0 || took <= good)
	if e.times.slow(e.declaredGood()) && e.turnCold("slow answers") {
		e.times.beginLevel(now)
	}
}

// credit counts an answer towards the end of the cold start. A streamed answer
// takes the time that its caller takes, so it counts as in good time once it is
// complete. The lock is held.
func (e *endpoint) credit(inGoodTime bool) {
	if e.cold.answered(inGoodTime) {
		events.TargetWarm.Log(&e.logger).Int("limit", e.cold.limit).Send()
	}
}

func (e *endpoint) declaredGood() time.Duration {
	return time.Duration(e.service.ColdStart.GoodMillis * float64(time.Millisecond))
}

// shed ends a ticket that the target refused. A refusal for want of capacity
// lowers the limit at once.
func (e *endpoint) shed(t *ticket, incarnation string, overloaded bool) {
	e.mu.Lock()
	e.noteIncarnation(incarnation)
	if overloaded {
		e.turnCold("shed")
	}
	e.mu.Unlock()
	e.release(t)
}

// lost notes that the target could not be reached; it is cold when it returns.
func (e *endpoint) lost(cause string) {
	e.mu.Lock()
	e.turnCold(cause)
	e.mu.Unlock()
}

// abandoned ends a ticket whose request may still be running. Its slot stays
// taken while the target notices, and the request counts as in flight until it
// has surely ended: at once after that for targets that check fences, which a
// new owner shuts out, and at its deadline for the others.
func (e *endpoint) abandoned(t *ticket) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !t.streamed {
		e.times.atLeast(now.Sub(t.sentAt))
	}
	freed := now.Add(e.lingerTime())
	ended := freed
	if e.unchecked() && t.deadline.After(freed) {
		ended = t.deadline
	}
	e.inFlight.abandon(t, ended)
	e.slots.linger(freed)
	e.wakeLingering(freed.Sub(now))
}

func (e *endpoint) lingerTime() time.Duration {
	return min(max(seconds(lingerFactor*e.times.recent), minLinger), maxLinger)
}

// wakeLingering frees lingering slots when they run out.
func (e *endpoint) wakeLingering(delay time.Duration) {
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.expire(time.Now())
	})
}

// expire frees what has run out. The lock is held.
func (e *endpoint) expire(now time.Time) {
	before := e.slots.occupied()
	if e.slots.expire(now) {
		e.rates.occupied(before, now)
	}
	e.inFlight.expire(now)
	for _, w := range e.queue.removeExpired(now) {
		w.verdict <- outcome.DeadlinePassed
	}
	e.pump(now)
}

// noteIncarnation makes the target cold if it has restarted. The lock is held.
func (e *endpoint) noteIncarnation(incarnation string) {
	if incarnation == "" || incarnation == e.incarnation {
		return
	}
	known := e.incarnation != ""
	e.incarnation = incarnation
	if known {
		e.times.reset()
		e.turnCold("new incarnation")
	}
}

// turnCold restarts the cold-start limit and reports whether that changed
// anything. The lock is held.
func (e *endpoint) turnCold(cause string) bool {
	if !e.cold.restart() {
		return false
	}
	e.times.forgetLevel()
	events.TargetCold.Log(&e.logger).Str("cause", cause).Int("limit", e.cold.limit).Send()
	return true
}

// inFlightOf returns the number of requests of a slice that may be running.
func (e *endpoint) inFlightOf(slice *assignment.Slice) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight.count(slice, time.Now())
}

// close refuses what is queued; requests in flight run to their end.
func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	for _, w := range e.queue.drain() {
		w.verdict <- outcome.Draining
	}
	e.mu.Unlock()
	e.pool.Close()
}

// contextReason says why a request's context ended.
func contextReason(ctx context.Context) outcome.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.DeadlinePassed
	}
	return outcome.Canceled
}
