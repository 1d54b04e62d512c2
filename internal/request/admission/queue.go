package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// demandHalfLife is the half-life of the measured demand in seconds.
	demandHalfLife = 1.0
	// pruneInterval is how often requests that are too late are looked for in a queue.
	pruneInterval = 50 * time.Millisecond
)

// queue holds the requests that wait for one target, or for any target of a
// service without keys.
type queue struct {
	// owner is the target that owns the keys of the requests; empty in the queue of a
	// service without keys and in that of keys without an owner.
	owner string
	// waiters is ordered by priority, then by aim.
	waiters []*Request
	// demand is the recent arrival rate of work as of demandAt, in seconds of
	// work per second.
	demand   float64
	demandAt time.Time
	// prunedAt is when requests that are too late were last looked for.
	prunedAt time.Time
}

// recordArrival adds the work of an arriving request, in seconds, to the demand.
func (q *queue) recordArrival(work float64, now time.Time) {
	q.decay(now)
	q.demand += work * math.Ln2 / demandHalfLife
}

// decay brings the demand up to date.
func (q *queue) decay(now time.Time) {
	if q.demandAt.IsZero() {
		q.demandAt = now
	}
	q.demand *= math.Exp2(-now.Sub(q.demandAt).Seconds() / demandHalfLife)
	q.demandAt = now
}

// servedBefore reports whether a is to be served before b.
func servedBefore(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Aim.Before(b.Aim)
}

// push inserts a request at its position.
func (q *queue) push(r *Request) {
	i := q.position(r)
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = r
}

// position returns the number of waiting requests that are to be served before r.
func (q *queue) position(r *Request) int {
	return sort.Search(len(q.waiters), func(i int) bool { return servedBefore(r, q.waiters[i]) })
}

// remove removes a request if it is queued.
func (q *queue) remove(r *Request) {
	for i, w := range q.waiters {
		if w == r {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// next returns the request to run now: the first that meets its aim, otherwise
// the one with the earliest deadline among those that meet their deadline; nil if
// there is none. canRun reports whether a request can run now; expectedTime is called
// only for requests that can.
func (q *queue) next(now time.Time, expectedTime func(*Request) time.Duration, canRun func(*Request) bool) *Request {
	var fallback *Request
	for _, r := range q.waiters {
		if !canRun(r) {
			continue
		}
		end := now.Add(expectedTime(r))
		if !end.After(r.Aim) {
			return r
		}
		if !end.After(r.Deadline) && (fallback == nil || r.Deadline.Before(fallback.Deadline)) {
			fallback = r
		}
	}
	return fallback
}
