package permits_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// quotaLoad is what the callers of two teams got. The limit of team "small" is 120 requests
// in 5 s, and the rule allows 142; team "free" has no limit.
type quotaLoad struct {
	mu      sync.Mutex
	runs    []time.Time
	refused map[admission.Reason]int
	// freeRefused is the number of refused requests of team "free".
	freeRefused int
	// grown counts how often all VMs should have heard of a team before a heartbeat was due.
	grown *atomic.Int32
}

// playQuota plays 200 requests per second of team "small" and 20 of team "free" through
// four VMs for 20 s. Nobody can reach the broker from 6 s to 9 s, VM c not from 11 s to 18 s.
func playQuota(t *testing.T, rule quota.Rule) *quotaLoad {
	n := &network{desks: map[string]*permits.Desk{}, cut: map[string]bool{}}
	view := newView()
	view.Targets["t0"].Slots = 1000
	view.Config.Teams = []fleet.Team{{Name: "small", Rate: 20, Burst: 20}, {Name: "free"}}
	view.Config.Index()
	view.Leader, view.Term, view.Members = fleet.Member{VM: "broker"}, 1, map[string]fleet.Member{}
	vms := []string{"broker", "a", "b", "c"}
	for _, vm := range vms {
		view.Members[vm] = fleet.Member{VM: vm}
	}
	for _, vm := range vms {
		n.quota = rule
		n.start(vm, view)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	cut := func(vm string, from, until time.Duration) {
		for at, isCut := range map[time.Duration]bool{from: true, until: false} {
			time.AfterFunc(at, func() { n.mu.Lock(); n.cut[vm] = isCut; n.mu.Unlock() })
		}
	}
	cut("broker", 6*time.Second, 9*time.Second)
	cut("c", 11*time.Second, 18*time.Second)
	played := &quotaLoad{refused: map[admission.Reason]int{}, grown: &n.quotaGrown}
	for _, vm := range vms {
		desk := n.desks[vm]
		go func() {
			for ; ctx.Err() == nil; time.Sleep(250 * time.Millisecond) {
				n.mu.Lock()
				reached := !n.cut["broker"] && !n.cut[vm]
				n.mu.Unlock()
				if now := time.Now(); vm != "broker" && reached {
					n.desks["broker"].QuotaReported(vm, desk.QuotaUses(now), now)
					if state := n.desks["broker"].QuotaState(now); state != nil {
						desk.QuotaHeard(state, now)
					}
				}
			}
		}()
		for team, pause := range map[string]time.Duration{"small": 20 * time.Millisecond, "free": 200 * time.Millisecond} {
			go func() {
				for ; ctx.Err() == nil; time.Sleep(pause) {
					go played.send(ctx, desk, team)
				}
			}()
		}
	}
	time.Sleep(22 * time.Second)
	synctest.Wait()
	return played
}

func (l *quotaLoad) send(ctx context.Context, desk *permits.Desk, team string) {
	r := request()
	r.Team = team
	permit, err := desk.Acquire(ctx, r)
	if err != nil {
		return
	}
	l.mu.Lock()
	switch {
	case permit.Refused == "" && team == "small":
		l.runs = append(l.runs, time.Now())
	case team == "small":
		l.refused[permit.Refused]++
	case permit.Refused != "":
		l.freeRefused++
	}
	l.mu.Unlock()
	if permit.Refused == "" {
		time.Sleep(20 * time.Millisecond)
		desk.End(permit, admission.Answered, 20*time.Millisecond, fleet.Load{}, false)
	}
}

// busiest returns the largest number of runs in any window.
func (l *quotaLoad) busiest(window time.Duration) (most int) {
	first := 0
	for last, at := range l.runs {
		for at.Sub(l.runs[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestQuotaHoldsOverAllVMs checks that the requests of a team stay within the rule in every
// sliding window while VMs are served by the broker, by their own shares and by both, that
// the team gets what its limit allows, and that a team without limit is not refused. Without
// the rule the same load exceeds it.
func TestQuotaHoldsOverAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := 5 * time.Second
		played := playQuota(t, quota.Rule{Window: window, Over: 0.1, Slack: 10})
		t.Logf("%d runs, %d in the busiest window, refused %v", len(played.runs), played.busiest(window), played.refused)
		assert.Check(t, played.busiest(window) <= 142)
		assert.Check(t, len(played.runs) > 4*110, "%d runs", len(played.runs))
		assert.Check(t, played.refused[admission.QuotaSpent] > 1000)
		assert.Equal(t, played.freeRefused, 0)
		assert.Check(t, played.grown.Load() > 0)
	})
	synctest.Test(t, func(t *testing.T) {
		assert.Check(t, playQuota(t, quota.Rule{}).busiest(5*time.Second) > 142)
	})
}
