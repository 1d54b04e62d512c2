package admission

import (
	"iter"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// maxCandidates is the maximum number of free targets that are compared for a
	// request. A VM's requests go to the same targets while these are free, so
	// that it needs few connections. With three failure domains, some twenty of
	// the candidates are in each.
	maxCandidates = 64
	// capacityMaxAge is how long the capacity of a service with more than
	// maxCandidates targets is cached: half the interval at which Tick is called.
	capacityMaxAge = 5 * time.Millisecond
)

// targetsFor returns all targets in the order in which a VM uses them: by ID. If there
// are more than maxCandidates, the order starts at a position derived from the VM's
// name, so that different VMs prefer different targets.
func (p *pool) targetsFor(vm string) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		start := 0
		if len(p.sortedTargets) > maxCandidates {
			start = int(xxh3.HashString(vm) % uint64(len(p.sortedTargets)))
		}
		for i := range p.sortedTargets {
			if !yield(p.sortedTargets[(start+i)%len(p.sortedTargets)]) {
				return
			}
		}
	}
}

// candidates returns the targets that have a free slot, or all targets in the VM's
// order if more than maxCandidates have one.
func (p *pool) candidates(vm string) iter.Seq[*target] {
	if len(p.free) <= maxCandidates {
		return slices.Values(p.free)
	}
	return p.targetsFor(vm)
}

// classWork returns the mean work of a class in seconds. Until it has been
// measured, it is estimated from aim, the time that a request has until its aim;
// without an aim it is 0.
func (p *pool) classWork(class string, aim time.Duration) float64 {
	work := p.meanWork[class]
	if work == 0 && aim > 0 {
		work = initialWorkShare * aim.Seconds()
		p.meanWork[class] = work
	}
	return work
}

// expectedTime returns the expected time until the answer if a request runs at a
// target now.
func (p *pool) expectedTime(r *Request, t *target, now time.Time) time.Duration {
	work := p.classWork(r.Class, r.Aim.Sub(r.arrived))
	slowdown := 1 + occupancySlowdown*float64(t.running)/float64(max(t.Slots, 1))
	if p.broker.config.Loads != nil {
		slowdown = p.localSlowdown(t, now)
	}
	return seconds(work*t.relativeTime(now)*slowdown) + transitTime
}

// restrictToDomain restricts a large request to its own failure domain for a part of
// the time that it can spare before its aim, if a target there may become free.
func (p *pool) restrictToDomain(r *Request, now time.Time) {
	if !r.Large || p.service.Keyed {
		return
	}
	work := seconds(p.classWork(r.Class, r.Aim.Sub(now)))
	spare := r.Aim.Sub(now) - work
	if spare <= 0 {
		return
	}
	for _, t := range p.targets {
		if t.FailureDomain == r.Domain && !t.connectionRefused && p.open(t, now) {
			r.localUntil = now.Add(time.Duration(localWaitShare * float64(spare)))
			return
		}
	}
}

// anyTarget reports whether the service has a usable target for the request,
// free or not; for a keyed service, whether the key has an owner.
func (p *pool) anyTarget(r *Request) bool {
	if p.service.Keyed {
		return p.ownerID(r.Key) != ""
	}
	for _, t := range p.targets {
		if t.usable && !p.leaving(t) {
			return true
		}
	}
	return false
}

// canStart reports whether a target can start a request now.
func (p *pool) canStart(t *target, now time.Time) bool {
	if t.running >= t.Slots || !p.open(t, now) || t.silent && t.running > 0 {
		return false
	}
	if p.broker.config.Loads != nil && !p.hasRoom(t, now) {
		return false
	}
	if p.broker.config.Cautious {
		return !t.cold(now) && (p.broker.config.Doubt == nil || !p.broker.config.Doubt(t.Life, now))
	}
	return !t.cold(now) || p.broker.mayUseLimits() && t.canStartCold(p.coldLimit(now), now)
}

// coldLimit returns the number of requests that a cold target may start within
// coldWindow. The broker of the term before may have used its own limit until this one
// took over, or for its lease after that; together they stay within what the target bears.
func (p *pool) coldLimit(now time.Time) int {
	most := p.service.ColdRate * p.broker.config.ColdFactor
	limit := int(coldShare * most)
	if now.Sub(p.broker.termSince) < p.broker.formerLease+coldWindow {
		limit = min(limit, int(most)-limit)
	}
	return max(limit, 1)
}

