package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

// TestTurnsOfTeams queues, serves and withdraws requests of some teams in any order. It guards
// against a queue that is out of order, so that a request is not found in its place, against a
// request that is served after one of its team with a later aim, and against a team that waits
// while others of the same cost are served twice.
func TestTurnsOfTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		start := time.Unix(1700000000, 0)
		// servedSince counts, for each team that waits, the requests served of each other team
		// since the last one of its own, or since it began to wait.
		servedSince := map[string]map[string]int{}
		waiting := map[string]int{}
		leave := func(r *Request) {
			if waiting[r.Team]--; waiting[r.Team] == 0 {
				delete(servedSince, r.Team)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step < 3:
				r := &Request{
					Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), turnCost: 1,
					Aim: start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "aim"))),
				}
				at := q.position(r)
				q.push(r)
				assert.Equal(t, slices.Index(q.waiters, r), at)
				if waiting[r.Team]++; waiting[r.Team] == 1 {
					servedSince[r.Team] = map[string]int{}
				}
			case len(q.waiters) == 0:
			case step == 3:
				r := q.waiters[0]
				q.take(r)
				leave(r)
				for team, others := range servedSince {
					if others[r.Team]++; team == r.Team {
						clear(others)
					} else {
						assert.Assert(t, others[r.Team] <= 2, "%s was served %d times in a row while %s waited", r.Team, others[r.Team], team)
					}
				}
			default:
				r := q.waiters[rapid.IntRange(0, len(q.waiters)-1).Draw(t, "withdrawn")]
				q.remove(r)
				leave(r)
			}
			last := map[string]*Request{}
			for i, r := range q.waiters {
				assert.Assert(t, i == 0 || q.waiters[i-1].turn <= r.turn, "the turns are out of order")
				assert.Assert(t, last[r.Team] == nil || !r.Aim.Before(last[r.Team].Aim), "team %s is out of order", r.Team)
				last[r.Team] = r
			}
		}
	})
}

// BenchmarkQueueOfTeams queues and serves a request while 2000 requests of 74 teams wait.
func BenchmarkQueueOfTeams(b *testing.B) {
	q := &queue{}
	now := time.Unix(1700000000, 0)
	push := func(i int) {
		q.push(&Request{Team: string(rune('a' + i%74)), turnCost: float64(1 + i%74), Aim: now.Add(time.Duration(i) * time.Millisecond)})
	}
	for i := range 2000 {
		push(i)
	}
	for i := 0; b.Loop(); i++ {
		push(2000 + i)
		q.take(q.waiters[0])
	}
}
