package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// defaultLeaseDuration is how long a grant lasts, unless targets accept only shorter
	// ones. The keys of a target that stops answering are served by another target after
	// this time.
	defaultLeaseDuration = 3 * time.Second
	// renewInterval is the interval between renewals of a grant: a quarter of the time
	// that the grant lasts.
	renewInterval = 750 * time.Millisecond
	// maxParallelRenewals is the number of orders in flight to a target at which further
	// renewals wait, so that they share two connections. A renewal that is overdue by
	// maxRenewalDelay does not wait.
	maxParallelRenewals = 2
	maxRenewalDelay     = renewInterval
	// maxClockDrift is the share by which a target's clock may run slower than the
	// leader's.
	maxClockDrift = 0.03
	// leaseMargin covers the network delay of a grant and late timers on both sides.
	leaseMargin = 250 * time.Millisecond
	// orderRetryDelay is the pause before a failed order is repeated.
	orderRetryDelay = 200 * time.Millisecond
)

// leaseTable tracks which targets may hold which keys and decides which orders to
// send next: releases to former owners, and grants to owners. An owner holds its
// keys under a lease that each grant starts or extends. The type does no input or
// output.
//
// A fleet.Life identifies one incarnation of a target, that is one run of its
// process. The next incarnation has the same ID and often the same address.
//
// Invariant: a slice is granted only while no other target can hold its keys.
// That is so once each former owner has answered a release at the slice's fence,
// has ended, or can no longer have a grant in force. Former owners are written to
// the store before the first release is sent. A fence is accepted by one process
// only (see fenceRange).
type leaseTable struct {
	// slices are the slices of each service, sorted by key.
	slices map[string][]fleet.Slice
	// mayHoldUntil is when the last grant that a target may have received expires.
	mayHoldUntil map[fleet.Life]time.Time
	// soleLeader is set once no former leader can send grants any more. Those that it
	// sent expire by formerGrantsUntil.
	soleLeader        bool
	formerGrantsUntil time.Time
	// formerLeaderEnded is set if the former leader's process is known to have ended, so
	// that it sends nothing more.
	formerLeaderEnded bool
	// recovering is set while no fence may be granted that has not been sent yet, because
	// the store has been restored (restored.go).
	recovering bool
	// handovers are the texts that former owners returned with their releases, by
	// the slice's fence. Each is passed to the new owner with its grant.
	handovers map[uint64]string
	// leaseDuration is how long a grant lasts.
	leaseDuration time.Duration
	// endedTargets are incarnations that have ended. They get no more orders, because
	// another incarnation at the same address would accept them.
	endedTargets map[fleet.Life]bool
	// unreachable maps an incarnation whose port refuses the connections of several VMs to
	// when it may be sent the next order. It may still hold keys. Its keys move to others,
	// and it gets one order at a time until it answers one.
	unreachable map[fleet.Life]time.Time
	// successors maps an incarnation that has ended to the next one of the same
	// target. Grants that were sent to the former may have reached the latter.
	successors map[fleet.Life]fleet.Life
	// ordersInFlight counts the orders in flight to an incarnation. grantedAfterEnd is set
	// if the next incarnation at its address may have accepted a grant: one that was not
	// refused completed after the incarnation had ended.
	ordersInFlight  map[fleet.Life]int
	grantedAfterEnd map[fleet.Life]bool
	// newFenceGrantedAt is when a grant at a new fence that was not refused last
	// completed.
	newFenceGrantedAt map[fleet.Life]time.Time
	// grantsInFlight counts the grants in flight to an incarnation.
	grantsInFlight map[fleet.Life]int
	// firstGrants are the grants in flight, by target ID, that may reach the target's next
	// incarnation, because they are the first at their fence. Later ones go only over
	// the connection to the process that accepted the first.
	firstGrants map[string]map[order]fleet.Slice
	// inFlight are the orders in flight.
	inFlight map[order]bool
	// retryAt is when a failed order may be repeated.
	retryAt map[order]time.Time
	// confirmedAt is when a slice's owner last confirmed its grant, readySince when
	// it first did.
	confirmedAt map[sliceID]time.Time
	readySince  map[sliceID]time.Time
	// fences are those that this leader may still assign. sentFences are those that it
	// has sent in a grant.
	fences     fenceRange
	sentFences map[uint64]bool
	// minConfirmedUptime holds, by fence, the uptime at or after which this VM must have
	// been confirmed as the leader before the fence is first sent.
	minConfirmedUptime map[uint64]time.Duration
	// maybeNextProcess holds the fences that replace one whose process may have ended: the
	// one that takes such a fence may be the next, unseen and cold.
	maybeNextProcess map[uint64]bool
}

