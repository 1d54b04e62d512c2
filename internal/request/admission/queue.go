package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// rateHalfLife is the half-life of the measured arrival rate.
	rateHalfLife = 1.0
)

// queue holds the requests that wait for one target, or for any target of a
// service without keys. The order is by priority, then by aim.
type queue struct {
	waiters []*Request
	// demand is the recent rate of arriving work, in seconds of work a second.
	demand   float64
	demandAt time.Time
}

// arrive counts arriving work.
func (q *queue) arrive(work float64, now time.Time) {
	q.fade(now)
	q.demand += work * math.Ln2 / rateHalfLife
}

func (q *queue) fade(now time.Time) {
	if q.demandAt.IsZero() {
		q.demandAt = now
	}
	q.demand *= math.Exp2(-now.Sub(q.demandAt).Seconds() / rateHalfLife)
	q.demandAt = now
}

// before reports whether a is served before b.
func before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Aim.Before(b.Aim)
}

// push adds a request.
func (q *queue) push(r *Request) {
	i := q.position(r)
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = r
}

// position returns how many waiting requests are served before r.
func (q *queue) position(r *Request) int {
	return sort.Search(len(q.waiters), func(i int) bool { return before(r, q.waiters[i]) })
}

// remove takes a request out.
func (q *queue) remove(r *Request) {
	for i, w := range q.waiters {
		if w == r {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// next returns the request to run on a slot where it would take the given time:
// the first that meets its aim, otherwise the one with the earliest deadline
// that it can meet; nil if there is none. allowed filters requests.
func (q *queue) next(now time.Time, takes func(*Request) time.Duration, allowed func(*Request) bool) *Request {
	var late *Request
	for _, r := range q.waiters {
		if !allowed(r) {
			continue
		}
		end := now.Add(takes(r))
		if !end.After(r.Aim) {
			return r
		}
		if !end.After(r.Deadline) && (late == nil || r.Deadline.Before(late.Deadline)) {
			late = r
		}
	}
	return late
}
