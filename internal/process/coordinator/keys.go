package coordinator

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

const (
	// planEvery is the interval at which the owners of keys are reconsidered.
	planEvery = 250 * time.Millisecond
	// tidyEvery is the interval at which slices that have cooled down are joined.
	tidyEvery = time.Second
	// grantTimeout bounds a grant; releaseTimeout bounds a release, which waits
	// for the work on the keys.
	grantTimeout   = 600 * time.Millisecond
	releaseTimeout = 4 * time.Second
	// coldCapacity is the capacity of a cold target relative to a warm one.
	coldCapacity = 0.4
	// minCapacity keeps a slow target from being left without any keys, so that
	// its speed is still measured.
	minCapacity = 0.05
	// refenceAfter is how long a slice must have been ready before a refusal of its
	// owner counts: requests that were sent earlier are still on their way.
	refenceAfter = 500 * time.Millisecond
	// settle is how long a new leader waits for the declarations before it takes
	// keys from targets that are not declared.
	settle = 300 * time.Millisecond
)

// keepKeys plans moves and carries out orders.
func (c *Coordinator) keepKeys(now time.Time) {
	l := c.lead
	if c.view.Config == nil || !c.observer.Complete() {
		return
	}
	if !c.mayAct() {
		return
	}
	for _, s := range l.keeper.expire(now) {
		events.GrantsRanOut.Log(c.config.Logger).Int("first", int(s.First)).Int("last", int(s.Last)).Uint64("fence", s.Fence).Send()
	}
	if l.keeper.noteRenewed(now) {
		c.slicesChanged()
	}
	c.slicesAsOf = c.config.Uptime()
	if !l.writing && !now.Before(l.planAt) {
		c.planMoves(now)
	}
	c.carryOutDue(now)
}

// carryOutDue sends the orders that are due.
func (c *Coordinator) carryOutDue(now time.Time) {
	for _, t := range c.lead.keeper.due(now) {
		c.carryOut(t)
	}
}

// planMoves looks for the first service whose keys should move and writes the
// moves. Until the declarations have settled, it only gives slices anew.
func (c *Coordinator) planMoves(now time.Time) {
	l := c.lead
	settled := now.Sub(l.since) > settle
	l.planAt = now.Add(tickEvery)
	if settled {
		l.planAt = now.Add(planEvery)
	}
	for i := range c.view.Config.Services {
		service := &c.view.Config.Services[i]
		if !service.Keyed {
			continue
		}
		owners := c.owners(service, now)
		var moves []keyspace.Move
		current := l.keeper.slices[service.Name]
		if len(current) > 0 && c.regrant(service.Name, owners, now) {
			return
		}
		if !settled {
			continue
		}
		if len(current) == 0 {
			moves = keyspace.Initial(owners)
		} else {
			c.config.Demand(service.Name, now, func(load *keyspace.Load) { moves = l.plan(current, owners, load, now) })
		}
		if len(moves) > 0 {
			c.writeMoves(service.Name, current, moves)
			return
		}
	}
}

// plan returns the moves of a service; one plan in a second joins slices.
func (l *leadership) plan(current []fleet.Slice, owners []keyspace.Owner, load *keyspace.Load, now time.Time) []keyspace.Move {
	if !now.Before(l.tidyAt) {
		l.tidyAt = now.Add(tidyEvery)
		if moves := keyspace.Tidy(current, owners, load); len(moves) > 0 {
			return moves
		}
	}
	return keyspace.Plan(current, owners, load)
}

// owners returns the targets of a service with their capacities.
func (c *Coordinator) owners(service *fleet.Service, now time.Time) []keyspace.Owner {
	var owners []keyspace.Owner
	for _, t := range c.view.Targets {
		if t.Service != service.Name {
			continue
		}
		observed, _ := c.config.Observe(service.Name, t.ID)
		owners = append(owners, keyspace.Owner{Life: t.Life, Capacity: c.capacity(t, observed, now)})
	}
	return owners
}

