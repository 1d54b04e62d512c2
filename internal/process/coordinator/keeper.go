package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// usualHold is how long a grant lasts. The keys of a target that stops answering
	// are served by another target after this time.
	usualHold = 3 * time.Second
	// renewEvery is the interval between renewals of a grant: a quarter of the time
	// that the grant lasts.
	renewEvery = 750 * time.Millisecond
	// renewalsAtOnce is the number of orders in flight to a target from which on its
	// renewals wait, so that they share two connections. A renewal that is overdue by
	// renewSlack does not wait.
	renewalsAtOnce = 2
	renewSlack     = renewEvery
	// clockSlack is the share by which a target's clock may run slower than the
	// leader's.
	clockSlack = 0.03
	// holdMargin covers the network delay of a grant and late timers on both sides.
	holdMargin = 250 * time.Millisecond
	// retryOrder is the pause before a failed order is repeated.
	retryOrder = 200 * time.Millisecond
)

// keeper tracks which targets may hold which keys and decides which orders to
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
type keeper struct {
	slices map[string][]fleet.Slice
	// mayHoldUntil is when the last grant that a target may have received expires.
	mayHoldUntil map[fleet.Life]time.Time
	// alone is set once no former leader can send grants any more. Those that it
	// sent expire by heldBefore.
	alone      bool
	heldBefore time.Time
	// formerIsGone is set if the former leader's process is known to have ended, so
	// that it sends nothing more.
	formerIsGone bool
	// handovers are the texts that former owners returned with their releases, by
	// the slice's fence. Each is passed to the new owner with its grant.
	handovers map[uint64]string
	// hold is how long a grant lasts.
	hold time.Duration
	// gone are incarnations that have ended. They get no more orders, because another
	// incarnation at the same address would accept them.
	gone map[fleet.Life]bool
	// successors maps an incarnation that has ended to the next one of the same
	// target. Grants that were sent to the former may have reached the latter.
	successors map[fleet.Life]fleet.Life
	// underWay counts the orders in flight to an incarnation. late is set if the next
	// incarnation at its address may have accepted a grant: one that had not been
	// refused completed after the incarnation had ended.
	underWay map[fleet.Life]int
	late     map[fleet.Life]bool
	// grantedAt is when a grant at a new fence that was not refused last completed.
	grantedAt map[fleet.Life]time.Time
	// granting counts the grants in flight to an incarnation.
	granting map[fleet.Life]int
	// opening are the grants in flight, by target ID, that may reach the target's next
	// incarnation, because they are the first at their fence. Later ones go only over
	// the connection to the process that accepted the first.
	opening map[string]map[order]fleet.Slice
	// ordering are the orders in flight.
	ordering map[order]bool
	// retryAt is when a failed order may be repeated.
	retryAt map[order]time.Time
	// confirmedAt is when a slice's owner last confirmed its grant, readySince when
	// it first did.
	confirmedAt map[sliceID]time.Time
	readySince  map[sliceID]time.Time
	// fences are those that this leader may still assign. sent are those that it has
	// sent in a grant.
	fences fences
	sent   map[uint64]bool
	// awaits holds, by fence, the uptime at or after which this VM must have been
	// confirmed as the leader before the fence is first sent.
	awaits map[uint64]time.Duration
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
	// again is set if the fence has been sent in a grant before. Such a grant renews
	// the lease or retries the grant, over the connection of the process that
	// accepted the fence.
	again bool
}

// newKeeper takes over the slices of a record and gives each of them a new fence
// from given.
func newKeeper(slices map[string][]fleet.Slice, given fences, hold time.Duration) *keeper {
	k := &keeper{
		hold: hold, fences: given,
		slices: map[string][]fleet.Slice{}, mayHoldUntil: map[fleet.Life]time.Time{},
		handovers: map[uint64]string{}, gone: map[fleet.Life]bool{},
		successors: map[fleet.Life]fleet.Life{},
		underWay:   map[fleet.Life]int{}, late: map[fleet.Life]bool{}, granting: map[fleet.Life]int{},
		grantedAt: map[fleet.Life]time.Time{},
		opening:   map[string]map[order]fleet.Slice{}, ordering: map[order]bool{}, retryAt: map[order]time.Time{},
		confirmedAt: map[sliceID]time.Time{}, readySince: map[sliceID]time.Time{},
		sent: map[uint64]bool{}, awaits: map[uint64]time.Duration{},
	}
	for service, list := range slices {
		k.slices[service] = append([]fleet.Slice(nil), list...)
		for i := range list {
			k.refence(&k.slices[service][i], 0)
		}
	}
	return k
}

