package admission

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// minRetryAfter is the minimum time after which a refused caller may retry.
	minRetryAfter = 30 * time.Millisecond
	// permitGrace is how long after the deadline of its request a permit is ended
	// if no end was reported.
	permitGrace = 500 * time.Millisecond
	// transitTime is the time that a request spends on the way between the VM that
	// sends it, the broker and the target.
	transitTime = 6 * time.Millisecond
	// initialWorkShare is the assumed work of a class as a share of the time until
	// the aim, until the work has been measured.
	initialWorkShare = 0.3
	// overloadUtilisation is the utilisation from which a request that will miss its
	// aim is refused on arrival instead of queued.
	overloadUtilisation = 0.95
	// crossDomainPenalty is the minimum time by which a target in another failure
	// domain must be quicker to be preferred.
	crossDomainPenalty = 4 * time.Millisecond
	// newConnectionPenalty is the minimum time by which a target without an open
	// connection must be quicker to be preferred: opening a connection takes a round
	// trip and occupies a slot for that time, and targets accept a limited number of
	// connections.
	newConnectionPenalty = 4 * time.Millisecond
	// localityMarginShare is how much slower a target in the same failure domain, or
	// one with an open connection, may be while all slots are free, as a share of the
	// mean work.
	localityMarginShare = 0.4
	// localWaitShare is the share of the spare time before its aim for which a large
	// request waits for a target in its own failure domain.
	localWaitShare = 0.5
	// failurePenalty is the cost that is added to a target that always fails, as a
	// multiple of its expected time.
	failurePenalty = 5
	// occupancySlowdown is the relative increase of the service time at a target
	// whose slots are all in use.
	occupancySlowdown = 0.2
)

// pool holds the targets and queues of one service.
type pool struct {
	broker  *Broker
	name    string
	service *fleet.Service
	targets map[string]*target
	// sortedTargets holds the targets sorted by ID. capacities caches their capacity
	// by class.
	sortedTargets []*target
	capacities    map[string]capacity
	// slots and running are the sums over the usable targets. free holds those of
	// them that have a free slot, in no particular order.
	slots, running int
	free           []*target
	// sharedQueue is the queue of a service without keys. ownerQueues holds the queues
	// of a keyed service by the ID of the owner; the empty ID is for keys without one.
	sharedQueue *queue
	ownerQueues map[string]*queue
	slices      []fleet.Slice
	// blocked are the ranges of keys whose owner is not ready, sorted by key.
	blocked []blockedRange
	// waiting maps a waiting request to its queue.
	waiting map[ID]*queue
	// meanWork is the mean work of each class in seconds: the service time at a target
	// of average speed.
	meanWork map[string]float64
	repeats  *repeats
	// The rest is used by a broker with Loads. vms is the number of VMs, shared is set if
	// each slot belongs to one of them, meanOthers is Loads.meanOthers as of meanAt.
	vms        int
	shared     bool
	meanOthers float64
	meanAt     time.Time
}

func newPool(b *Broker, name string) *pool {
	return &pool{
		broker: b, name: name, targets: map[string]*target{}, capacities: map[string]capacity{}, sharedQueue: &queue{}, ownerQueues: map[string]*queue{},
		waiting: map[ID]*queue{}, meanWork: map[string]float64{}, repeats: newRepeats(b.config.Budget),
	}
}