func (c *Coordinator) capacity(t *fleet.Target, observed admission.Observation, now time.Time) float64 {
	if !c.view.Usable(t) || c.lead.keeper.gone[t.Life] || c.lead.replaced[t.Life] {
		return 0
	}
	capacity := float64(t.Slots)
	if observed.Slowness > 0 {
		capacity /= observed.Slowness
	}
	capacity *= 1 - observed.FailureShare
	if now.Before(t.ColdUntil) {
		capacity *= coldCapacity
	}
	return max(capacity, minCapacity*float64(t.Slots))
}

// writeMoves writes moves into the record and begins them.
func (c *Coordinator) writeMoves(service string, current []fleet.Slice, moves []keyspace.Move) {
	l := c.lead
	fence := l.record.LastFence
	list := keyspace.Apply(current, moves, func() uint64 { fence++; return fence })
	record := l.next(service, list, fence)
	c.write(record, func(err error) {
		if err != nil {
			events.MovesNotWritten.Log(c.config.Logger).Str("service", service).Int("moves", len(moves)).Err(err).Send()
			return
		}
		c.beginMoves(service, moves)
	})
}

// beginMoves begins moves that are in the record.
func (c *Coordinator) beginMoves(service string, moves []keyspace.Move) {
	l := c.lead
	for _, m := range moves {
		events.MovePlanned.Log(c.config.Logger).Str("service", service).Int("first", int(m.First)).Int("last", int(m.Last)).
			Str("to", m.To.ID).Bool("joins", m.Joins).Uint64("term", l.record.Term).Int64("revision", l.revision).Send()
	}
	// Releases that were answered while the record was written are in the
	// keeper and not in the record.
	l.keeper.replace(service, mergeProgress(l.record.Slices[service], l.keeper.slices[service]))
	c.noteLives(c.view.Targets)
	c.slicesChanged()
	c.carryOutDue(time.Now())
}

// mergeProgress keeps what has been learnt of slices that a write did not change.
func mergeProgress(written, live []fleet.Slice) []fleet.Slice {
	merged := append([]fleet.Slice(nil), written...)
	for i := range merged {
		for _, s := range live {
			if s.Fence == merged[i].Fence && s.First <= merged[i].First && merged[i].Last <= s.Last {
				merged[i].From, merged[i].Ready, merged[i].Renewed = s.From, s.Ready, s.Renewed
			}
		}
	}
	return merged
}

// slicesChanged publishes the owners of keys.
func (c *Coordinator) slicesChanged() {
	l := c.lead
	view := *c.view
	view.Slices = map[string][]fleet.Slice{}
	for service, list := range l.keeper.slices {
		view.Slices[service] = append([]fleet.Slice(nil), list...)
	}
	l.parts.setSlices(view.Slices)
	c.publish(&view)
}

// carryOut sends an order to a target.
func (c *Coordinator) carryOut(t task) {
	l := c.lead
	target := c.view.Targets[t.target.ID]
	if target == nil || target.Life != t.target || l.replaced[t.target] || l.confirming[t.target] || !c.mayAct() {
		// Without an address the grants have to run out; while it is found out whether
		// the target has ended, another process may be at its address.
		l.keeper.failed(t, time.Now())
		return
	}
	address := target.Address
	go func() {
		began := time.Now()
		handover, err := c.send(t, address)
		c.config.Loop.Post(func() {
			if c.lead == l {
				c.orderDone(t, handover, err, began)
			}
		})
	}()
}

func (c *Coordinator) send(t task, address string) (string, error) {
	if t.release {
		ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
		defer cancel()
		return c.config.Targets.Release(ctx, address, t.slice)
	}
	ctx, cancel := context.WithTimeout(c.ctx, grantTimeout)
	defer cancel()
	return "", c.config.Targets.Grant(ctx, address, t.slice, c.hold(), t.handover)
}

// hold is how long a grant lasts.
func (c *Coordinator) hold() time.Duration { return min(usualHold, c.config.LongestHold) }

