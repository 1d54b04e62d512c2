package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// retrySoon is the shortest time after which a refused caller may return.
	retrySoon = 30 * time.Millisecond
	// permitGrace is how long after its deadline a permit is given up whose end
	// was not reported.
	permitGrace = 500 * time.Millisecond
	// transit is the time that a request spends between entry, broker and target.
	transit = 6 * time.Millisecond
	// workPrior is the assumed work of a class as a share of its aim, until it
	// has been measured.
	workPrior = 0.3
	// overload is the utilisation above which a request that will miss its aim
	// is refused on arrival instead of queued.
	overload = 0.95
	// crossDomain is how much quicker a target in another failure domain must be
	// to be preferred.
	crossDomain = 4 * time.Millisecond
	// connecting is how much quicker a target must be to be preferred to one to
	// which the VM has a connection: opening one takes a round trip and a slot for
	// a moment, and targets bear a limited number.
	connecting = 4 * time.Millisecond
	// detourShare is the share of the mean work that a target nearby, or one to
	// which there is a connection, may take longer while all slots are free.
	detourShare = 0.4
	// localShare is the share of the spare time before its aim that a large
	// request waits for a target of its own failure domain.
	localShare = 0.5
	// failurePenalty multiplies the expected time of a target that always fails.
	failurePenalty = 5
	// crowding is the rise of the service time of a target that is nearly full.
	crowding = 0.2
)

// pool holds the targets and queues of one service.
type pool struct {
	broker  *Broker
	name    string
	service *fleet.Service
	targets map[string]*target
	// order has the targets sorted by ID; capacities are what was lately worked out
	// of them, by class.
	order      []*target
	capacities map[string]capacity
	// slots and running are the sums over the usable targets; free are those of
	// them with a free slot, in no order.
	slots, running int
	free           []*target
	// shared is the queue of a service without keys; owners are those of a keyed one.
	shared *queue
	owners map[string]*queue
	slices []fleet.Slice
	// waiting finds the queue of a waiting request.
	waiting map[ID]*queue
	// work is the mean work of a class in seconds.
	work    map[string]float64
	repeats *repeats
}

func newPool(b *Broker, name string) *pool {
	return &pool{
		broker: b, name: name, targets: map[string]*target{}, capacities: map[string]capacity{}, shared: &queue{}, owners: map[string]*queue{},
		waiting: map[ID]*queue{}, work: map[string]float64{}, repeats: newRepeats(b.config.Budget),
	}
}

// update follows a view. Measurements of a target end with its life.
func (p *pool) update(service *fleet.Service, present []*fleet.Target, view *fleet.View, now time.Time) {
	p.service = service
	for id, t := range p.targets {
		if declared := view.Targets[id]; declared == nil || declared.Life != t.Life || declared.Service != p.name {
			t.usable = false
			delete(p.targets, id)
		}
	}
	p.order = p.order[:0]
	p.slots, p.running, p.free = 0, 0, p.free[:0]
	clear(p.capacities)
	for _, declared := range present {
		t := p.targets[declared.ID]
		if t == nil {
			t = newTarget(declared, now)
			p.targets[declared.ID] = t
		}
		t.Target = *declared
		t.usable = view.Usable(declared)
		p.order = append(p.order, t)
		t.free = none
		if t.usable {
			p.slots += t.Slots
			p.running += t.running
			p.noteFree(t)
		}
	}
	slices.SortFunc(p.order, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	p.updateOwners(view)
}

// updateOwners follows the owners of keys in a view.
func (p *pool) updateOwners(view *fleet.View) {
	p.slices = view.Slices[p.name]
	if p.service.Keyed {
		p.requeue()
	}
}

// queueOf returns the queue of an owner.
func (p *pool) queueOf(owner string) *queue {
	q := p.owners[owner]
	if q == nil {
		q = &queue{}
		p.owners[owner] = q
	}
	return q
}

// requeue moves waiting requests to the queues of the present owners.
func (p *pool) requeue() {
	for owner, q := range p.owners {
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
			delete(p.owners, owner)
		}
	}
}

// ownerID names the queue for a key; empty while nobody owns it.
func (p *pool) ownerID(key uint16) string {
	if slice := fleet.Find(p.slices, key); slice != nil {
		return slice.Owner.ID
	}
	return ""
}

// owner returns the target that serves a key now, or nil.
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
		return p.queueOf(p.ownerID(r.Key))
	}
	return p.shared
}

