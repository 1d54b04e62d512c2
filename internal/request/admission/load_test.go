package admission_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// browse is the load that most tests play; withRate sets its rate.
var browse = load{service: "s", class: "browse", work: 60 * time.Millisecond, aim: 200 * time.Millisecond, deadline: 500 * time.Millisecond, domain: "a"}

// withRate returns a load with the given rate in requests per second.
func withRate(l load, perSecond float64) load {
	l.perSecond = perSecond
	return l
}

// TestCalmLoadMeetsItsAim checks that at half of the capacity nearly all requests meet
// their aim.
func TestCalmLoadMeetsItsAim(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 8))
	p.scheduleLoad(withRate(browse, 130), 0, 20*time.Second)
	p.runUntil(21 * time.Second)
	assert.Assert(t, p.share(anyRequest, (*simulatedRequest).inAim) > 0.99, "%f", p.share(anyRequest, (*simulatedRequest).inAim))
}

// TestCalmLoadStaysNearby checks that at a third of the capacity requests stay in
// their failure domain and on open connections, although targets in the other domain
// are quicker, and still meet their aim. A busy service uses all targets.
func TestCalmLoadStaysNearby(t *testing.T) {
	nearby := func(perS float64) (inDomain, connected, inAim float64) {
		p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 16))
		p.vms = 10
		p.slowness = func(target string, _ time.Time) float64 {
			if p.view.Targets[target].FailureDomain == "a" {
				return 1.15
			}
			return 0.95
		}
		p.scheduleLoad(withRate(browse, perS), 0, 20*time.Second)
		p.runUntil(21 * time.Second)
		used := map[string]time.Time{}
		sort.Slice(p.done, func(i, j int) bool { return p.done[i].startedAt.Before(p.done[j].startedAt) })
		reused := func(r *simulatedRequest) bool {
			pair := r.ID.VM + ">" + r.target
			last, known := used[pair]
			used[pair] = r.startedAt
			return known && r.startedAt.Sub(last) < 7*time.Second
		}
		served := func(r *simulatedRequest) bool { return r.refused == "" }
		return p.share(served, func(r *simulatedRequest) bool { return p.view.Targets[r.target].FailureDomain == "a" }),
			p.share(served, reused), p.share(anyRequest, (*simulatedRequest).inAim)
	}
	inDomain, connected, inAim := nearby(16 * 2 / 0.060 / 3 / 2)
	assert.Check(t, inDomain > 0.95, "%f of the requests stayed in their failure domain", inDomain)
	assert.Check(t, connected > 0.9, "%f of the requests reused a connection", connected)
	assert.Check(t, inAim > 0.99, "%f of the requests met their aim", inAim)
	inDomain, _, inAim = nearby(16 * 2 / 0.060 * 0.8)
	assert.Check(t, inDomain < 0.7, "%f of the requests stayed in their failure domain under load", inDomain)
	assert.Check(t, inAim > 0.95, "%f of the requests met their aim under load", inAim)
}

// TestOverloadKeepsCapacityForAims checks that at one and a half times the capacity
// the requests that are served meet their aim: no capacity is spent on late answers.
func TestOverloadKeepsCapacityForAims(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s", Keyed: keyed}, 8))
		capacity := 16 / 0.060
		l := withRate(browse, 1.5*capacity)
		l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
		p.scheduleLoad(l, 0, 20*time.Second)
		p.runUntil(21 * time.Second)
		inAim := p.share(anyRequest, (*simulatedRequest).inAim)
		assert.Assert(t, inAim > 0.85/1.5, "keyed %v: %f of the requests met their aim", keyed, inAim)
	}
}

// TestRefusalsComeAtOnce checks that nearly all requests that cannot meet their
// deadline are refused within an eighth of their aim.
func TestRefusalsComeAtOnce(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s", Keyed: keyed}, 8))
		l := withRate(browse, 1.5*16/0.060)
		l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
		p.scheduleLoad(l, 0, 20*time.Second)
		p.runUntil(21 * time.Second)
		refused := func(r *simulatedRequest) bool { return r.refused != "" }
		atOnce := p.share(refused, func(r *simulatedRequest) bool { return r.endedAt.Sub(r.arrivedAt) <= l.aim/8 })
		assert.Assert(t, atOnce > 0.9, "keyed %v: %f of the refusals came within an eighth of the aim", keyed, atOnce)
	}
}