// forgetFormer removes the state of slices and fences that are no longer in use.
func (k *keeper) forgetFormer() {
	present := map[sliceID]bool{}
	fences := map[uint64]bool{}
	for _, list := range k.slices {
		for i := range list {
			present[idOf(&list[i])] = true
			fences[list[i].Fence] = true
		}
	}
	maps.DeleteFunc(k.handovers, func(fence uint64, _ string) bool { return !fences[fence] })
	maps.DeleteFunc(k.sent, func(fence uint64, _ bool) bool { return !fences[fence] })
	maps.DeleteFunc(k.awaits, func(fence uint64, _ time.Duration) bool { return !fences[fence] })
	maps.DeleteFunc(k.confirmedAt, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(k.readySince, func(id sliceID, _ time.Time) bool { return !present[id] })
	maps.DeleteFunc(k.retryAt, func(o order, _ time.Time) bool { return !present[sliceID{o.fence, o.first}] })
}

// adopt marks slices as ready that the former leader published as ready, and makes
// their renewals due now.
func (k *keeper) adopt(known map[string][]fleet.Slice, now time.Time) {
	for service, list := range k.slices {
		for i := range list {
			s := fleet.Find(known[service], list[i].First)
			list[i].Ready = s != nil && s.Owner == list[i].Owner && s.Ready && len(list[i].From) == 0
			if list[i].Ready {
				k.confirmedAt[idOf(&list[i])] = now.Add(-renewEvery)
			}
		}
	}
}

// expireReady marks slices as not ready whose owners have not confirmed a grant for
// as long as a grant lasts. It reports whether there were any.
func (k *keeper) expireReady(now time.Time) bool {
	expired := false
	for _, list := range k.slices {
		for i := range list {
			if s := &list[i]; s.Ready && now.Sub(k.confirmedAt[idOf(s)]) > k.hold {
				s.Ready, expired = false, true
			}
		}
	}
	return expired
}

// formerEnded records that no former leader sends grants after the given time.
func (k *keeper) formerEnded(after time.Time) {
	k.alone = true
	k.heldBefore = after.Add(longestHeld(k.hold))
}

// longestHeld returns how long a grant of the given duration may be in force after
// its arrival, by this VM's clock.
func longestHeld(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockSlack)) + holdMargin
}

// ended records that an incarnation of a target had ended by the given time. A grant
// at a new fence that completed later may have reached the next incarnation; renewals
// reach only the former one.
func (k *keeper) ended(life fleet.Life, at time.Time) {
	k.gone[life] = true
	k.late[life] = k.late[life] || k.grantedAt[life].After(at)
	for _, list := range k.slices {
		for i := range list {
			list[i].Ready = list[i].Ready && list[i].Owner != life
		}
	}
}

// startedAgain records that a target runs in a newer incarnation. Orders to the former
// one may have reached it, so it replaces the former one among those that must release
// keys.
func (k *keeper) startedAgain(former, present fleet.Life, now time.Time) {
	k.ended(former, now)
	k.successors[former] = present
	k.extend(present, k.mayHoldUntil[former])
	for _, list := range k.slices {
		for i := range list {
			if !slices.Contains(list[i].From, former) {
				continue
			}
			without(&list[i], former)
			if !slices.Contains(list[i].From, present) && list[i].Owner != present {
				list[i].From = append(list[i].From, present)
			}
		}
	}
}

// without removes a former owner from a slice and reports whether it was one.
func without(s *fleet.Slice, life fleet.Life) bool {
	at := slices.Index(s.From, life)
	if at < 0 {
		return false
	}
	s.From = slices.Delete(append([]fleet.Life(nil), s.From...), at, at+1)
	return true
}

// mayHold reports whether an incarnation of a target may have a grant in force. One
// that has ended has none, once no former leader can send grants to its address.
func (k *keeper) mayHold(life fleet.Life, now time.Time) bool {
	if k.gone[life] && !k.late[life] && k.underWay[life] == 0 && k.alone && (k.formerIsGone || now.After(k.heldBefore)) {
		return false
	}
	return !k.alone || now.Before(k.heldBefore) || now.Before(k.mayHoldUntil[life]) || k.isGranted(life)
}

// isGranted reports whether a grant is in flight that an incarnation may accept,
// including one that was sent to a former incarnation of the same target.
func (k *keeper) isGranted(life fleet.Life) bool {
	if k.granting[life] > 0 {
		return true
	}
	for former, present := range k.successors {
		if present == life && k.isGranted(former) {
			return true
		}
	}
	return false
}

// extend records that a target may have a grant in force until the given time.
func (k *keeper) extend(life fleet.Life, until time.Time) {
	if until.After(k.mayHoldUntil[life]) {
		k.mayHoldUntil[life] = until
	}
}

// expire removes former owners that can have no grant in force any more, and returns
// the slices from which one was removed.
func (k *keeper) expire(now time.Time) []fleet.Slice {
	var freed []fleet.Slice
	for service, list := range k.slices {
		for i := range list {
			for _, life := range slices.Clone(list[i].From) {
				if !k.mayHold(life, now) {
					without(&list[i], life)
					freed = append(freed, list[i])
				}
			}
		}
		k.slices[service] = list
	}
	return freed
}

