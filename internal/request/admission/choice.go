package admission

import (
	"iter"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// compared is the maximum number of free targets that are compared for a
	// request. A VM's requests go to the same targets while these are free, so
	// that it needs few connections. With three failure domains, some twenty of
	// the targets are in each.
	compared = 64
	// capacityAge is how long the capacity of a service with more targets than
	// that is cached. It is half the interval at which the broker is ticked.
	capacityAge = 5 * time.Millisecond
)

// from returns all targets in ID order. If there are too many to compare, the
// order starts at a position derived from the VM's name, so that each VM prefers
// other targets.
func (p *pool) from(vm string) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		start := 0
		if len(p.order) > compared {
			start = int(xxh3.HashString(vm) % uint64(len(p.order)))
		}
		for i := range p.order {
			if !yield(p.order[(start+i)%len(p.order)]) {
				return
			}
		}
	}
}

// candidates returns the targets that have a free slot, or all targets in the
// VM's order if more have one than are compared.
func (p *pool) candidates(vm string) iter.Seq[*target] {
	if len(p.free) <= compared {
		return slices.Values(p.free)
	}
	return p.from(vm)
}

// classWork returns the mean work of a class in seconds. Until it has been
// measured, it is estimated from aim, the time that a request has until its aim;
// without an aim it is 0.
func (p *pool) classWork(class string, aim time.Duration) float64 {
	work := p.work[class]
	if work == 0 && aim > 0 {
		work = workPrior * aim.Seconds()
		p.work[class] = work
	}
	return work
}

// takes returns the expected time until the answer if a request runs at a
// target now.
func (p *pool) takes(r *Request, t *target, now time.Time) time.Duration {
	work := p.classWork(r.Class, r.Aim.Sub(r.arrived))
	crowded := 1 + crowding*float64(t.running)/float64(max(t.Slots, 1))
	return seconds(work*t.relativeTime(now)*crowded) + transit
}