// TestHotOwnerDoesNotDelayOthers checks that requests for other keys meet their aim
// while the keys of one owner get five times its capacity.
func TestHotOwnerDoesNotDelayOthers(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s", Keyed: true}, 8))
	hot, cool := withRate(browse, 160), withRate(browse, 100)
	hot.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(200)) }
	cool.key = func(r *rand.Rand) uint16 { return uint16(fleet.Keys/8 + r.IntN(fleet.Keys*7/8)) }
	p.scheduleLoad(hot, 0, 10*time.Second)
	p.scheduleLoad(cool, 0, 10*time.Second)
	p.runUntil(11 * time.Second)
	others := p.share(func(r *simulatedRequest) bool { return r.Key >= fleet.Keys/8 }, (*simulatedRequest).inAim)
	assert.Assert(t, others > 0.97, "%f", others)
}

// TestUrgentRequestsRunFirst checks that under overload requests of the higher
// priority meet their aim.
func TestUrgentRequestsRunFirst(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 4))
	urgent, other := withRate(browse, 60), withRate(browse, 200)
	urgent.priority, urgent.class, other.priority = 1, "urgent", 2
	p.scheduleLoad(urgent, 0, 10*time.Second)
	p.scheduleLoad(other, 0, 10*time.Second)
	p.runUntil(11 * time.Second)
	served := p.share(func(r *simulatedRequest) bool { return r.Class == "urgent" }, (*simulatedRequest).inAim)
	assert.Assert(t, served > 0.95, "%f", served)
}

// withCold returns a copy of a view in which some targets are cold. A view must not
// be changed once a broker has it.
func withCold(view *fleet.View, until time.Time, ids ...string) *fleet.View {
	next := *view
	next.Targets = maps.Clone(view.Targets)
	for _, id := range ids {
		cold := *view.Targets[id]
		cold.ColdUntil = until
		next.Targets[id] = &cold
	}
	return &next
}

// TestColdTargetIsPaced checks that a cold target never gets more requests in a
// second than its limit, whatever the load.
func TestColdTargetIsPaced(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		view := fleetOf(fleet.Service{Name: "s", Keyed: keyed, Cold: 3 * time.Second, ColdRate: 11}, 4)
		p := newSimulation(defaultConfig(), view)
		view = withCold(view, p.start.Add(5*time.Second), "t0")
		p.broker.Update(view, p.start)
		l := withRate(browse, 200)
		l.work = 10 * time.Millisecond
		l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
		p.scheduleLoad(l, 0, 5*time.Second)
		p.runUntil(5 * time.Second)
		most := p.maxStartsWithin("t0", time.Second, view.Targets["t0"].ColdUntil)
		assert.Assert(t, most <= 21, "keyed %v: %d requests within a second", keyed, most)
		assert.Assert(t, most > 5, "keyed %v: the cold target got only %d requests within a second", keyed, most)
	}
}

