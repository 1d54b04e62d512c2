package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TestRestrictedTargetsGetNothing guards against permits for a target that is leaving, has
// asked for a back-off or leaves requests unanswered: after the end of a permit says so, none
// starts there until the restriction ends. The others must go on to meet their aim, and
// requests that cannot wait for the end of a back-off must be refused at once.
func TestRestrictedTargetsGetNothing(t *testing.T) {
	const from, rest = 2 * time.Second, 3 * time.Second
	for kind, notice := range map[string]func(*admission.End){
		"leaving": func(end *admission.End) { end.Leaving = true },
		"resting": func(end *admission.End) { end.Result, end.Rest = admission.NotRun, rest },
		"silent":  func(end *admission.End) { end.Result = admission.Unanswered },
	} {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, keyed %v", kind, keyed), func(t *testing.T) {
				config, said := defaultConfig(), 0
				config.Leaving = func(life fleet.Life) {
					assert.Equal(t, life, fleet.Life{ID: "t0", Born: 1})
					said++
				}
				p := newSimulation(config, fleetOf(fleet.Service{Name: "s", Keyed: keyed}, 6))
				var noticedAt time.Time
				p.notice = func(target string, end *admission.End) {
					if now := p.now.Sub(p.start); target != "t0" || now < from {
						return
					}
					if noticedAt.IsZero() {
						noticedAt = p.now
					} else if kind != "silent" && !(kind == "leaving" && p.now.Sub(noticedAt) < time.Second) {
						return
					}
					notice(end)
				}
				l := withRate(browse, 120)
				l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
				p.scheduleLoad(l, 0, 8*time.Second)
				p.runUntil(9 * time.Second)
				assert.Assert(t, !noticedAt.IsZero())
				assert.Equal(t, said == 1, kind == "leaving")

				during, later, running := 0, 0, 0
				for _, r := range p.done {
					since := r.startedAt.Sub(noticedAt)
					switch {
					case r.target != "t0" || r.refused != "" || since <= 0:
					case since < rest:
						during++
					default:
						later++
					}
					if kind == "silent" && r.target == "t0" && since > 0 {
						for _, other := range p.done {
							if other != r && other.target == "t0" && other.startedAt.After(noticedAt) && other.startedAt.Before(r.endedAt) && r.startedAt.Before(other.endedAt) {
								running++
							}
						}
					}
				}
				switch kind {
				case "leaving":
					assert.Equal(t, during+later, 0, "starts at a leaving target")
				case "resting":
					assert.Equal(t, during, 0, "starts during the back-off")
					assert.Assert(t, later > 10, "%d starts after the back-off", later)
				case "silent":
					assert.Equal(t, running, 0, "more than one at a time at a silent target")
					assert.Assert(t, during <= int(rest/browse.aim)+1, "%d starts at a silent target in %s", during, rest)
				}
				others := p.share(func(r *simulatedRequest) bool {
					return r.target != "t0" && !(keyed && r.Key < fleet.Keys/6)
				}, (*simulatedRequest).inAim)
				assert.Assert(t, others > 0.95, "%f of the requests for others met their aim", others)
				atOnce := p.share(
					func(r *simulatedRequest) bool {
						return r.refused != "" && (kind == "resting" || kind == "leaving" && r.arrivedAt.Sub(noticedAt) > browse.deadline)
					},
					func(r *simulatedRequest) bool { return r.endedAt.Sub(r.arrivedAt) < 60*time.Millisecond })
				assert.Assert(t, !(atOnce < 0.95), "%f of the refusals came at once", atOnce)
			})
		}
	}
}

// TestWaitsForTheEndOfABackoff guards against refusals during a back-off of all targets that
// ends in time: such requests wait for it, as many as can be answered, and the others are
// refused on arrival.
func TestWaitsForTheEndOfABackoff(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s", Keyed: keyed}, 1))
		p.notice = func(_ string, end *admission.End) {
			if len(p.done) == 0 {
				end.Result, end.Rest = admission.NotRun, 250*time.Millisecond
			}
		}
		p.ask(browse)
		p.schedule(p.start.Add(150*time.Millisecond), func() {
			for range 30 {
				p.ask(browse)
			}
		})
		p.runUntil(2 * time.Second)
		served := p.share(anyRequest, func(r *simulatedRequest) bool { return r.refused == "" && !r.endedAt.After(r.Deadline) })
		atOnce := p.share(func(r *simulatedRequest) bool { return r.refused != "" }, func(r *simulatedRequest) bool { return r.endedAt == r.arrivedAt })
		assert.Assert(t, served > 0.15, "keyed %v: %f were served", keyed, served)
		assert.Assert(t, atOnce > 0.7, "keyed %v: %f of the refusals came on arrival", keyed, atOnce)
	}
}