// due returns the orders to send now, and records them as in flight. confirmed is the
// uptime at which this VM was last confirmed as the leader.
func (k *keeper) due(now time.Time, confirmed time.Duration) []task {
	var tasks []task
	for service, list := range k.slices {
		for _, s := range list {
			if len(s.From) > 0 {
				for _, life := range s.From {
					tasks = k.add(tasks, task{order: order{service, s.Fence, s.First, life, true}, slice: s}, now, confirmed)
				}
				continue
			}
			tasks = k.add(tasks, task{
				order: order{service, s.Fence, s.First, s.Owner, false}, slice: s, handover: k.handovers[s.Fence],
			}, now, confirmed)
		}
	}
	return tasks
}

// add appends a task, unless its order is in flight already, must not be sent yet, or
// is for an incarnation that has ended.
func (k *keeper) add(tasks []task, t task, now time.Time, confirmed time.Duration) []task {
	if k.ordering[t.order] || k.gone[t.target] || now.Before(k.retryAt[t.order]) {
		return tasks
	}
	if t.release && k.isOpening(t) {
		return tasks
	}
	if !t.release {
		if t.slice.Ready && k.renewsLater(t, now) {
			return tasks
		}
		t.again = k.sent[t.fence]
		if !t.again && confirmed < k.awaits[t.fence] {
			return tasks
		}
		delete(k.awaits, t.fence)
		k.sent[t.fence] = true
	}
	k.ordering[t.order] = true
	k.underWay[t.target]++
	if !t.release {
		k.granting[t.target]++
		if !t.again {
			if k.opening[t.target.ID] == nil {
				k.opening[t.target.ID] = map[order]fleet.Slice{}
			}
			k.opening[t.target.ID][t.order] = t.slice
		}
	}
	return append(tasks, t)
}

// isOpening reports whether a first grant of a release's keys is in flight. It could
// reach a later incarnation of the target than the one that answers the release.
func (k *keeper) isOpening(release task) bool {
	for o, s := range k.opening[release.target.ID] {
		if o.service == release.service && s.First <= release.slice.Last && release.slice.First <= s.Last {
			return true
		}
	}
	return false
}

// renewsLater reports whether the renewal of a grant can wait.
func (k *keeper) renewsLater(t task, now time.Time) bool {
	at := k.confirmedAt[idOf(&t.slice)].Add(renewEvery)
	if now.Before(at) {
		return true
	}
	return k.underWay[t.target] >= renewalsAtOnce && now.Before(at.Add(renewSlack))
}

// find returns the slice of an order, or nil if it has changed since.
func (k *keeper) find(o order) *fleet.Slice {
	list := k.slices[o.service]
	for i := range list {
		if list[i].Fence == o.fence && list[i].First == o.first {
			return &list[i]
		}
	}
	return nil
}

// granted records a completed grant that may have reached the target, so that the
// target may hold the keys for as long as a grant lasts. ok is set if the target
// confirmed it. The result reports whether the slice became ready.
func (k *keeper) granted(t task, ok bool, now time.Time) bool {
	k.orderEnded(t)
	k.late[t.target] = k.late[t.target] || k.gone[t.target]
	if !t.again {
		k.grantedAt[t.target] = now
	}
	until := now.Add(longestHeld(k.hold))
	life, known := t.target, true
	for known {
		k.extend(life, until)
		life, known = k.successors[life]
	}
	if !ok {
		k.retryAt[t.order] = now.Add(retryOrder)
		return false
	}
	delete(k.retryAt, t.order)
	s := k.find(t.order)
	if s == nil || s.Owner != t.target || len(s.From) > 0 {
		return false
	}
	k.confirmedAt[idOf(s)] = now
	became := !s.Ready
	if became {
		k.readySince[idOf(s)] = now
	}
	s.Ready = true
	return became
}

// failed records an order that had no effect, and schedules its retry.
func (k *keeper) failed(t task, now time.Time) {
	k.orderEnded(t)
	k.retryAt[t.order] = now.Add(retryOrder)
}

// orderEnded removes an order from those in flight.
func (k *keeper) orderEnded(t task) {
	delete(k.ordering, t.order)
	k.underWay[t.target]--
	if !t.release {
		k.granting[t.target]--
		delete(k.opening[t.target.ID], t.order)
	}
}

// released records a confirmed release and the former owner's handover text. It
// reports whether the slice has no former owners left.
func (k *keeper) released(t task, handover string) bool {
	k.orderEnded(t)
	delete(k.retryAt, t.order)
	s := k.find(t.order)
	if s == nil || !without(s, t.target) {
		return false
	}
	if handover != "" {
		k.handovers[s.Fence] = handover
	}
	return len(s.From) == 0
}