// TestNextBrokerCountsTheFormerOne checks that a cold target gets no more requests in a
// second than its limit, also while another broker takes over.
func TestNextBrokerCountsTheFormerOne(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		limit    = 11*3/2 + 5
	)
	config := defaultConfig()
	began := time.Unix(1700000000, 0)
	for _, takenOver := range []time.Duration{500 * time.Millisecond, time.Second, 1200 * time.Millisecond, 2 * time.Second} {
		var starts []time.Time
		now, sent := began, 0
		broker := func(term uint64, since time.Time) *admission.Broker {
			config.Decide = func(d admission.Decision) {
				if d.Refused == "" {
					starts = append(starts, now)
				}
			}
			view := *withCold(fleetOf(fleet.Service{Name: "s", ColdRate: 11}, 1), began.Add(5*time.Second), "t0")
			view.Term = term
			view.Targets["t0"].Slots = 1000
			b := admission.New(config)
			b.Update(&view, since)
			return b
		}
		present := broker(1, began.Add(-10*time.Second))
		for ; now.Before(began.Add(4 * time.Second)); now = now.Add(interval) {
			if now.Sub(began) == takenOver {
				present = broker(2, now)
			}
			sent++
			id := admission.ID{VM: "a", Number: uint64(sent)}
			present.Ask(admission.Request{ID: id, Service: "s", Class: "c", Aim: now.Add(interval), Deadline: now.Add(interval)}, now)
			present.Tick(now.Add(interval))
		}
		most, last := 0, 0
		for i, at := range starts {
			for at.Sub(starts[last]) >= time.Second {
				last++
			}
			most = max(most, i-last+1)
		}
		assert.Assert(t, most <= limit, "taken over after %s: %d requests within a second", takenOver, most)
		assert.Assert(t, most > 10, "taken over after %s: only %d requests within a second", takenOver, most)
	}
}

// TestCautiousBrokerSparesColdTargets checks that a broker that does not see the
// requests of other VMs sends nothing to cold targets.
func TestCautiousBrokerSparesColdTargets(t *testing.T) {
	view := fleetOf(fleet.Service{Name: "s", ColdRate: 11}, 2)
	config := defaultConfig()
	config.Cautious = true
	p := newSimulation(config, view)
	p.broker.Update(withCold(view, p.start.Add(time.Hour), "t0", "t1"), p.start)
	r := p.ask(browse)
	p.runUntil(time.Second)
	assert.Equal(t, r.target, "")
}

// TestSlowTargetGetsLess checks that requests meet their aim although one of eight
// targets takes eight times as long: the others have the capacity to do without it.
func TestSlowTargetGetsLess(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 8))
	p.slowness = func(target string, _ time.Time) float64 {
		if target == "t3" {
			return 8
		}
		return 1
	}
	p.scheduleLoad(withRate(browse, 130), 0, 20*time.Second)
	p.runUntil(22 * time.Second)
	assert.Assert(t, p.share(anyRequest, (*simulatedRequest).inAim) > 0.97, "%f", p.share(anyRequest, (*simulatedRequest).inAim))
}

// TestObservedSlownessIsSteady guards against keys that move because single requests take
// longer: with work that spreads by half and is seven times longer once in 33, the observed
// slowness of equal targets stays within a quarter of their mean, which is what moves keys.
// A target that turns three times slower is still seen within 2 s.
func TestObservedSlownessIsSteady(t *testing.T) {
	const targets, slowFrom = 8, 30 * time.Second
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s", Keyed: true}, targets))
	p.slowness = func(target string, now time.Time) float64 {
		x := math.Exp(0.5 * p.random.NormFloat64())
		if p.random.Float64() < 0.03 {
			x *= 7
		}
		if target == "t0" && now.Sub(p.start) >= slowFrom {
			x *= 3
		}
		return x
	}
	l := withRate(browse, targets*12)
	l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
	l.aim, l.deadline = time.Second, 3*time.Second
	p.scheduleLoad(l, 0, slowFrom+2*time.Second)
	// The mean work of the class is measured first.
	const settled = 10 * time.Second
	outside, looked := 0, 0
	for at := settled; at < slowFrom; at += 250 * time.Millisecond {
		p.schedule(p.start.Add(at), func() {
			slowness, sum := make([]float64, targets), 0.0
			for i := range slowness {
				observed, _ := p.broker.Observe("s", fmt.Sprintf("t%d", i))
				slowness[i] = observed.Slowness
				sum += observed.Slowness
			}
			for _, s := range slowness {
				looked++
				if s > 1.25*sum/targets || s < 0.75*sum/targets {
					outside++
				}
			}
		})
	}
	p.runUntil(slowFrom + 2*time.Second)
	assert.Check(t, float64(outside) < 0.1*float64(looked), "%d of %d times a target looked slower or quicker than the others", outside, looked)
	slow, _ := p.broker.Observe("s", "t0")
	usual, _ := p.broker.Observe("s", "t1")
	assert.Check(t, slow.Slowness > 1.5*usual.Slowness, "%f, another target %f", slow.Slowness, usual.Slowness)
}