// orderDone notes the result of an order.
func (c *Coordinator) orderDone(t task, handover string, err error, began time.Time) {
	k := c.lead.keeper
	now := time.Now()
	changed := false
	switch {
	case fault.Is(err, fault.NotFound):
		k.failed(t, now)
		c.confirmEnd(t.target)
	case t.release && err == nil:
		changed = k.released(t, handover)
	case t.release:
		k.failed(t, now)
	default:
		c.noteSilence(t, err, began, now.Sub(began))
		changed = k.granted(t, err == nil, now)
	}
	c.logOrder(t, err, now.Sub(began), changed)
	if fault.Is(err, fault.Conflict) && !t.release {
		c.fenceSeen(t)
	}
	if changed {
		c.slicesChangedSoon()
	}
}

// noteSilence logs the first answer to a grant of a fence that has been in force
// without an answer for longer than a lost renewal explains.
func (c *Coordinator) noteSilence(t task, err error, began time.Time, took time.Duration) {
	until, sent := c.lead.keeper.vouchedUntil[t.fence]
	silent := began.Add(took).Sub(until.Add(-c.lead.keeper.hold))
	if err != nil || !sent || silent < renewedWithin {
		return
	}
	events.RenewalResumed.Log(c.config.Logger).Str("service", t.service).Str("target", t.target.ID).Int64("born", t.target.Born).
		Int("first", int(t.slice.First)).Int("last", int(t.slice.Last)).Uint64("fence", t.fence).
		Dur("silent", silent).Dur("took", took).Send()
}

// slicesChangedSoon publishes the owners of keys and goes on with the orders once
// the results are dealt with that wait already: a plan has many moves, and each
// view costs the broker a look at everything that waits.
func (c *Coordinator) slicesChangedSoon() {
	l := c.lead
	if l.slicesPending {
		return
	}
	l.slicesPending = true
	c.config.Loop.Post(func() {
		l.slicesPending = false
		if c.lead != l {
			return
		}
		c.slicesChanged()
		c.carryOutDue(time.Now())
	})
}

// fenceSeen handles a target that has seen a higher fence than the slice has:
// unless the slice has moved on, it gets a fence of its own.
func (c *Coordinator) fenceSeen(t task) {
	l := c.lead
	s := l.keeper.find(t.order)
	if s == nil || s.Last != t.slice.Last || l.writing {
		return
	}
	c.refence(t.service, s)
}

// logOrder logs what an order changed; renewals without news are not logged.
func (c *Coordinator) logOrder(t task, err error, took time.Duration, changed bool) {
	if err == nil && !changed && !t.release {
		return
	}
	kind := "grant"
	if t.release {
		kind = "release"
	}
	events.OrderDone.Log(c.config.Logger).Str("order", kind).Str("service", t.service).Str("target", t.target.ID).
		Int("first", int(t.slice.First)).Int("last", int(t.slice.Last)).Uint64("fence", t.fence).
		Dur("took", took).Bool("changed", changed).AnErr("error", err).Send()
}

// NotOwner notes that a target refused a request for a key that it should own:
// it may have started again unnoticed, or a late release has taken the key. The
// slice is granted anew at a fence of its own.
func (c *Coordinator) NotOwner(service string, key uint16, life fleet.Life) {
	l := c.lead
	if l == nil || l.writing {
		return
	}
	s := fleet.Find(l.keeper.slices[service], key)
	if s == nil || s.Owner != life || !s.Ready || time.Since(l.keeper.readySince[idOf(s)]) < refenceAfter {
		return
	}
	c.refence(service, s)
}

// refence gives slices to their owners anew, each at a higher fence.
func (c *Coordinator) refence(service string, list ...*fleet.Slice) {
	moves := make([]keyspace.Move, 0, len(list))
	for _, s := range list {
		moves = append(moves, keyspace.Move{First: s.First, Last: s.Last, To: s.Owner})
	}
	c.writeMoves(service, c.lead.keeper.slices[service], moves)
}