// update applies a view. The measurements of a target are dropped when its
// process restarts.
func (p *pool) update(service *fleet.Service, present []*fleet.Target, view *fleet.View, now time.Time) {
	p.service = service
	for id, t := range p.targets {
		if declared := view.Targets[id]; declared == nil || declared.Life != t.Life || declared.Service != p.name {
			t.usable = false
			delete(p.targets, id)
		}
	}
	p.sortedTargets = p.sortedTargets[:0]
	p.slots = 0
	clear(p.capacities)
	for _, declared := range present {
		t := p.targets[declared.ID]
		if t == nil {
			t = newTarget(declared, now)
			if vm := p.broker.config.VM; vm != "" {
				t.rank = xxh3.HashString(vm + "/" + t.ID)
			}
			p.targets[declared.ID] = t
		}
		t.Target, t.declaredSlots = *declared, declared.Slots
		t.usable = view.Usable(declared)
		p.sortedTargets = append(p.sortedTargets, t)
		if t.usable {
			p.slots += t.Slots
		}
	}
	slices.SortFunc(p.sortedTargets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	if p.broker.config.Loads != nil {
		p.planLocal(view)
	}
	p.recount()
	p.updateOwners(view, now)
}

// recount sets the sums over the usable targets and the list of free ones. The order of
// the list differs between VMs, so that they prefer different targets of equal cost.
func (p *pool) recount() {
	p.slots, p.running, p.free = 0, 0, p.free[:0]
	order := slices.Collect(maps.Values(p.targets))
	if p.broker.config.VM != "" {
		slices.SortFunc(order, func(a, b *target) int { return cmp.Compare(a.rank, b.rank) })
	}
	for _, t := range order {
		t.freeIndex = notFree
		if t.usable {
			p.slots += t.Slots
			p.running += t.running
			p.updateFree(t)
		}
	}
}

// updateOwners applies the owners of keys in a view.
func (p *pool) updateOwners(view *fleet.View, now time.Time) {
	p.slices = view.Slices[p.name]
	if p.service.Keyed {
		p.updateBlocked(now)
		p.requeue()
	}
}

// ownerQueue returns the queue of an owner and creates it if necessary.
func (p *pool) ownerQueue(owner string) *queue {
	q := p.ownerQueues[owner]
	if q == nil {
		q = &queue{owner: owner}
		p.ownerQueues[owner] = q
	}
	return q
}

// requeue moves waiting requests to the queues of the current owners of their
// keys.
func (p *pool) requeue() {
	for owner, q := range p.ownerQueues {
		kept := q.waiters[:0]
		var moved []*Request
		for _, r := range q.waiters {
			if p.ownerID(r.Key) == owner {
				kept = append(kept, r)
			} else {
				moved = append(moved, r)
			}
		}
		q.waiters = kept
		for _, r := range moved {
			delete(p.waiting, r.ID)
			p.enqueue(r)
		}
		if len(q.waiters) == 0 && p.targets[owner] == nil {
			delete(p.ownerQueues, owner)
		}
	}
}

// ownerID returns the ID of the owner of a key, ready or not; empty if the key
// has no owner.
func (p *pool) ownerID(key uint16) string {
	if slice := fleet.Find(p.slices, key); slice != nil {
		return slice.Owner.ID
	}
	return ""
}

// owner returns the target that can serve a key now; nil if there is none, or if
// the owner is not ready or has restarted since it became the owner.
func (p *pool) owner(key uint16) *target {
	slice := fleet.Find(p.slices, key)
	if slice == nil || !slice.Ready {
		return nil
	}
	t := p.targets[slice.Owner.ID]
	if t == nil || t.Life != slice.Owner {
		return nil
	}
	return t
}

// queueFor returns the queue that a request belongs to.
func (p *pool) queueFor(r *Request) *queue {
	if p.service.Keyed {
		return p.ownerQueue(p.ownerID(r.Key))
	}
	return p.sharedQueue
}

func (p *pool) enqueue(r *Request) {
	q := p.queueFor(r)
	q.push(r)
	p.waiting[r.ID] = q
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// ask decides or queues a request.
func (p *pool) ask(r *Request, now time.Time) {
	if r.Repeat && (!p.broker.mayUseLimits() || !p.repeats.allow(now)) {
		p.refuse(r, BudgetSpent, minRetryAfter, now)
		return
	}
	if !r.Repeat {
		p.repeats.countFirst(now)
	}
	q := p.queueFor(r)
	q.recordArrival(p.classWork(r.Class, r.Aim.Sub(now)), now)
	p.restrictToDomain(r, now)
	if len(q.waiters) == 0 {
		if t := p.choose(r, now); t != nil {
			p.grant(r, t, now)
			return
		}
	}
	if wait, ok := p.estimateWait(q, r, now); !ok {
		reason := WouldBeLate
		if !p.anyTarget(r) {
			reason = NoTarget
		}
		p.refuse(r, reason, wait, now)
		return
	}
	p.enqueue(r)
	p.dispatch(q, now)
}

// grant permits a request to run at a target and occupies a slot there.
func (p *pool) grant(r *Request, t *target, now time.Time) {
	p.addRunning(t, 1)
	t.lastSent[r.ID.VM] = now
	if t.cold(now) {
		t.coldStarts = append(t.coldStarts, now)
	}
	p.broker.permits[r.ID] = &permit{pool: p, target: t, request: *r, grantedAt: now}
	if r.Repeat {
		p.repeats.countRepeat(now)
	}
	decision := Decision{ID: r.ID, Target: t.Life}
	p.describe(&decision, t, now)
	p.broker.config.Decide(decision)
}

// addRunning adds change to the number of requests in flight at a target.
func (p *pool) addRunning(t *target, change int) {
	t.running += change
	if t.usable {
		p.running += change
		p.updateFree(t)
	}
}

// updateFree adds a target to the free list or removes it from there, depending on
// whether it has a free slot.
func (p *pool) updateFree(t *target) {
	switch free := t.running < t.Slots; {
	case free && t.freeIndex == notFree:
		t.freeIndex = len(p.free)
		p.free = append(p.free, t)
	case !free && t.freeIndex != notFree:
		last := p.free[len(p.free)-1]
		p.free[t.freeIndex], last.freeIndex = last, t.freeIndex
		p.free = p.free[:len(p.free)-1]
		t.freeIndex = notFree
	}
}

// refuse refuses a request. If the deadline is far enough away, the caller is told to
// retry within a third of the time that is left, so that it can still retry in time;
// the delay is never shorter than minRetryAfter.
func (p *pool) refuse(r *Request, reason Reason, retryAfter time.Duration, now time.Time) {
	retryAfter = max(retryAfter, minRetryAfter)
	if third := r.Deadline.Sub(now) / 3; third > minRetryAfter {
		retryAfter = min(retryAfter, third)
	}
	p.broker.config.Decide(Decision{ID: r.ID, Refused: reason, RetryAfter: retryAfter})
}

// dispatch starts waiting requests while there are free slots.
func (p *pool) dispatch(q *queue, now time.Time) {
	if q.owner != "" {
		// Thousands may wait for owners that take nothing now.
		if t := p.targets[q.owner]; t == nil || !p.canStart(t, now) {
			return
		}
	}
	for len(q.waiters) > 0 {
		r, t := p.nextFor(q, now)
		if r == nil {
			return
		}
		q.take(r)
		delete(p.waiting, r.ID)
		p.grant(r, t, now)
	}
}

// nextFor returns the request of a queue to run next and its target; nil if none
// can run now.
func (p *pool) nextFor(q *queue, now time.Time) (*Request, *target) {
	chosen := map[ID]*target{}
	r := q.next(now,
		func(r *Request) time.Duration { return p.expectedTime(r, chosen[r.ID], now) },
		func(r *Request) bool {
			t := p.choose(r, now)
			chosen[r.ID] = t
			return t != nil
		})
	if r == nil {
		return nil, nil
	}
	return r, chosen[r.ID]
}

// finish releases the slot of a permit, records the result and starts waiting
// requests that can run now.
func (p *pool) finish(granted *permit, end End, now time.Time) {
	t := granted.target
	p.addRunning(t, -1)
	if end.HasLoad && end.Load.Pace > 0 {
		t.pace, t.paceAt = float64(end.Load.Pace)/100, now
	}
	switch loads := p.broker.config.Loads; {
	case loads == nil:
	case end.HasLoad:
		loads.Report(t.Life, end.Load, t.running, now)
	case end.Result.TurnedAway():
		loads.Full(t.Life, t.declaredSlots, t.running, now)
	}
	p.recordResult(granted, end, now)
	p.recordNotice(t, end, now)
	if p.service == nil {
		return
	}
	if p.service.Keyed {
		p.dispatch(p.ownerQueue(t.ID), now)
		return
	}
	p.dispatch(p.sharedQueue, now)
}

// recordResult updates the measurements of the target and of the class from the
// result of a request.
func (p *pool) recordResult(granted *permit, end End, now time.Time) {
	t := granted.target
	class := granted.request.Class
	switch end.Result {
	case Answered:
		t.resetBackoff()
		t.recordOutcome(false, now)
		work := p.classWork(class, granted.request.Aim.Sub(granted.request.arrived))
		if work > 0 && end.Took > 0 {
			p.meanWork[class] += classWeight * (end.Took.Seconds()/t.relativeTime(now) - work)
			t.recordServiceTime(end.Took, work, now)
		}
	case NotOwner:
		if p.broker.config.NotOwner != nil {
			p.broker.config.NotOwner(p.name, granted.request.Key, t.Life)
		}
	case NotRun, Failed, Broken:
		t.recordOutcome(true, now)
	case Timeout:
		t.recordOutcome(true, now)
		if work := p.classWork(class, 0); work > 0 {
			t.recordServiceTime(now.Sub(granted.grantedAt), work, now)
		}
	case Unanswered:
		t.recordOutcome(true, now)
		t.fallSilent(max(granted.request.Aim.Sub(granted.request.arrived), connectBackoff), now)
	case Refused:
		t.recordOutcome(true, now)
		t.connectionRefused = true
		t.backOff(now)
	case Unreachable:
		t.recordOutcome(true, now)
		t.backOff(now)
	}
}

// withdraw removes a waiting request; it does nothing if there is none.
func (p *pool) withdraw(id ID) {
	q := p.waiting[id]
	if q == nil {
		return
	}
	delete(p.waiting, id)
	for _, r := range q.waiters {
		if r.ID == id {
			q.remove(r)
			return
		}
	}
}

func (p *pool) withdrawVM(vm string) {
	for id := range p.waiting {
		if id.VM == vm {
			p.withdraw(id)
		}
	}
}

func (p *pool) refuseAll(reason Reason, now time.Time) {
	for q := range p.queues() {
		for _, r := range q.waiters {
			p.refuse(r, reason, minRetryAfter, now)
		}
		q.waiters = nil
	}
	clear(p.waiting)
}

func (p *pool) queues() iter.Seq[*queue] {
	return func(yield func(*queue) bool) {
		if !yield(p.sharedQueue) {
			return
		}
		for _, q := range p.ownerQueues {
			if !yield(q) {
				return
			}
		}
	}
}

// tick starts waiting requests that can run now and refuses those that can no
// longer be answered in time.
func (p *pool) tick(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	for q := range p.queues() {
		if len(q.waiters) == 0 {
			continue
		}
		p.dispatch(q, now)
		if now.Sub(q.prunedAt) >= pruneInterval {
			p.prune(q, now)
		}
	}
}

// prune refuses the requests of a queue that would miss their deadline even if
// they were started now, or as soon as the owner of their key is expected to take requests.
func (p *pool) prune(q *queue, now time.Time) {
	q.prunedAt = now
	var tooLate []*Request
	for _, r := range q.waiters {
		_, holdTime := p.capacity(r, now)
		_, tooLong := p.blockedTooLong(r, now)
		if tooLong || now.Add(max(holdTime, transitTime)).After(r.Deadline) {
			tooLate = append(tooLate, r)
		}
	}
	for _, r := range tooLate {
		q.remove(r)
		delete(p.waiting, r.ID)
		p.refuse(r, WouldBeLate, max(p.blockedFor(r, now), minRetryAfter), now)
	}
}
