package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// defaultLeaseDuration is how long a grant lasts. The keys of a target that stops answering
	// are served by another target after this time.
	defaultLeaseDuration = 3 * time.Second
	// renewInterval is the interval between renewals of a grant: a quarter of the time
	// that the grant lasts.
	renewInterval = 750 * time.Millisecond
	// maxParallelRenewals is the number of orders in flight to a target from which on its
	// renewals wait, so that they share two connections. A renewal that is overdue by
	// renewSlack does not wait.
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
// only (see fences).
type leaseTable struct {
	slices map[string][]fleet.Slice
	// mayHoldUntil is when the last grant that a target may have received expires.
	mayHoldUntil map[fleet.Life]time.Time
	// soleLeader is set once no former leader can send grants any more. Those that it
	// sent expire by heldBefore.
	soleLeader        bool
	formerGrantsUntil time.Time
	// formerLeaderEnded is set if the former leader's process is known to have ended, so
	// that it sends nothing more.
	formerLeaderEnded bool
	// handovers are the texts that former owners returned with their releases, by
	// the slice's fence. Each is passed to the new owner with its grant.
	handovers map[uint64]string
	// leaseDuration is how long a grant lasts.
	leaseDuration time.Duration
	// endedTargets are incarnations that have ended. They get no more orders, because another
	// incarnation at the same address would accept them.
	endedTargets map[fleet.Life]bool
	// successors maps an incarnation that has ended to the next one of the same
	// target. Grants that were sent to the former may have reached the latter.
	successors map[fleet.Life]fleet.Life
	// ordersInFlight counts the orders in flight to an incarnation. late is set if the next
	// incarnation at its address may have accepted a grant: one that had not been
	// refused completed after the incarnation had ended.
	ordersInFlight  map[fleet.Life]int
	grantedAfterEnd map[fleet.Life]bool
	// newFenceGrantedAt is when a grant at a new fence that was not refused last completed.
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
	// fences are those that this leader may still assign. sent are those that it has
	// sent in a grant.
	fences     fenceRange
	sentFences map[uint64]bool
	// minConfirmedUptime holds, by fence, the uptime at or after which this VM must have been
	// confirmed as the leader before the fence is first sent.
	minConfirmedUptime map[uint64]time.Duration
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

// newLeaseTable takes over the slices of a record and gives each of them a new fence
// from given.
func newLeaseTable(slices map[string][]fleet.Slice, available fenceRange, hold time.Duration) *leaseTable {
	k := &leaseTable{
		leaseDuration: hold, fences: available,
		slices: map[string][]fleet.Slice{}, mayHoldUntil: map[fleet.Life]time.Time{},
		handovers: map[uint64]string{}, endedTargets: map[fleet.Life]bool{},
		successors:     map[fleet.Life]fleet.Life{},
		ordersInFlight: map[fleet.Life]int{}, grantedAfterEnd: map[fleet.Life]bool{}, grantsInFlight: map[fleet.Life]int{},
		newFenceGrantedAt: map[fleet.Life]time.Time{},
		firstGrants:       map[string]map[order]fleet.Slice{}, inFlight: map[order]bool{}, retryAt: map[order]time.Time{},
		confirmedAt: map[sliceID]time.Time{}, readySince: map[sliceID]time.Time{},
		sentFences: map[uint64]bool{}, minConfirmedUptime: map[uint64]time.Duration{},
	}
	for service, list := range slices {
		k.slices[service] = append([]fleet.Slice(nil), list...)
		for i := range list {
			k.refence(&k.slices[service][i], 0)
		}
	}
	return k
}

// prune removes the state of slices and fences that are no longer in use.
func (k *leaseTable) prune() {
	present := map[sliceID]bool{}
	fences := map[uint64]bool{}
	for _, list := range k.slices {
		for i := range list {
			present[idOf(&list[i])] = true
			fences[list[i].Fence] = true
		}
	}
	maps.DeleteFunc(k.handovers, func(fence uint64, _ string) bool { return !fences[fence] })
	maps.DeleteFunc(k.sentFences, func(fence uint64, _ bool) bool { return !fences[fence] })
	maps.DeleteFunc(k.minConfirmedUptime, func(fence uint64, _ time.Duration) bool { return !fences[fence] })
	maps.DeleteFunc(k.confirmedAt, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(k.readySince, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(k.retryAt, func(o order, _ time.Time) bool { return !present[sliceID{o.fence, o.first}] })
}

// adoptReady marks slices as ready that the former leader published as ready, and makes
// their renewals due now.
func (k *leaseTable) adoptReady(known map[string][]fleet.Slice, now time.Time) {
	for service, list := range k.slices {
		for i := range list {
			s := fleet.Find(known[service], list[i].First)
			list[i].Ready = s != nil && s.Owner == list[i].Owner && s.Ready && len(list[i].From) == 0
			if list[i].Ready {
				k.confirmedAt[idOf(&list[i])] = now.Add(-renewInterval)
			}
		}
	}
}

// expireReady marks slices as not ready whose owners have not confirmed a grant for
// as long as a grant lasts. It reports whether there were any.
func (k *leaseTable) expireReady(now time.Time) bool {
	expired := false
	for _, list := range k.slices {
		for i := range list {
			if s := &list[i]; s.Ready && now.Sub(k.confirmedAt[idOf(s)]) > k.leaseDuration {
				s.Ready, expired = false, true
			}
		}
	}
	return expired
}

// setSoleLeader records that no former leader sends grants after the given time.
func (k *leaseTable) setSoleLeader(after time.Time) {
	k.soleLeader = true
	k.formerGrantsUntil = after.Add(maxLeaseTime(k.leaseDuration))
}

// maxLeaseTime returns how long a grant of the given duration may be in force after
// its arrival, by this VM's clock.
func maxLeaseTime(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+maxClockDrift)) + leaseMargin
}

// markEnded records that an incarnation of a target had markEnded by the given time. A grant
// at a new fence that completed later may have reached the next incarnation; renewals
// reach only the former one.
func (k *leaseTable) markEnded(life fleet.Life, at time.Time) {
	k.endedTargets[life] = true
	k.grantedAfterEnd[life] = k.grantedAfterEnd[life] || k.newFenceGrantedAt[life].After(at)
	for _, list := range k.slices {
		for i := range list {
			list[i].Ready = list[i].Ready && list[i].Owner != life
		}
	}
}

// markRestarted records that a target runs in a newer incarnation. Orders to the former
// one may have reached it, so it replaces the former one among those that must release
// keys.
func (k *leaseTable) markRestarted(former, present fleet.Life, now time.Time) {
	k.markEnded(former, now)
	k.successors[former] = present
	k.extendLease(present, k.mayHoldUntil[former])
	for _, list := range k.slices {
		for i := range list {
			if !slices.Contains(list[i].From, former) {
				continue
			}
			removeFormerOwner(&list[i], former)
			if !slices.Contains(list[i].From, present) && list[i].Owner != present {
				list[i].From = append(list[i].From, present)
			}
		}
	}
}

// removeFormerOwner removes a former owner from a slice and reports whether it was one.
func removeFormerOwner(s *fleet.Slice, life fleet.Life) bool {
	at := slices.Index(s.From, life)
	if at < 0 {
		return false
	}
	s.From = slices.Delete(append([]fleet.Life(nil), s.From...), at, at+1)
	return true
}

// mayHold reports whether an incarnation of a target may have a grant in force. One
// that has ended has none, once no former leader can send grants to its address.
func (k *leaseTable) mayHold(life fleet.Life, now time.Time) bool {
	if k.endedTargets[life] && !k.grantedAfterEnd[life] && k.ordersInFlight[life] == 0 && k.soleLeader && (k.formerLeaderEnded || now.After(k.formerGrantsUntil)) {
		return false
	}
	return !k.soleLeader || now.Before(k.formerGrantsUntil) || now.Before(k.mayHoldUntil[life]) || k.hasGrantInFlight(life)
}

// hasGrantInFlight reports whether a grant is in flight that an incarnation may accept,
// including one that was sent to a former incarnation of the same target.
func (k *leaseTable) hasGrantInFlight(life fleet.Life) bool {
	if k.grantsInFlight[life] > 0 {
		return true
	}
	for former, present := range k.successors {
		if present == life && k.hasGrantInFlight(former) {
			return true
		}
	}
	return false
}

// extendLease records that a target may have a grant in force until the given time.
func (k *leaseTable) extendLease(life fleet.Life, until time.Time) {
	if until.After(k.mayHoldUntil[life]) {
		k.mayHoldUntil[life] = until
	}
}

// expireFormerOwners removes former owners that can have no grant in force any more, and returns
// the slices from which one was removed.
func (k *leaseTable) expireFormerOwners(now time.Time) []fleet.Slice {
	var freed []fleet.Slice
	for service, list := range k.slices {
		for i := range list {
			for _, life := range slices.Clone(list[i].From) {
				if !k.mayHold(life, now) {
					removeFormerOwner(&list[i], life)
					freed = append(freed, list[i])
				}
			}
		}
		k.slices[service] = list
	}
	return freed
}

// dueTasks returns the orders to send now, and records them as in flight. confirmed is the
// uptime at which this VM was last confirmed as the leader.
func (k *leaseTable) dueTasks(now time.Time, confirmedUptime time.Duration) []task {
	var tasks []task
	for service, list := range k.slices {
		for _, s := range list {
			if len(s.From) > 0 {
				for _, life := range s.From {
					tasks = k.appendIfDue(tasks, task{order: order{service, s.Fence, s.First, life, true}, slice: s}, now, confirmedUptime)
				}
				continue
			}
			tasks = k.appendIfDue(tasks, task{
				order: order{service, s.Fence, s.First, s.Owner, false}, slice: s, handover: k.handovers[s.Fence],
			}, now, confirmedUptime)
		}
	}
	return tasks
}

// appendIfDue appends a task, unless its order is in flight already, must not be sent yet, or
// is for an incarnation that has ended.
func (k *leaseTable) appendIfDue(tasks []task, t task, now time.Time, confirmedUptime time.Duration) []task {
	if k.inFlight[t.order] || k.endedTargets[t.target] || now.Before(k.retryAt[t.order]) {
		return tasks
	}
	if t.release && k.hasFirstGrantInFlight(t) {
		return tasks
	}
	if !t.release {
		if t.slice.Ready && k.renewalCanWait(t, now) {
			return tasks
		}
		t.fenceSent = k.sentFences[t.fence]
		if !t.fenceSent && confirmedUptime < k.minConfirmedUptime[t.fence] {
			return tasks
		}
		delete(k.minConfirmedUptime, t.fence)
		k.sentFences[t.fence] = true
	}
	k.inFlight[t.order] = true
	k.ordersInFlight[t.target]++
	if !t.release {
		k.grantsInFlight[t.target]++
		if !t.fenceSent {
			if k.firstGrants[t.target.ID] == nil {
				k.firstGrants[t.target.ID] = map[order]fleet.Slice{}
			}
			k.firstGrants[t.target.ID][t.order] = t.slice
		}
	}
	return append(tasks, t)
}

// hasFirstGrantInFlight reports whether a first grant of a release's keys is in flight. It could
// reach a later incarnation of the target than the one that answers the release.
func (k *leaseTable) hasFirstGrantInFlight(release task) bool {
	for o, s := range k.firstGrants[release.target.ID] {
		if o.service == release.service && s.First <= release.slice.Last && release.slice.First <= s.Last {
			return true
		}
	}
	return false
}

// renewalCanWait reports whether the renewal of a grant can wait.
func (k *leaseTable) renewalCanWait(t task, now time.Time) bool {
	at := k.confirmedAt[idOf(&t.slice)].Add(renewInterval)
	if now.Before(at) {
		return true
	}
	return k.ordersInFlight[t.target] >= maxParallelRenewals && now.Before(at.Add(maxRenewalDelay))
}

// findSlice returns the slice of an order, or nil if it has changed since.
func (k *leaseTable) findSlice(o order) *fleet.Slice {
	list := k.slices[o.service]
	for i := range list {
		if list[i].Fence == o.fence && list[i].First == o.first {
			return &list[i]
		}
	}
	return nil
}

// grantDone records a completed grant that may have reached the target, so that the
// target may hold the keys for as long as a grant lasts. ok is set if the target
// confirmed it. The result reports whether the slice became ready.
func (k *leaseTable) grantDone(t task, ok bool, now time.Time) bool {
	k.removeInFlight(t)
	k.grantedAfterEnd[t.target] = k.grantedAfterEnd[t.target] || k.endedTargets[t.target]
	if !t.fenceSent {
		k.newFenceGrantedAt[t.target] = now
	}
	until := now.Add(maxLeaseTime(k.leaseDuration))
	life, known := t.target, true
	for known {
		k.extendLease(life, until)
		life, known = k.successors[life]
	}
	if !ok {
		k.retryAt[t.order] = now.Add(orderRetryDelay)
		return false
	}
	delete(k.retryAt, t.order)
	s := k.findSlice(t.order)
	if s == nil || s.Owner != t.target || len(s.From) > 0 {
		return false
	}
	k.confirmedAt[idOf(s)] = now
	becameReady := !s.Ready
	if becameReady {
		k.readySince[idOf(s)] = now
	}
	s.Ready = true
	return becameReady
}

// orderFailed records an order that had no effect, and schedules its retry.
func (k *leaseTable) orderFailed(t task, now time.Time) {
	k.removeInFlight(t)
	k.retryAt[t.order] = now.Add(orderRetryDelay)
}

// removeInFlight removes an order from those in flight.
func (k *leaseTable) removeInFlight(t task) {
	delete(k.inFlight, t.order)
	k.ordersInFlight[t.target]--
	if !t.release {
		k.grantsInFlight[t.target]--
		delete(k.firstGrants[t.target.ID], t.order)
	}
}

// releaseDone records a confirmed release and the former owner's handover text. It
// reports whether the slice has no former owners left.
func (k *leaseTable) releaseDone(t task, handover string) bool {
	k.removeInFlight(t)
	delete(k.retryAt, t.order)
	s := k.findSlice(t.order)
	if s == nil || !removeFormerOwner(s, t.target) {
		return false
	}
	if handover != "" {
		k.handovers[s.Fence] = handover
	}
	return len(s.From) == 0
}
