package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

const (
	// planInterval is the interval between plans of key moves.
	planInterval = 250 * time.Millisecond
	// tidyInterval is the interval at which slices with little load are joined.
	tidyInterval = time.Second
	// grantTimeout bounds a grant. releaseTimeout bounds a release, which waits for
	// running requests on the keys.
	grantTimeout   = 600 * time.Millisecond
	releaseTimeout = 4 * time.Second
	// coldCapacityShare is the capacity of a cold target as a share of a warm one's.
	coldCapacityShare = 0.4
	// minCapacityShare is the least capacity of a usable target, as a share of its slots. It
	// leaves a slow target some keys, so that its speed is still measured.
	minCapacityShare = 0.05
	// minReadyTime is how long a slice must have been ready before its owner's refusal of
	// a request counts. Requests that were sent before the slice was ready may arrive
	// until then.
	minReadyTime = 500 * time.Millisecond
	// maxConfirmationIntervals is the maximum age of the leader's last confirmation, in
	// report intervals, at which the leader still sends a new fence to the same owner.
	// Without the store, the leader is confirmed by the reports of VMs, which are usually
	// up to this old.
	maxConfirmationIntervals = 2
	// slicesInterval is the minimum time between two views that follow from results of
	// orders: no longer than the interval at which the broker looks at what waits.
	slicesInterval = 10 * time.Millisecond
	// targetsInterval is the minimum time between two views in which targets that are
	// assumed to be cold have changed. A new leader assumes it of all owners of keys one
	// after the other, and a view with other targets is expensive.
	targetsInterval = 30 * time.Millisecond
	// declarationWait is how long a new leader waits for the declarations, that is the
	// configuration and the targets in the store, before it takes keys from targets that
	// are not declared.
	declarationWait = 300 * time.Millisecond
)

// manageKeys drops expired leases, plans moves and sends the orders that are due.
func (c *Coordinator) manageKeys(now time.Time) {
	l := c.lead
	if c.view.Config == nil || !c.observer.Complete() {
		return
	}
	if !c.mayAct() {
		return
	}
	for _, s := range l.leaseTable.expireFormerOwners(now) {
		events.GrantsRanOut.Log(c.config.Logger).Int("first", int(s.First)).Int("last", int(s.Last)).Uint64("fence", s.Fence).Send()
	}
	if l.leaseTable.expireReady(now) {
		c.publishSlices()
	}
	c.recheckUnreachable(now)
	if !l.writing && !now.Before(l.planAt) && !l.leaseTable.recovering {
		c.planMoves(now)
	}
	c.sendDueOrders(now)
}

// sendDueOrders sends the orders that are due.
func (c *Coordinator) sendDueOrders(now time.Time) {
	lt, confirmedUptime := c.lead.leaseTable, time.Duration(0)
	if len(lt.minConfirmedUptime) > 0 {
		confirmedUptime = c.recentlyConfirmedAt()
	}
	for _, t := range lt.dueTasks(now, confirmedUptime) {
		c.sendOrder(t)
	}
}

// recentlyConfirmedAt returns the uptime at which this VM was last confirmed as the leader,
// or 0 if that is too long ago. An answer of the store may arrive so late that another
// leader has moved keys in the meantime.
func (c *Coordinator) recentlyConfirmedAt() time.Duration {
	at := c.leadershipConfirmedAt()
	if c.config.Uptime()-at > maxConfirmationIntervals*c.reportInterval() {
		return 0
	}
	return at
}