// sliceID identifies a slice. The fence alone does not: when a slice is split, both
// parts keep it.
type sliceID struct {
	fence uint64
	first uint16
}

func idOf(s *fleet.Slice) sliceID { return sliceID{s.Fence, s.First} }

// order identifies a release or grant of a slice that is sent to a target.
type order struct {
	service string
	fence   uint64
	first   uint16
	target  fleet.Life
	release bool
}

// task is an order with what is needed to send it.
type task struct {
	order
	slice fleet.Slice
	// handover is the former owner's text, which a grant passes on.
	handover string
	// fenceSent is set if the fence has been sent in a grant before. Such a grant renews
	// the lease or retries the grant, over the connection of the process that
	// accepted the fence.
	fenceSent bool
}

// newLeaseTable takes over the slices of a record and assigns each of them a new fence
// of those available.
func newLeaseTable(slices map[string][]fleet.Slice, available fenceRange, leaseDuration time.Duration) *leaseTable {
	lt := &leaseTable{
		leaseDuration: leaseDuration, fences: available,
		slices: map[string][]fleet.Slice{}, mayHoldUntil: map[fleet.Life]time.Time{},
		handovers: map[uint64]string{}, endedTargets: map[fleet.Life]bool{},
		unreachable:    map[fleet.Life]time.Time{},
		successors:     map[fleet.Life]fleet.Life{},
		ordersInFlight: map[fleet.Life]int{}, grantedAfterEnd: map[fleet.Life]bool{}, grantsInFlight: map[fleet.Life]int{},
		newFenceGrantedAt: map[fleet.Life]time.Time{},
		firstGrants:       map[string]map[order]fleet.Slice{}, inFlight: map[order]bool{}, retryAt: map[order]time.Time{},
		confirmedAt: map[sliceID]time.Time{}, readySince: map[sliceID]time.Time{},
		sentFences: map[uint64]bool{}, minConfirmedUptime: map[uint64]time.Duration{}, maybeNextProcess: map[uint64]bool{},
	}
	for service, list := range slices {
		lt.slices[service] = append([]fleet.Slice(nil), list...)
		for i := range list {
			s := &lt.slices[service][i]
			lt.refence(s, 0)
			lt.maybeNextProcess[s.Fence] = true
		}
	}
	return lt
}