// setLocal restricts a large request to its own failure domain for a part of the
// time that it can spare before its aim, if a target there may become free.
func (p *pool) setLocal(r *Request, now time.Time) {
	if !r.Large || p.service.Keyed {
		return
	}
	work := seconds(p.classWork(r.Class, r.Aim.Sub(now)))
	spare := r.Aim.Sub(now) - work
	if spare <= 0 {
		return
	}
	for _, t := range p.targets {
		if t.usable && t.FailureDomain == r.Domain && !t.refused && now.After(t.pausedUntil) {
			r.localUntil = now.Add(time.Duration(localShare * float64(spare)))
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
		if t.usable {
			return true
		}
	}
	return false
}

// open reports whether a target can start a request now.
func (p *pool) open(t *target, now time.Time) bool {
	if !t.usable || t.running >= t.Slots || now.Before(t.pausedUntil) {
		return false
	}
	if !t.cold(now) {
		return true
	}
	return !p.broker.config.Cautious && t.coldRoom(p.coldLimit(), now)
}

// coldLimit returns the number of requests that a cold target may start within
// coldWindow.
func (p *pool) coldLimit() int {
	return max(int(coldShare*p.service.ColdRate*p.broker.config.ColdFactor), 1)
}

// choose returns the target at which a request should run now; nil if it should
// wait.
func (p *pool) choose(r *Request, now time.Time) *target {
	if p.service.Keyed {
		if t := p.owner(r.Key); t != nil && p.open(t, now) {
			return t
		}
		return nil
	}
	var best *target
	var bestCost time.Duration
	detour := p.detour(r)
	seen := 0
	for t := range p.candidates(r.ID.VM) {
		if !p.open(t, now) || !p.fits(r, t, now) {
			continue
		}
		if cost := p.cost(r, t, detour, now); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if seen++; seen == compared {
			break
		}
	}
	if best != nil && !p.worthwhile(r, best, now) {
		return nil
	}
	return best
}

// fits reports whether a request may be sent to a target, whether or not the
// target has a free slot.
func (p *pool) fits(r *Request, t *target, now time.Time) bool {
	if slices.Contains(r.Exclude, t.ID) {
		return false
	}
	return t.FailureDomain == r.Domain || !now.Before(r.localUntil)
}

// detour returns the additional margin by which a target must be quicker to
// justify a new connection or the way to another failure domain. It shrinks as
// the slots fill up: a service with free slots can afford slower targets to save
// connections and cross-domain traffic, a busy one needs the quickest.
func (p *pool) detour(r *Request) time.Duration {
	if p.running >= p.slots {
		return 0
	}
	free := 1 - float64(p.running)/float64(p.slots)
	return seconds(detourShare * free * p.classWork(r.Class, 0))
}

// cost returns the cost of running a request at a target; the target with the
// lowest cost is preferred.
func (p *pool) cost(r *Request, t *target, detour time.Duration, now time.Time) time.Duration {
	cost := time.Duration(float64(p.takes(r, t, now)) * (1 + failurePenalty*t.failures))
	if t.FailureDomain != r.Domain {
		cost += crossDomain + detour
	}
	if !t.connected(r.ID.VM, now) {
		cost += connecting + detour
	}
	return cost
}

// worthwhile reports whether a request should run at a target now rather than
// wait for a quicker one. It should if it meets its aim there, or if it meets its
// deadline there and none of the other targets would meet its aim, even with a
// free slot.
func (p *pool) worthwhile(r *Request, t *target, now time.Time) bool {
	if !now.Add(p.takes(r, t, now)).After(r.Aim) {
		return true
	}
	seen := 0
	for other := range p.from(r.ID.VM) {
		if other == t || !other.usable || now.Before(other.pausedUntil) || !p.fits(r, other, now) {
			continue
		}
		if !now.Add(p.takes(r, other, now)).After(r.Aim) {
			return false
		}
		if seen++; seen == compared {
			break
		}
	}
	return !now.Add(p.takes(r, t, now)).After(r.Deadline)
}

// capacity returns the number of slots that a request may wait for, and the mean
// time for which a request of its class holds one.
func (p *pool) capacity(r *Request, now time.Time) (slots int, each time.Duration) {
	if p.service.Keyed {
		t := p.targets[p.ownerID(r.Key)]
		if t == nil || !t.usable {
			return 0, 0
		}
		return t.Slots, p.takes(r, t, now)
	}
	known, ok := p.capacities[r.Class]
	if !ok || len(p.order) <= compared || now.Sub(known.at) > capacityAge {
		known = p.sumCapacity(r, now)
		p.capacities[r.Class] = known
	}
	return known.slots, known.each
}

// capacity is the cached capacity of a service without keys for one class: the
// slots of its usable targets and the mean time that a request holds one.
type capacity struct {
	at    time.Time
	slots int
	each  time.Duration
}

func (p *pool) sumCapacity(r *Request, now time.Time) capacity {
	sum, rate := capacity{at: now}, 0.0
	for _, t := range p.order {
		if t.usable && now.After(t.pausedUntil) {
			sum.slots += t.Slots
			rate += float64(t.Slots) / p.takes(r, t, now).Seconds()
		}
	}
	if sum.slots > 0 {
		sum.each = seconds(float64(sum.slots) / rate)
	}
	return sum
}

// servable returns how long a request would wait in a queue, and whether it can
// be answered in time after that wait.
func (p *pool) servable(q *queue, r *Request, now time.Time) (time.Duration, bool) {
	slots, each := p.capacity(r, now)
	if slots == 0 {
		// No usable target owns the key: its slice or its owner is being moved.
		// Most moves take less time than one request, so the request waits.
		return seconds(p.classWork(r.Class, r.Aim.Sub(now))), p.service.Keyed && p.anyTarget(r)
	}
	perRequest := time.Duration(float64(each) / float64(slots))
	wait := time.Duration(q.position(r))*perRequest + perRequest/2
	if !now.Add(wait + each).After(r.Aim) {
		return wait, true
	}
	q.fade(now)
	utilisation := q.demand / (float64(slots) * p.classWork(r.Class, 0) / (each - transit).Seconds())
	if utilisation >= overload {
		return wait, false
	}
	wait = time.Duration(float64(time.Duration(len(q.waiters)+1)*perRequest) / (1 - utilisation))
	return wait, !now.Add(wait + each).After(r.Deadline)
}