// TestFailingTargetGetsLess checks that a target that refuses nearly half of its
// requests, while its health checks pass, gets few requests but is tried again.
func TestFailingTargetGetsLess(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 8))
	p.fails = func(target string) bool { return target == "t3" && p.random.Float64() < 0.45 }
	p.scheduleLoad(withRate(browse, 130), 0, 20*time.Second)
	p.runUntil(22 * time.Second)
	toFailing := p.share(anyRequest, func(r *simulatedRequest) bool { return r.target == "t3" })
	assert.Assert(t, toFailing < 0.5/8, "%f of the requests went to the failing target", toFailing)
	assert.Assert(t, toFailing > 0, "the failing target was not tried again")
}

// TestRepeatsStayWithinTheBudget checks that the repeats stay within the budget in every
// window while a repeat is requested for each request.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 8))
	for i := range 3000 {
		at := time.Duration(i) * 10 * time.Millisecond
		p.schedule(p.start.Add(at), func() {
			p.ask(browse)
		})
	}
	for i := range 3000 {
		at := time.Duration(i)*10*time.Millisecond + time.Millisecond
		p.schedule(p.start.Add(at), func() { p.askRepeat(browse) })
	}
	p.runUntil(31 * time.Second)
	window := 10 * time.Second
	for from := time.Duration(0); from <= 20*time.Second; from += 500 * time.Millisecond {
		inside := func(r *simulatedRequest) bool {
			at := r.arrivedAt.Sub(p.start)
			return at >= from && at < from+window
		}
		first, repeats := 0, 0
		for _, r := range p.done {
			switch {
			case !inside(r):
			case !r.Repeat:
				first++
			case r.refused == "":
				repeats++
			}
		}
		allowed := budget.Ratio*float64(first) + float64(budget.Allowance)
		assert.Assert(t, float64(repeats) <= allowed, "%d repeats of %d requests", repeats, first)
		assert.Assert(t, repeats > 0)
	}
}

// TestBudgetIsNotSpentTwiceWhenTheBrokerChanges checks that no window has more repeats
// than the budget allows while targets refuse requests and the broker is replaced by
// one that has adopted its counts as of the last heartbeat.
func TestBudgetIsNotSpentTwiceWhenTheBrokerChanges(t *testing.T) {
	const step, changes, heartbeat = 2 * time.Millisecond, 6 * time.Second, 500 * time.Millisecond
	var brokers []*admission.Broker
	var repeated []time.Time
	now := time.Unix(1700000000, 0)
	config := defaultConfig()
	config.Decide = func(d admission.Decision) {
		if d.Refused == "" && d.ID.VM == "repeat" {
			repeated = append(repeated, now)
		}
	}
	view := fleetOf(fleet.Service{Name: "s"}, 200)
	for range 2 {
		b := admission.New(config)
		b.Update(view, now)
		brokers = append(brokers, b)
	}
	start, heard, number := now, now, uint64(0)
	var counts map[string]admission.RepeatCount
	ask := func(b *admission.Broker, vm string) {
		number++
		id := admission.ID{VM: vm, Number: number}
		b.Ask(admission.Request{
			ID: id, Service: "s", Class: "c", Aim: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Repeat: vm == "repeat",
		}, now)
		b.End(admission.End{ID: id, Result: admission.NotRun}, now)
	}
	for now.Sub(start) < 2*changes {
		broker := brokers[0]
		if now.Sub(start) >= changes {
			broker = brokers[1]
		} else if now.Sub(heard) >= heartbeat && changes-now.Sub(start) > heartbeat/2 {
			heard, counts = now, broker.Repeats(now)
		}
		if now.Sub(start) == changes {
			broker.AdoptRepeats(counts, heard, now)
		}
		ask(broker, "first")
		ask(broker, "repeat")
		now = now.Add(step)
	}
	most := 0
	for i := range repeated {
		end := i
		for end < len(repeated) && repeated[end].Sub(repeated[i]) < budget.Window {
			end++
		}
		most = max(most, end-i)
	}
	allowed := budget.Ratio*float64(budget.Window/step) + float64(budget.Allowance)
	assert.Assert(t, float64(most) <= allowed, "%d repeats in a window, %.0f allowed", most, allowed)
	assert.Assert(t, float64(most) > allowed/2, "%d repeats in a window, %.0f allowed", most, allowed)
}