// choose returns the target at which a request should run now; nil if it should
// wait.
func (p *pool) choose(r *Request, now time.Time) *target {
	if p.service.Keyed {
		if t := p.owner(r.Key); t != nil && p.canStart(t, now) {
			return t
		}
		return nil
	}
	var best *target
	var bestCost time.Duration
	margin := p.localityMargin(r)
	seen := 0
	for t := range p.candidates(r.ID.VM) {
		if !p.canStart(t, now) || !p.eligible(r, t, now) {
			continue
		}
		if cost := p.cost(r, t, margin, now); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	if best != nil && !p.worthwhile(r, best, now) {
		return nil
	}
	return best
}

// eligible reports whether a request may be sent to a target, whether or not the
// target has a free slot.
func (p *pool) eligible(r *Request, t *target, now time.Time) bool {
	if slices.Contains(r.Exclude, t.ID) {
		return false
	}
	return t.FailureDomain == r.Domain || !now.Before(r.localUntil)
}

// localityMargin returns by how much quicker a target must be, in addition to the
// fixed penalties, to justify a new connection or the way to another failure domain.
// It shrinks as the slots fill up: a service with free slots can afford slower
// targets to save connections and cross-domain traffic, a busy one needs the quickest.
func (p *pool) localityMargin(r *Request) time.Duration {
	if p.running >= p.slots || p.broker.config.Loads != nil {
		// The VM does not know how many slots are free.
		return 0
	}
	free := 1 - float64(p.running)/float64(p.slots)
	return seconds(localityMarginShare * free * p.classWork(r.Class, 0))
}

// cost returns the cost of running a request at a target; the target with the
// lowest cost is preferred.
func (p *pool) cost(r *Request, t *target, margin time.Duration, now time.Time) time.Duration {
	cost := time.Duration(float64(p.expectedTime(r, t, now)) * (1 + failurePenalty*t.failures))
	if t.FailureDomain != r.Domain {
		cost += crossDomainPenalty + margin
	}
	if !t.connected(r.ID.VM, now) {
		cost += newConnectionPenalty + margin
	}
	return cost
}

// worthwhile reports whether a request should run at a target now rather than
// wait for a quicker one. It should if it meets its aim there, or if it meets its
// deadline there and none of the other targets that it may wait for would meet its
// aim.
func (p *pool) worthwhile(r *Request, t *target, now time.Time) bool {
	if !now.Add(p.expectedTime(r, t, now)).After(r.Aim) {
		return true
	}
	seen := 0
	for other := range p.targetsFor(r.ID.VM) {
		if other == t || !p.open(other, now) || !p.eligible(r, other, now) {
			continue
		}
		if !now.Add(p.expectedTime(r, other, now)).After(r.Aim) {
			return false
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return !now.Add(p.expectedTime(r, t, now)).After(r.Deadline)
}

// capacity returns the number of slots that a request may wait for, and the mean
// time for which a request of its class holds one.
func (p *pool) capacity(r *Request, now time.Time) (slots int, holdTime time.Duration) {
	if p.service.Keyed {
		t := p.targets[p.ownerID(r.Key)]
		if t == nil || !t.usable || p.leaving(t) {
			return 0, 0
		}
		return p.localSlots(t.Slots), p.expectedTime(r, t, now)
	}
	cached, ok := p.capacities[r.Class]
	if !ok || len(p.sortedTargets) <= maxCandidates || now.Sub(cached.at) > capacityMaxAge {
		cached = p.sumCapacity(r, now)
		p.capacities[r.Class] = cached
	}
	return p.localSlots(cached.slots), cached.holdTime
}

// capacity is the capacity of a service without keys for one class: the
// slots of its usable targets and the mean time that a request holds one.
type capacity struct {
	at       time.Time
	slots    int
	holdTime time.Duration
}

// sumCapacity computes the capacity for the class of a request.
func (p *pool) sumCapacity(r *Request, now time.Time) capacity {
	sum, rate := capacity{at: now}, 0.0
	for _, t := range p.sortedTargets {
		if p.open(t, now) {
			sum.slots += t.Slots
			rate += float64(t.Slots) / p.expectedTime(r, t, now).Seconds()
		}
	}
	if sum.slots > 0 {
		sum.holdTime = seconds(float64(sum.slots) / rate)
	}
	return sum
}

// estimateWait returns how long a request would wait in a queue, and whether it should
// be queued: it should if it meets its aim after the wait, or if it meets its deadline
// and the utilisation is below overloadUtilisation. The utilisation is the demand
// divided by the work that the slots can do per second.
//
// A request that will miss its aim is overtaken by all that can meet theirs (see
// queue.next). Its wait is therefore that for the whole queue, and it grows with the
// utilisation, since later requests overtake it too.
func (p *pool) estimateWait(q *queue, r *Request, now time.Time) (time.Duration, bool) {
	if expected, tooLong := p.blockedTooLong(r, now); tooLong {
		return expected, false
	}
	rest := p.restLeft(r, now)
	slots, holdTime := p.capacity(r, now)
	if slots == 0 && rest > 0 {
		work := p.classWork(r.Class, r.Aim.Sub(now))
		wait := rest + seconds(float64(q.position(r))*work/float64(max(p.slots, 1)))
		return wait, !now.Add(wait + seconds(work) + transitTime).After(r.Deadline)
	}
	if slots == 0 {
		// No usable target owns the key: its slice or its owner is being moved.
		// Most moves take less time than one request, so the request waits.
		return seconds(p.classWork(r.Class, r.Aim.Sub(now))), p.service.Keyed && p.anyTarget(r)
	}
	slotInterval := time.Duration(float64(holdTime) / float64(slots))
	wait := rest + time.Duration(q.ahead(r, now.Add(holdTime)))*slotInterval + slotInterval/2
	if !now.Add(wait + holdTime).After(r.Aim) {
		return wait, true
	}
	q.decay(now)
	utilisation := q.demand / (float64(slots) * p.classWork(r.Class, 0) / (holdTime - transitTime).Seconds())
	if utilisation >= overloadUtilisation {
		return wait, false
	}
	wait = rest + time.Duration(float64(time.Duration(len(q.waiters)+1)*slotInterval)/(1-utilisation))
	return wait, !now.Add(wait + holdTime).After(r.Deadline)
}
