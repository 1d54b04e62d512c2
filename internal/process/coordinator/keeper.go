package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// usualHold is how long a grant lasts: keys of a target that falls silent are
	// served again after it.
	usualHold = 3 * time.Second
	// renewEvery is the interval of renewals, a quarter of usualHold.
	renewEvery = 750 * time.Millisecond
	// renewalsAtOnce is the number of renewals that a target gets at the same time,
	// so that they share two connections; one that is later than renewSlack does
	// not wait for the others.
	renewalsAtOnce = 2
	renewSlack     = renewEvery
	// clockSlack is how much slower a target's clock may run.
	clockSlack = 0.03
	// holdMargin covers the way of a grant and the timers of both sides.
	holdMargin = 250 * time.Millisecond
	// retryOrder is the pause before an order is repeated that failed.
	retryOrder = 200 * time.Millisecond
)

// keeper holds who may hold which keys, and says what to order next. It does
// no input or output.
//
// Invariant: a slice is granted only while nobody else can hold its keys. That
// is so once every former owner has answered a release at the slice's fence,
// has ended, or cannot have a grant in force any more. Former owners are
// written to the store before the first of them is asked. A fence reaches one
// process only (fences.go).
type keeper struct {
	slices map[string][]fleet.Slice
	// mayHoldUntil is when the last grant that a target may have got runs out.
	mayHoldUntil map[fleet.Life]time.Time
	// alone is set once no former leader can give out grants any more; those that
	// it gave run out by heldBefore.
	alone      bool
	heldBefore time.Time
	// formerIsGone is set if the former leader's process is known to be gone, so
	// that it gives nothing to anybody.
	formerIsGone bool
	// handovers are the words of former owners on their keys, by the slice's fence.
	handovers map[uint64]string
	// hold is how long a grant lasts.
	hold time.Duration
	// gone are lives that are over; they get no more orders, which another life
	// at the same address would take.
	gone map[fleet.Life]bool
	// successors are the next lives of targets that have started again under
	// their names: grants to a life that is over may have reached the next one.
	successors map[fleet.Life]fleet.Life
	// underWay counts the orders to a life that have not ended; late is set if
	// one ended other than refused after the life was over, so that the next life
	// at the address may have taken it.
	underWay map[fleet.Life]int
	late     map[fleet.Life]bool
	// grantedAt is when a grant of a new fence last ended other than refused.
	grantedAt map[fleet.Life]time.Time
	// granting counts the grants among them, by the life that they are for.
	granting map[fleet.Life]int
	// opening are the grants under way, by the target's name, that may reach the next life
	// under it: those that do not go over the connection of a process that is known.
	opening map[string]map[order]fleet.Slice
	// ordering are the slices with an order under way, by fence and target.
	ordering map[order]bool
	// retryAt is when an order that failed may be repeated.
	retryAt map[order]time.Time
	// confirmedAt is when a slice's owner last confirmed its grant, readySince when
	// it first did.
	confirmedAt map[sliceID]time.Time
	readySince  map[sliceID]time.Time
	// fences are those that this leader may give out; sent are those that it has sent
	// in a grant.
	fences fences
	sent   map[uint64]bool
	// awaits are the uptimes since which the leader has to be confirmed before a fence
	// is first sent.
	awaits map[uint64]time.Duration
}

// sliceID identifies a slice. Parts of a slice that was cut share its fence.
type sliceID struct {
	fence uint64
	first uint16
}

func idOf(s *fleet.Slice) sliceID { return sliceID{s.Fence, s.First} }

// order is a release or grant of a slice, identified by its fence and range.
type order struct {
	service string
	fence   uint64
	first   uint16
	target  fleet.Life
	release bool
}

// task is an order to carry out.
type task struct {
	order
	slice fleet.Slice
	// handover goes with a grant.
	handover string
	// again is set if the fence has been sent in a grant before.
	again bool
}

// newKeeper takes over the slices of a record, each at a fence of its own.
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

// forgetFormer drops what was kept of slices that are no more.
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

// adopt counts slices as ready that another leader has called so, as if a renewal
// were due now.
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

// expireReady takes back that slices are ready whose owners have not confirmed them
// for as long as a grant lasts. It reports whether there were any.
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

// formerEnded notes that no former leader gives out grants after a time.
func (k *keeper) formerEnded(after time.Time) {
	k.alone = true
	k.heldBefore = after.Add(longestHeld(k.hold))
}

// longestHeld is how long after its arrival a grant may be in force.
func longestHeld(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockSlack)) + holdMargin
}

// ended notes that a life of a target was over at a time. A new fence that was granted
// later may have been taken by the next life; renewals reach the former one only.
func (k *keeper) ended(life fleet.Life, at time.Time) {
	k.gone[life] = true
	k.late[life] = k.late[life] || k.grantedAt[life].After(at)
	for _, list := range k.slices {
		for i := range list {
			list[i].Ready = list[i].Ready && list[i].Owner != life
		}
	}
}

// startedAgain notes that a target runs in a newer life. Orders to the former
// one may have reached the new one, so that has to release the keys.
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

// without removes a former owner from a slice.
func without(s *fleet.Slice, life fleet.Life) bool {
	at := slices.Index(s.From, life)
	if at < 0 {
		return false
	}
	s.From = slices.Delete(append([]fleet.Life(nil), s.From...), at, at+1)
	return true
}

// mayHold reports whether a target may have a grant in force. One whose life is
// over has none, once no former leader can send grants to its address.
func (k *keeper) mayHold(life fleet.Life, now time.Time) bool {
	if k.gone[life] && !k.late[life] && k.underWay[life] == 0 && k.alone && (k.formerIsGone || now.After(k.heldBefore)) {
		return false
	}
	return !k.alone || now.Before(k.heldBefore) || now.Before(k.mayHoldUntil[life]) || k.isGranted(life)
}

// isGranted reports whether a grant is under way that a target may take, also one
// for its former life.
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

// extend notes that a target may have a grant in force until a time.
func (k *keeper) extend(life fleet.Life, until time.Time) {
	if until.After(k.mayHoldUntil[life]) {
		k.mayHoldUntil[life] = until
	}
}

// expire drops former owners whose grants have run out.
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

// due returns the orders to carry out now by a leader that was last confirmed at an
// uptime.
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

// add adds a task unless it is under way or not due yet.
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

// isOpening reports whether a grant of the keys of a release is under way that a later
// life than the one that answers the release may take.
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

// find returns the slice that an order is about, or nil if it has changed.
func (k *keeper) find(o order) *fleet.Slice {
	list := k.slices[o.service]
	for i := range list {
		if list[i].Fence == o.fence && list[i].First == o.first {
			return &list[i]
		}
	}
	return nil
}

// granted notes the end of a grant that may have arrived; unless it was refused,
// the target may hold the keys until the hold has run out. It reports whether the
// slice became ready.
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

// failed notes an order that took no effect.
func (k *keeper) failed(t task, now time.Time) {
	k.orderEnded(t)
	k.retryAt[t.order] = now.Add(retryOrder)
}

func (k *keeper) orderEnded(t task) {
	delete(k.ordering, t.order)
	k.underWay[t.target]--
	if !t.release {
		k.granting[t.target]--
		delete(k.opening[t.target.ID], t.order)
	}
}

// released notes the answer to a release and reports whether it was the last
// that the slice waited for.
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