// TestLargeRequestsStayInTheirDomain checks that large requests stay in their failure
// domain while a target there becomes free in time.
func TestLargeRequestsStayInTheirDomain(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 8))
	l := withRate(browse, 60)
	l.large = true
	p.scheduleLoad(l, 0, 10*time.Second)
	p.runUntil(11 * time.Second)
	local := p.share(anyRequest, func(r *simulatedRequest) bool { return p.view.Targets[r.target].FailureDomain == "a" })
	assert.Assert(t, local > 0.95, "%f", local)
	assert.Assert(t, p.share(anyRequest, (*simulatedRequest).inAim) > 0.97)
}

// TestNothingIsSentToTargetsThatLeave checks that targets that are leaving or in an
// evacuated failure domain get no requests once the view says so.
func TestNothingIsSentToTargetsThatLeave(t *testing.T) {
	view := fleetOf(fleet.Service{Name: "s"}, 4)
	p := newSimulation(defaultConfig(), view)
	p.scheduleLoad(withRate(browse, 100), 0, 4*time.Second)
	p.schedule(p.start.Add(time.Second), func() {
		next := *view
		next.Targets = map[string]*fleet.Target{}
		for id, target := range view.Targets {
			copied := *target
			copied.Leaving = id == "t0"
			next.Targets[id] = &copied
		}
		next.Evacuated = map[string]bool{"b": true}
		p.broker.Update(&next, p.now)
	})
	p.runUntil(5 * time.Second)
	for _, r := range p.done {
		if r.startedAt.After(p.start.Add(time.Second)) {
			assert.Equal(t, r.target, "t2")
		}
	}
}

// TestPermitWithoutEndIsGivenUp checks that a slot held for a VM that has failed is
// free again after the deadline of the request.
func TestPermitWithoutEndIsGivenUp(t *testing.T) {
	var decisions []admission.Decision
	config := defaultConfig()
	config.Decide = func(d admission.Decision) { decisions = append(decisions, d) }
	broker := admission.New(config)
	view := fleetOf(fleet.Service{Name: "s"}, 1)
	now := time.Unix(1700000000, 0)
	broker.Update(view, now)
	for i := range uint64(3) {
		broker.Ask(admission.Request{
			ID: admission.ID{VM: "gone", Number: i}, Service: "s", Class: "c", Aim: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
		}, now)
	}
	assert.Equal(t, len(decisions), 2, "two requests have slots, one waits")
	broker.Forget("gone")
	broker.Tick(now.Add(1600 * time.Millisecond))
	now = now.Add(1700 * time.Millisecond)
	broker.Ask(admission.Request{
		ID: admission.ID{VM: "vm", Number: 1}, Service: "s", Class: "c", Aim: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
	}, now)
	assert.Equal(t, len(decisions), 3)
	assert.Equal(t, decisions[2].Refused, admission.Reason(""))
}

// TestConnectionsAreReused checks that a VM prefers targets to which it has
// connections while they are as good as others.
func TestConnectionsAreReused(t *testing.T) {
	p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, 20))
	p.vms = 40
	p.scheduleLoad(withRate(browse, 100), 0, 20*time.Second)
	p.runUntil(21 * time.Second)
	last := map[string]time.Time{}
	reused := p.share(anyRequest, func(r *simulatedRequest) bool {
		pair := r.ID.VM + ">" + r.target
		kept := r.startedAt.Sub(last[pair]) < 7*time.Second
		last[pair] = r.startedAt
		return kept
	})
	assert.Assert(t, reused > 0.75, "%f of the requests went to a target that their VM used in the last 7 s", reused)
	assert.Assert(t, p.share(anyRequest, (*simulatedRequest).inAim) > 0.98)
}
