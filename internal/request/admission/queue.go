package admission

import (
	"math"
	"slices"
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
	// waiters is ordered by priority, then by turn, then by aim. Without teams all turns
	// are 0.
	waiters []*Request
	// teams holds the turns of teams; empty without teams.
	teams rotation
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
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.Aim.Before(b.Aim)
}

// push inserts a request at its position. The requests of its team after that take over the
// next turn of the team each.
func (q *queue) push(r *Request) {
	if len(q.waiters) == 0 {
		q.teams.reset()
	}
	r.turn = q.teams.next(r)
	i := q.search(r)
	q.waiters = slices.Insert(q.waiters, i, r)
	if r.turnCost == 0 {
		return
	}
	q.teams.queued(r)
	for j := q.laterOfTeam(r, i); j >= 0; j = q.laterOfTeam(r, j) {
		q.exchange(i, j)
		i = j
	}
}

// position returns the number of waiting requests that are to be served before r.
func (q *queue) position(r *Request) int {
	r.turn = q.teams.next(r)
	i := q.search(r)
	if r.turnCost > 0 {
		for j := q.laterOfTeam(r, i); j >= 0; j = q.laterOfTeam(r, j) {
			i = j
		}
	}
	return i
}

// ahead returns the number of waiting requests that are served before r, as far as it is
// certain. With teams, requests that would be answered at end if they ran now and miss their
// aim do not count: next passes them over, and they keep their early turns for as long as
// they wait. A team that floods has many of them.
func (q *queue) ahead(r *Request, end time.Time) int {
	position := q.position(r)
	if r.turnCost == 0 {
		return position
	}
	ahead := 0
	for _, w := range q.waiters[:position] {
		if !w.Aim.Before(end) {
			ahead++
		}
	}
	return ahead
}

// search returns the position of a request by its turn.
func (q *queue) search(r *Request) int {
	return sort.Search(len(q.waiters), func(i int) bool { return servedBefore(r, q.waiters[i]) })
}

// laterOfTeam returns the last request before position i that has the team and priority of r,
// if its aim is later than that of r; otherwise -1.
func (q *queue) laterOfTeam(r *Request, i int) int {
	for j := i - 1; j >= 0 && q.waiters[j].Priority == r.Priority; j-- {
		if w := q.waiters[j]; w.Team == r.Team {
			if r.Aim.Before(w.Aim) {
				return j
			}
			return -1
		}
	}
	return -1
}

// exchange exchanges two requests and their turns.
func (q *queue) exchange(i, j int) {
	a, b := q.waiters[i], q.waiters[j]
	a.turn, b.turn = b.turn, a.turn
	q.waiters[i], q.waiters[j] = b, a
}

// remove removes a request that will not be served, if it is queued. Its turn goes to the
// next request of its team.
func (q *queue) remove(r *Request) {
	i := slices.Index(q.waiters, r)
	if i < 0 {
		return
	}
	if r.turnCost > 0 {
		for j := i + 1; j < len(q.waiters) && q.waiters[j].Priority == r.Priority; j++ {
			if q.waiters[j].Team == r.Team {
				q.exchange(i, j)
				i = j
			}
		}
		q.teams.withdrawn(r)
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
}

// take removes a request that is served now.
func (q *queue) take(r *Request) {
	if i := slices.Index(q.waiters, r); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		q.teams.served(r)
	}
}

// next returns the request to run now: the first that meets its aim, otherwise
// the one with the earliest deadline among those that meet their deadline, with teams
// the first of these in turn and its team; nil if there is none. canRun reports whether a request can run now; expectedTime is called
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
		if !end.After(r.Deadline) && (fallback == nil || r.Deadline.Before(fallback.Deadline) && (r.turnCost == 0 || sameTurns(r, fallback))) {
			fallback = r
		}
	}
	return fallback
}