// prune removes the state of slices and fences that are no longer in use.
func (lt *leaseTable) prune() {
	present := map[sliceID]bool{}
	fences := map[uint64]bool{}
	for _, list := range lt.slices {
		for i := range list {
			present[idOf(&list[i])] = true
			fences[list[i].Fence] = true
		}
	}
	maps.DeleteFunc(lt.handovers, func(fence uint64, _ string) bool { return !fences[fence] })
	maps.DeleteFunc(lt.sentFences, func(fence uint64, _ bool) bool { return !fences[fence] })
	maps.DeleteFunc(lt.minConfirmedUptime, func(fence uint64, _ time.Duration) bool { return !fences[fence] })
	maps.DeleteFunc(lt.maybeNextProcess, func(fence uint64, _ bool) bool { return !fences[fence] })
	maps.DeleteFunc(lt.confirmedAt, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(lt.readySince, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(lt.retryAt, func(o order, _ time.Time) bool { return !present[sliceID{o.fence, o.first}] })
}

// adoptReady marks slices as ready that the former leader published as ready, and makes
// their renewals due now.
func (lt *leaseTable) adoptReady(published map[string][]fleet.Slice, now time.Time) {
	for service, list := range lt.slices {
		for i := range list {
			s := fleet.Find(published[service], list[i].First)
			list[i].Ready = s != nil && s.Owner == list[i].Owner && s.Ready && len(list[i].FormerOwners) == 0
			if list[i].Ready {
				lt.confirmedAt[idOf(&list[i])] = now.Add(-renewInterval)
			}
		}
	}
}

// expireReady marks slices as not ready whose owners have not confirmed a grant for
// as long as a grant lasts. It reports whether there were any.
func (lt *leaseTable) expireReady(now time.Time) bool {
	expired := false
	for _, list := range lt.slices {
		for i := range list {
			if s := &list[i]; s.Ready && now.Sub(lt.confirmedAt[idOf(s)]) > lt.leaseDuration {
				s.Ready, expired = false, true
			}
		}
	}
	return expired
}

// setSoleLeader records that no former leader sends grants after the given time.
func (lt *leaseTable) setSoleLeader(after time.Time) {
	lt.soleLeader = true
	lt.formerGrantsUntil = after.Add(maxLeaseTime(lt.leaseDuration))
}

// maxLeaseTime returns how long a grant of the given duration may be in force after
// its arrival, by this VM's clock.
func maxLeaseTime(leaseDuration time.Duration) time.Duration {
	return time.Duration(float64(leaseDuration)*(1+maxClockDrift)) + leaseMargin
}

// markEnded records that an incarnation of a target had ended by the given time. A
// grant at a new fence that completed later may have reached the next incarnation; renewals
// reach only the former one.
func (lt *leaseTable) markEnded(life fleet.Life, at time.Time) {
	lt.endedTargets[life] = true
	delete(lt.unreachable, life)
	lt.grantedAfterEnd[life] = lt.grantedAfterEnd[life] || lt.newFenceGrantedAt[life].After(at)
	lt.setNotReady(life)
}

// markUnreachable records that an incarnation of a target accepts no connections, until it
// answers an order.
func (lt *leaseTable) markUnreachable(life fleet.Life) {
	if lt.endedTargets[life] {
		return
	}
	lt.unreachable[life] = time.Time{}
	lt.setNotReady(life)
}

// unreachableWithoutOrders returns the unreachable incarnations that are due for the next
// order, but neither own keys nor have to release any.
func (lt *leaseTable) unreachableWithoutOrders(now time.Time) []fleet.Life {
	if len(lt.unreachable) == 0 {
		return nil
	}
	hasOrders := map[fleet.Life]bool{}
	for _, list := range lt.slices {
		for i := range list {
			hasOrders[list[i].Owner] = true
			for _, life := range list[i].FormerOwners {
				hasOrders[life] = true
			}
		}
	}
	var found []fleet.Life
	for life, nextOrder := range lt.unreachable {
		if !hasOrders[life] && !now.Before(nextOrder) {
			found = append(found, life)
		}
	}
	return found
}

func (lt *leaseTable) isUnreachable(life fleet.Life) bool {
	_, unreachable := lt.unreachable[life]
	return unreachable
}

// setNotReady marks the slices of an owner as not ready.
func (lt *leaseTable) setNotReady(owner fleet.Life) {
	for _, list := range lt.slices {
		for i := range list {
			list[i].Ready = list[i].Ready && list[i].Owner != owner
		}
	}
}

// markRestarted records that a target runs in a newer incarnation. Orders to the former
// one may have reached it, so it replaces the former one among those that must release
// keys.
func (lt *leaseTable) markRestarted(former, next fleet.Life, now time.Time) {
	lt.markEnded(former, now)
	lt.successors[former] = next
	lt.extendLease(next, lt.mayHoldUntil[former])
	for _, list := range lt.slices {
		for i := range list {
			if !slices.Contains(list[i].FormerOwners, former) {
				continue
			}
			removeFormerOwner(&list[i], former)
			if !slices.Contains(list[i].FormerOwners, next) && list[i].Owner != next {
				list[i].FormerOwners = append(list[i].FormerOwners, next)
			}
		}
	}
}

// removeFormerOwner removes a former owner from a slice and reports whether it was one.
func removeFormerOwner(s *fleet.Slice, life fleet.Life) bool {
	at := slices.Index(s.FormerOwners, life)
	if at < 0 {
		return false
	}
	s.FormerOwners = slices.Delete(append([]fleet.Life(nil), s.FormerOwners...), at, at+1)
	return true
}

// mayHold reports whether an incarnation of a target may have a grant in force. One
// that has ended has none, once no former leader can send grants to its address.
func (lt *leaseTable) mayHold(life fleet.Life, now time.Time) bool {
	if lt.endedTargets[life] && !lt.grantedAfterEnd[life] && lt.ordersInFlight[life] == 0 && lt.soleLeader && (lt.formerLeaderEnded || now.After(lt.formerGrantsUntil)) {
		return false
	}
	return !lt.soleLeader || now.Before(lt.formerGrantsUntil) || now.Before(lt.mayHoldUntil[life]) || lt.hasGrantInFlight(life)
}

// hasGrantInFlight reports whether a grant is in flight that an incarnation may accept,
// including one that was sent to a former incarnation of the same target.
func (lt *leaseTable) hasGrantInFlight(life fleet.Life) bool {
	if lt.grantsInFlight[life] > 0 {
		return true
	}
	for former, next := range lt.successors {
		if next == life && lt.hasGrantInFlight(former) {
			return true
		}
	}
	return false
}

// extendLease records that a target may have a grant in force until the given time.
func (lt *leaseTable) extendLease(life fleet.Life, until time.Time) {
	if until.After(lt.mayHoldUntil[life]) {
		lt.mayHoldUntil[life] = until
	}
}

// expireFormerOwners removes former owners that can have no grant in force any more, and
// returns the slices from which one was removed.
func (lt *leaseTable) expireFormerOwners(now time.Time) []fleet.Slice {
	var freed []fleet.Slice
	for service, list := range lt.slices {
		for i := range list {
			for _, life := range slices.Clone(list[i].FormerOwners) {
				if !lt.mayHold(life, now) {
					removeFormerOwner(&list[i], life)
					freed = append(freed, list[i])
				}
			}
		}
		lt.slices[service] = list
	}
	return freed
}

// dueTasks returns the orders to send now, and records them as in flight. confirmedUptime
// is the uptime at which this VM was last confirmed as the leader, or 0 if that is too long
// ago to send a new fence that needs a confirmation.
func (lt *leaseTable) dueTasks(now time.Time, confirmedUptime time.Duration) []task {
	var tasks []task
	for service, list := range lt.slices {
		for _, s := range list {
			if len(s.FormerOwners) > 0 {
				for _, life := range s.FormerOwners {
					tasks = lt.appendIfDue(tasks, task{order: order{service, s.Fence, s.First, life, true}, slice: s}, now, confirmedUptime)
				}
				continue
			}
			tasks = lt.appendIfDue(tasks, task{
				order: order{service, s.Fence, s.First, s.Owner, false}, slice: s, handover: lt.handovers[s.Fence],
			}, now, confirmedUptime)
		}
	}
	return tasks
}

// appendIfDue appends a task, unless its order is in flight already, must not be sent yet,
// or is for an incarnation that has ended.
func (lt *leaseTable) appendIfDue(tasks []task, t task, now time.Time, confirmedUptime time.Duration) []task {
	if lt.inFlight[t.order] || lt.endedTargets[t.target] || now.Before(lt.retryAt[t.order]) {
		return tasks
	}
	if lt.isUnreachable(t.target) && (lt.ordersInFlight[t.target] > 0 || now.Before(lt.unreachable[t.target])) {
		return tasks
	}
	if t.release && lt.hasFirstGrantInFlight(t) {
		return tasks
	}
	if !t.release {
		if t.slice.Ready && lt.renewalCanWait(t, now) {
			return tasks
		}
		t.fenceSent = lt.sentFences[t.fence]
		if !t.fenceSent && lt.recovering {
			return tasks
		}
		if !t.fenceSent && confirmedUptime < lt.minConfirmedUptime[t.fence] {
			return tasks
		}
		delete(lt.minConfirmedUptime, t.fence)
		lt.sentFences[t.fence] = true
	}
	lt.inFlight[t.order] = true
	lt.ordersInFlight[t.target]++
	if !t.release {
		lt.grantsInFlight[t.target]++
		if !t.fenceSent {
			if lt.firstGrants[t.target.ID] == nil {
				lt.firstGrants[t.target.ID] = map[order]fleet.Slice{}
			}
			lt.firstGrants[t.target.ID][t.order] = t.slice
		}
	}
	return append(tasks, t)
}

// hasFirstGrantInFlight reports whether a grant of a release's keys is in flight that is
// the first at its fence. It could reach a later incarnation of the target than the one
// that answers the release.
func (lt *leaseTable) hasFirstGrantInFlight(release task) bool {
	for o, s := range lt.firstGrants[release.target.ID] {
		if o.service == release.service && s.First <= release.slice.Last && release.slice.First <= s.Last {
			return true
		}
	}
	return false
}

// renewalCanWait reports whether a renewal is not due yet, or waits for other orders to
// the same target.
func (lt *leaseTable) renewalCanWait(t task, now time.Time) bool {
	at := lt.confirmedAt[idOf(&t.slice)].Add(renewInterval)
	if now.Before(at) {
		return true
	}
	return lt.ordersInFlight[t.target] >= maxParallelRenewals && now.Before(at.Add(maxRenewalDelay))
}

// findSlice returns the slice of an order, or nil if it has changed since.
func (lt *leaseTable) findSlice(o order) *fleet.Slice {
	list := lt.slices[o.service]
	for i := range list {
		if list[i].Fence == o.fence && list[i].First == o.first {
			return &list[i]
		}
	}
	return nil
}

// grantDone records a completed grant that may have reached the target, so that the
// target may hold the keys for as long as a grant lasts. confirmed is set if
// the target confirmed it. The result reports whether the slice became ready.
func (lt *leaseTable) grantDone(t task, confirmed bool, now time.Time) bool {
	lt.removeInFlight(t)
	lt.grantedAfterEnd[t.target] = lt.grantedAfterEnd[t.target] || lt.endedTargets[t.target]
	if !t.fenceSent {
		lt.newFenceGrantedAt[t.target] = now
	}
	until := now.Add(maxLeaseTime(lt.leaseDuration))
	life, known := t.target, true
	for known {
		lt.extendLease(life, until)
		life, known = lt.successors[life]
	}
	if !confirmed {
		lt.retryAt[t.order] = now.Add(orderRetryDelay)
		return false
	}
	delete(lt.retryAt, t.order)
	s := lt.findSlice(t.order)
	if s == nil || s.Owner != t.target || len(s.FormerOwners) > 0 {
		return false
	}
	lt.confirmedAt[idOf(s)] = now
	becameReady := !s.Ready
	if becameReady {
		lt.readySince[idOf(s)] = now
	}
	s.Ready = true
	return becameReady
}

// orderFailed records an order that had no effect, and schedules its retry.
func (lt *leaseTable) orderFailed(t task, now time.Time) {
	lt.removeInFlight(t)
	lt.retryAt[t.order] = now.Add(orderRetryDelay)
}

// orderRefused records an order whose connection was refused, and schedules its retry. While
// the target is unreachable, its other orders wait as well: there may be hundreds.
func (lt *leaseTable) orderRefused(t task, now time.Time) {
	lt.orderFailed(t, now)
	if lt.isUnreachable(t.target) {
		lt.unreachable[t.target] = now.Add(orderRetryDelay)
	}
}

// removeInFlight removes an order from those in flight.
func (lt *leaseTable) removeInFlight(t task) {
	delete(lt.inFlight, t.order)
	lt.ordersInFlight[t.target]--
	if !t.release {
		lt.grantsInFlight[t.target]--
		delete(lt.firstGrants[t.target.ID], t.order)
	}
}

// releaseDone records a confirmed release and the former owner's handover text. It
// reports whether the slice has no former owners left.
func (lt *leaseTable) releaseDone(t task, handover string) bool {
	lt.removeInFlight(t)
	delete(lt.retryAt, t.order)
	s := lt.findSlice(t.order)
	if s == nil || !removeFormerOwner(s, t.target) {
		return false
	}
	if handover != "" {
		lt.handovers[s.Fence] = handover
	}
	return len(s.FormerOwners) == 0
}
