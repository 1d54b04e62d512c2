package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TestFloodOfOneTeam plays teams of very different rates within their quotas, and one that
// sends ten times its quota, with the same, shorter or longer aims than the others. The quota
// of the flooding team is not enforced here. It guards against teams that get less than they
// are entitled to because another sends more: without turns, each is served in proportion to
// what it sends, which is between 0.53 and 0.70 of the requests if the flood's aim is not
// shorter than theirs.
func TestFloodOfOneTeam(t *testing.T) {
	const capacity = 16 / 0.060
	// The shares of the capacity that teams are entitled to. They use 90% of it.
	shares := []struct {
		team string
		of   float64
	}{{"t0", 0.3}, {"t1", 0.15}, {"t2", 0.05}, {"t3", 0.02}, {"t4", 0.015}, {"flood", 0.1}}
	short, long := browse, browse
	short.class, short.aim = "short", browse.aim/2
	long.class, long.aim, long.deadline = "long", 2*browse.aim, 2*browse.deadline
	for _, keyed := range []bool{false, true} {
		for _, limited := range []bool{false, true} {
			for _, flood := range []load{browse, short, long} {
				view := fleetOf(fleet.Service{Name: "s", Keyed: keyed}, 8)
				for _, share := range shares {
					config := fleet.Team{Name: share.team}
					if limited {
						config.Rate = share.of * capacity
					}
					view.Config.Teams = append(view.Config.Teams, config)
				}
				view.Config.Index()
				p := newSimulation(defaultConfig(), view)
				for _, share := range shares {
					l := withRate(browse, 0.9*share.of*capacity)
					if share.team == "flood" {
						l = withRate(flood, 10*share.of*capacity)
					}
					l.team = share.team
					l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
					p.scheduleLoad(l, 0, 40*time.Second)
				}
				p.runUntil(42 * time.Second)
				overall := p.share(anyRequest, (*simulatedRequest).inAim)
				for _, share := range shares {
					inAim := p.share(func(r *simulatedRequest) bool { return r.Team == share.team }, (*simulatedRequest).inAim)
					bound := 0.8
					if !limited && share.team == "t0" {
						// It sends more than an equal share.
						bound = overall
					} else if share.team == "flood" {
						bound = overall / 4
					}
					assert.Check(t, inAim >= bound, "keyed %v, limited %v, flood with %s aims: %.3f of the requests of %s met their aim, %.3f overall",
						keyed, limited, flood.class, inAim, share.team, overall)
				}
			}
		}
	}
}