// planMoves plans the moves of the first service whose keys should move and writes
// them, once the declarations have had time to arrive.
func (c *Coordinator) planMoves(now time.Time) {
	l := c.lead
	if now.Sub(l.leadingSince) <= declarationWait {
		return
	}
	l.planAt = now.Add(planInterval)
	for i := range c.view.Config.Services {
		service := &c.view.Config.Services[i]
		if !service.Keyed {
			continue
		}
		owners := c.owners(service, now)
		var moves []keyspace.Move
		current := l.leaseTable.slices[service.Name]
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

// plan returns the moves of a service. Once per tidyInterval it joins slices, if any
// can be joined.
func (l *leadership) plan(current []fleet.Slice, owners []keyspace.Owner, load *keyspace.Load, now time.Time) []keyspace.Move {
	if !now.Before(l.tidyAt) {
		l.tidyAt = now.Add(tidyInterval)
		if moves := keyspace.Tidy(current, owners, load); len(moves) > 0 {
			return moves
		}
	}
	return keyspace.Plan(current, owners, load)
}

// owners returns the targets of a service with their capacities, in slots.
func (c *Coordinator) owners(service *fleet.Service, now time.Time) []keyspace.Owner {
	var owners []keyspace.Owner
	c.lead.speeds.prune(now)
	for _, t := range c.view.Targets {
		if t.Service != service.Name {
			continue
		}
		observed, _ := c.config.Observe(service.Name, t.ID)
		owners = append(owners, keyspace.Owner{Life: t.Life, Capacity: c.capacity(t, observed, now)})
	}
	return owners
}

// capacity returns the number of slots of a target, reduced if it is slow, failing or
// cold; 0 if it must not own keys.
func (c *Coordinator) capacity(t *fleet.Target, observed admission.Observation, now time.Time) float64 {
	lt := c.lead.leaseTable
	if !c.view.Usable(t) || lt.endedTargets[t.Life] || lt.isUnreachable(t.Life) {
		return 0
	}
	speed := 1.0
	if observed.Slowness > 0 {
		speed /= observed.Slowness
	}
	if c.config.SteadyKeys {
		speed = c.lead.speeds.add(t.Life, speed, now)
	}
	capacity := float64(t.Slots) * speed
	capacity *= 1 - observed.FailureShare
	if c.observer.DeclaredCold(t.ID, now) {
		// A mere assumption, which may concern many targets, moves no keys.
		capacity *= coldCapacityShare
	}
	return max(capacity, minCapacityShare*float64(t.Slots))
}

// writeMoves writes moves to the record and starts them once they are written.
func (c *Coordinator) writeMoves(service string, current []fleet.Slice, moves []keyspace.Move) {
	l := c.lead
	firstFence := l.leaseTable.fences.next
	list := keyspace.Apply(current, moves, l.leaseTable.fences.allocate)
	nextFence := l.leaseTable.fences.next
	c.updateRecord(l.withSlices(service, list), func(err error) {
		if err != nil {
			events.MovesNotWritten.Log(c.config.Logger).Str("service", service).Int("moves", len(moves)).Err(err).Send()
			return
		}
		c.beginMoves(service, moves, fenceRange{firstFence, nextFence - 1})
	})
}

// beginMoves starts moves that have been written to the record. planned are the fences
// that were assigned to them.
func (c *Coordinator) beginMoves(service string, moves []keyspace.Move, planned fenceRange) {
	l := c.lead
	for _, m := range moves {
		events.MovePlanned.Log(c.config.Logger).Str("service", service).Int("first", int(m.First)).Int("last", int(m.Last)).
			Str("to", m.To.ID).Bool("joins", m.Joins).Uint64("term", l.record.Term).Int64("revision", l.revision).Send()
	}
	l.leaseTable.applyMoves(service, l.record.Slices[service], planned)
	c.noteRestarts(c.view.Targets, time.Now())
	c.publishSlices()
	c.sendDueOrders(time.Now())
}

// applyMoves replaces the slices of a service with those that were written to the record.
// Slices that move have one of the planned fences; for the others, changes during the
// write are kept. If other slices were assigned fences above the planned ones
// during the write, the moved slices get new fences as well: a release needs a higher
// fence than the one that the former owner has.
func (lt *leaseTable) applyMoves(service string, written []fleet.Slice, planned fenceRange) {
	current := lt.slices[service]
	lt.slices[service] = append([]fleet.Slice(nil), written...)
	for i := range lt.slices[service] {
		s := &lt.slices[service][i]
		if s.Fence >= planned.next {
			if lt.fences.next > planned.last+1 {
				lt.refence(s, 0)
			}
			if s.Ready {
				lt.confirmedAt[idOf(s)] = time.Now()
			}
			continue
		}
		if known := fleet.Find(current, s.First); known != nil && known.Owner == s.Owner {
			lt.copyProgress(s, known)
		}
	}
	lt.prune()
}

// copyProgress copies the current state of a slice to its written form, or to a part
// of the slice.
func (lt *leaseTable) copyProgress(s, current *fleet.Slice) {
	s.Fence, s.FormerOwners, s.Ready = current.Fence, current.FormerOwners, current.Ready
	if at, confirmed := lt.confirmedAt[idOf(current)]; confirmed {
		lt.confirmedAt[idOf(s)] = at
		lt.readySince[idOf(s)] = lt.readySince[idOf(current)]
	}
}

// publishSlices publishes the current owners of keys, and the targets that are assumed to be
// cold if that is due: the broker has to spare them before they are granted keys.
func (c *Coordinator) publishSlices() {
	l := c.lead
	view := *c.view
	view.Slices = map[string][]fleet.Slice{}
	for service, list := range l.leaseTable.slices {
		view.Slices[service] = append([]fleet.Slice(nil), list...)
	}
	l.parts.setSlices(view.Slices)
	c.addAssumed(&view, time.Now())
	c.publish(&view)
}

// sendOrder sends an order to a target in the background.
func (c *Coordinator) sendOrder(t task) {
	l := c.lead
	known := c.view.Targets[t.target.ID]
	if known == nil || known.Life != t.target || !c.mayAct() {
		// Without the incarnation's address, its grants have to expire.
		l.leaseTable.orderFailed(t, time.Now())
		return
	}
	to := *known
	go func() {
		began := time.Now()
		handover, err := c.callTarget(l.orderContext, t, to)
		c.config.Loop.Post(func() {
			if c.lead == l {
				c.orderDone(t, handover, err, began)
			}
		})
	}()
}

// callTarget sends an order and waits for its result. For a release it returns the former
// owner's handover text. It runs outside the loop.
func (c *Coordinator) callTarget(ctx context.Context, t task, to fleet.Target) (string, error) {
	if t.release {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		return c.config.Targets.Release(ctx, to, t.slice)
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return "", c.config.Targets.Grant(ctx, to, t.slice, t.fenceSent, c.leaseDuration(), t.handover)
}

// leaseDuration returns how long a grant lasts.
func (c *Coordinator) leaseDuration() time.Duration {
	return min(defaultLeaseDuration, c.config.LongestHold)
}

// orderDone handles the result of an order that was sent at began.
func (c *Coordinator) orderDone(t task, handover string, err error, began time.Time) {
	lt := c.lead.leaseTable
	now := time.Now()
	changed, newFence := false, uint64(0)
	if err == nil || fault.Is(err, fault.Conflict) && !errors.Is(err, target.ErrProcessUnknown) {
		delete(lt.unreachable, t.target)
	}
	switch {
	case fault.Is(err, fault.NotFound):
		lt.orderRefused(t, now)
		c.checkTargetUnreachable(t.target)
	case fault.Is(err, fault.Refused):
		// Another process listens at the target's address, so the target has ended.
		lt.orderFailed(t, now)
		changed = !lt.endedTargets[t.target]
		lt.markEnded(t.target, now)
	case t.release && err == nil:
		changed = lt.releaseDone(t, handover)
	case t.release:
		lt.orderFailed(t, now)
	case fault.Is(err, fault.Conflict):
		lt.orderFailed(t, now)
		refused := !errors.Is(err, target.ErrProcessUnknown)
		if refused && lt.provesLaterLeader(t) {
			c.lead.noteLaterLeader(c.config.Uptime())
		}
		newFence = lt.handleConflict(t, refused, now, c.config.Uptime())
		changed = newFence != 0
		if !refused && changed {
			lt.maybeNextProcess[newFence] = true
			c.assumeRestarted(t.target, now)
		}
	default:
		changed = lt.grantDone(t, err == nil, now)
		if err == nil && lt.maybeNextProcess[t.fence] {
			// The process that has taken the fence may have started since the last read.
			delete(lt.maybeNextProcess, t.fence)
			changed = c.assumeRestarted(t.target, now) || changed
			c.observer.ConfirmEntries()
		}
	}
	c.logOrder(t, err, now.Sub(began), changed, newFence)
	if changed {
		c.publishSlicesSoon()
	}
}

// publishSlicesSoon publishes the owners of keys and sends the orders that are due, after
// the results that are already queued on the loop and at most once each slicesInterval. Many
// moves complete together, and for each view the broker examines all waiting requests.
func (c *Coordinator) publishSlicesSoon() {
	l := c.lead
	if l.slicesPending {
		return
	}
	l.slicesPending = true
	c.config.Loop.PostAfter(slicesInterval-time.Since(l.slicesPublishedAt), func() {
		l.slicesPending = false
		if c.lead != l {
			return
		}
		l.slicesPublishedAt = time.Now()
		c.publishSlices()
		c.sendDueOrders(time.Now())
	})
}

// assumeRestarted handles signs that another process of a target may have taken its place.
// Its entry in the store says that it is cold, but it may not have arrived yet, or the store
// may be away. Until it is known to be current, the target counts as cold. The result
// reports whether that is news.
func (c *Coordinator) assumeRestarted(life fleet.Life, now time.Time) bool {
	if !c.observer.Complete() || !c.observer.AssumeCold(life, now) {
		return false
	}
	c.lead.targetsPending = true
	return true
}

// publishAssumed shows the targets that are assumed to be cold to this VM's broker, which
// has to spare them. The other VMs need not know: all permits come from there.
func (c *Coordinator) publishAssumed(now time.Time) {
	view := *c.view
	if c.addAssumed(&view, now) {
		c.publish(&view)
	}
}

// addAssumed sets the targets of a view to those that are known and assumed to be cold, if
// that is due.
func (c *Coordinator) addAssumed(view *fleet.View, now time.Time) (due bool) {
	l := c.lead
	if !l.targetsPending || now.Sub(l.targetsPublishedAt) < targetsInterval {
		return false
	}
	l.targetsPending, l.targetsPublishedAt = false, now
	view.Targets = c.markLeaving(c.observer.Targets())
	return true
}

// logOrder logs the result of an order, except for renewals that changed nothing. newFence
// is the fence that the slice was newly assigned, or 0.
func (c *Coordinator) logOrder(t task, err error, took time.Duration, changed bool, newFence uint64) {
	if err == nil && !changed && !t.release {
		return
	}
	kind := "grant"
	if t.release {
		kind = "release"
	}
	line := events.OrderDone.Log(c.config.Logger)
	if newFence != 0 {
		line = line.Uint64("fence_next", newFence)
	}
	line.Str("order", kind).Str("service", t.service).Str("target", t.target.ID).
		Int("first", int(t.slice.First)).Int("last", int(t.slice.Last)).Uint64("fence", t.fence).
		Dur("took", took).Bool("changed", changed).AnErr("error", err).Send()
}

// NotOwner handles a target's refusal of a request for a key that it should own: its
// process may have restarted unnoticed, or a delayed release has taken effect. The slice
// is granted again at a new fence.
func (c *Coordinator) NotOwner(service string, key uint16, life fleet.Life) {
	l := c.lead
	if l == nil {
		return
	}
	s := fleet.Find(l.leaseTable.slices[service], key)
	if s == nil || s.Owner != life || !s.Ready || time.Since(l.leaseTable.readySince[idOf(s)]) < minReadyTime {
		return
	}
	if l.leaseTable.refence(s, c.config.Uptime()) {
		s.Ready = false
		l.leaseTable.maybeNextProcess[s.Fence] = true
		c.assumeRestarted(life, time.Now())
		c.publishSlicesSoon()
	}
}
