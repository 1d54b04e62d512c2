package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// waiter is a request that waits for a slot.
type waiter struct {
	class    string
	deadline time.Time
	// verdict receives "" when the waiter has been given a slot, or the reason
	// of its refusal. It has room for one value.
	verdict chan outcome.Reason
}

func newWaiter(class string, deadline time.Time) *waiter {
	return &waiter{class: class, deadline: deadline, verdict: make(chan outcome.Reason, 1)}
}

// queue is the bounded queue of one target. Each traffic class is ordered by
// deadline; slots are shared between waiting classes by their weights (stride
// scheduling), so no class can be starved by another.
type queue struct {
	limit   int
	length  int
	classes []*classQueue
	// virtual is the pass of the class served last.
	virtual float64
}

// classQueue holds the waiters of one class, earliest deadline first.
type classQueue struct {
	name    string
	weight  float64
	pass    float64
	waiters []*waiter
}

// newQueue returns a queue for the classes of a service. A service without
// classes has one.
func newQueue(service *manifest.Service) *queue {
	q := &queue{limit: service.Limits.QueueLength()}
	for _, class := range service.Classes {
		q.classes = append(q.classes, &classQueue{name: class.Name, weight: float64(max(class.Weight, 1))})
	}
	if len(q.classes) == 0 {
		q.classes = []*classQueue{{weight: 1}}
	}
	return q
}

// redeclare follows a change of the manifest; who waits keeps waiting.
func (q *queue) redeclare(service *manifest.Service) {
	next := newQueue(service)
	for w := q.pop(); w != nil; w = q.pop() {
		class := next.class(w.class)
		class.waiters = slices.Insert(class.waiters, class.position(w.deadline), w)
		next.length++
	}
	*q = *next
}

// class returns the class of a name; an unknown name belongs to the last one.
func (q *queue) class(name string) *classQueue {
	for _, class := range q.classes {
		if class.name == name {
			return class
		}
	}
	return q.classes[len(q.classes)-1]
}

// push adds a waiter. If the queue is full, the class that exceeds its share
// the most gives way; push returns the waiter that was refused, or nil.
func (q *queue) push(w *waiter) *waiter {
	class := q.class(w.class)
	var refused *waiter
	if q.length >= q.limit {
		crowded := q.mostCrowded(class)
		if crowded == class {
			return w
		}
		refused = crowded.waiters[len(crowded.waiters)-1]
		q.remove(refused)
	}
	if len(class.waiters) == 0 {
		class.pass = max(class.pass, q.virtual)
	}
	class.waiters = slices.Insert(class.waiters, class.position(w.deadline), w)
	q.length++
	return refused
}

// position returns where a deadline belongs, after equal ones.
func (c *classQueue) position(deadline time.Time) int {
	return sort.Search(len(c.waiters), func(i int) bool { return c.waiters[i].deadline.After(deadline) })
}

// mostCrowded returns the class with the most waiters per weight, counting one
// more for the class that asks.
func (q *queue) mostCrowded(asking *classQueue) *classQueue {
	crowded, most := asking, float64(len(asking.waiters)+1)/asking.weight
	for _, class := range q.classes {
		if class == asking {
			continue
		}
		if crowd := float64(len(class.waiters)) / class.weight; crowd > most {
			crowded, most = class, crowd
		}
	}
	return crowded
}

// pop takes the next waiter, or returns nil.
func (q *queue) pop() *waiter {
	var next *classQueue
	for _, class := range q.classes {
		if len(class.waiters) > 0 && (next == nil || class.pass < next.pass) {
			next = class
		}
	}
	if next == nil {
		return nil
	}
	w := next.waiters[0]
	next.waiters = slices.Delete(next.waiters, 0, 1)
	q.length--
	q.virtual = next.pass
	next.pass += 1 / next.weight
	return w
}

// remove takes a waiter out and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	class := q.class(w.class)
	i := slices.Index(class.waiters, w)
	if i < 0 {
		return false
	}
	class.waiters = slices.Delete(class.waiters, i, i+1)
	q.length--
	return true
}

// ahead returns how many requests are served before one of the class and
// deadline, given the shares of the classes that wait.
func (q *queue) ahead(className string, deadline time.Time) float64 {
	class := q.class(className)
	weights := class.weight
	for _, other := range q.classes {
		if other != class && len(other.waiters) > 0 {
			weights += other.weight
		}
	}
	byShare := float64(class.position(deadline)) * weights / class.weight
	return min(byShare, float64(q.length))
}

// removeExpired takes out the waiters whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []*waiter {
	var expired []*waiter
	for _, class := range q.classes {
		n := class.position(now)
		expired = append(expired, class.waiters[:n]...)
		class.waiters = slices.Delete(class.waiters, 0, n)
		q.length -= n
	}
	return expired
}

// drain takes out all waiters.
func (q *queue) drain() []*waiter {
	var all []*waiter
	for w := q.pop(); w != nil; w = q.pop() {
		all = append(all, w)
	}
	return all
}