func (p *pool) enqueue(r *Request) {
	q := p.queueFor(r)
	q.push(r)
	p.waiting[r.ID] = q
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// ask decides a request or queues it.
func (p *pool) ask(r *Request, now time.Time) {
	if r.Repeat && (p.broker.config.Cautious || !p.repeats.allow(now)) {
		p.refuse(r, BudgetSpent, retrySoon, now)
		return
	}
	if !r.Repeat {
		p.repeats.first(now)
	}
	q := p.queueFor(r)
	q.arrive(p.classWork(r.Class, r.Aim.Sub(now)), now)
	p.setLocal(r, now)
	if len(q.waiters) == 0 {
		if t := p.choose(r, now); t != nil {
			p.permit(r, t, now)
			return
		}
	}
	if wait, ok := p.servable(q, r, now); !ok {
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

// permit lets a request run.
func (p *pool) permit(r *Request, t *target, now time.Time) {
	p.run(t, 1)
	t.sentBy[r.ID.VM] = now
	if t.cold(now) {
		t.starts = append(t.starts, now)
	}
	p.broker.permits[r.ID] = &permit{pool: p, target: t, request: *r, at: now}
	if r.Repeat {
		p.repeats.spend(now)
	}
	p.broker.config.Decide(Decision{ID: r.ID, Target: t.Life})
}

// run counts a request that begins or ends at a target.
func (p *pool) run(t *target, change int) {
	t.running += change
	if t.usable {
		p.running += change
		p.noteFree(t)
	}
}

// noteFree keeps free after a change of the requests that run at a target.
func (p *pool) noteFree(t *target) {
	switch free := t.running < t.Slots; {
	case free && t.free == none:
		t.free = len(p.free)
		p.free = append(p.free, t)
	case !free && t.free != none:
		last := p.free[len(p.free)-1]
		p.free[t.free], last.free = last, t.free
		p.free = p.free[:len(p.free)-1]
		t.free = none
	}
}

func (p *pool) refuse(r *Request, reason Reason, after time.Duration, now time.Time) {
	after = max(after, retrySoon)
	if third := r.Deadline.Sub(now) / 3; third > retrySoon {
		after = min(after, third)
	}
	p.broker.config.Decide(Decision{ID: r.ID, Refused: reason, RetryAfter: after})
}

// dispatch lets waiting requests run while there are free slots.
func (p *pool) dispatch(q *queue, now time.Time) {
	for len(q.waiters) > 0 {
		r, t := p.nextFor(q, now)
		if r == nil {
			return
		}
		q.remove(r)
		delete(p.waiting, r.ID)
		p.permit(r, t, now)
	}
}

// nextFor returns the request of a queue to run next and its target, or nil.
func (p *pool) nextFor(q *queue, now time.Time) (*Request, *target) {
	chosen := map[ID]*target{}
	r := q.next(now,
		func(r *Request) time.Duration { return p.takes(r, chosen[r.ID], now) },
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

// ended takes a slot back and counts the result.
func (p *pool) ended(running *permit, end End, now time.Time) {
	t := running.target
	p.run(t, -1)
	if end.HasLoad && end.Load.Pace > 0 {
		t.pace, t.paceAt = float64(end.Load.Pace)/100, now
	}
	p.count(running, end, now)
	if p.service == nil {
		return
	}
	if p.service.Keyed {
		p.dispatch(p.queueOf(t.ID), now)
		return
	}
	p.dispatch(p.shared, now)
}

// count learns from the result of a request.
func (p *pool) count(running *permit, end End, now time.Time) {
	t := running.target
	class := running.request.Class
	switch end.Result {
	case Answered:
		t.reachable()
		t.count(false, now)
		work := p.classWork(class, running.request.Aim.Sub(running.request.arrived))
		if work > 0 && end.Took > 0 {
			p.work[class] += classWeight * (end.Took.Seconds()/t.relativeTime(now) - work)
			t.learn(end.Took, work, now)
		}
	case NotOwner:
		if p.broker.config.NotOwner != nil {
			p.broker.config.NotOwner(p.name, running.request.Key, t.Life)
		}
	case NotRun, Failed, Broken:
		t.count(true, now)
	case Timeout:
		t.count(true, now)
		if work := p.classWork(class, 0); work > 0 {
			t.learn(now.Sub(running.at), work, now)
		}
	case Refused:
		t.count(true, now)
		t.refused = true
		t.pause(now)
	case Unreachable:
		t.count(true, now)
		t.pause(now)
	}
}

// withdraw takes a waiting request out.
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

func (p *pool) forget(vm string) {
	for id := range p.waiting {
		if id.VM == vm {
			p.withdraw(id)
		}
	}
}

func (p *pool) refuseAll(reason Reason, now time.Time) {
	for _, q := range p.queues() {
		for _, r := range q.waiters {
			p.refuse(r, reason, retrySoon, now)
		}
		q.waiters = nil
	}
	clear(p.waiting)
}

func (p *pool) queues() []*queue {
	all := []*queue{p.shared}
	for _, q := range p.owners {
		all = append(all, q)
	}
	return all
}

// tick refuses what can no longer be answered and lets run what may.
func (p *pool) tick(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	for _, q := range p.queues() {
		if len(q.waiters) == 0 {
			continue
		}
		p.dispatch(q, now)
		p.prune(q, now)
	}
}

// prune refuses the requests of a queue that would miss their deadline even if
// they ran now.
func (p *pool) prune(q *queue, now time.Time) {
	var hopeless []*Request
	for _, r := range q.waiters {
		_, each := p.capacity(r, now)
		if now.Add(max(each, transit)).After(r.Deadline) {
			hopeless = append(hopeless, r)
		}
	}
	for _, r := range hopeless {
		q.remove(r)
		delete(p.waiting, r.ID)
		p.refuse(r, WouldBeLate, retrySoon, now)
	}
}
