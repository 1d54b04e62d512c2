package admission_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TestManyTargetsServeAsFewDo checks that requests to 400 targets, a third of them
// slow, from 150 VMs meet their aim as often as with 54 targets, at two thirds of the
// capacity and a short peak above it, and that a VM uses only a part of the targets.
func TestManyTargetsServeAsFewDo(t *testing.T) {
	served := func(targets, vms int) (inAim, afterwards float64, used map[string]map[string]bool) {
		p := newSimulation(defaultConfig(), fleetOf(fleet.Service{Name: "s"}, targets))
		p.vms = vms
		p.slowness = func(target string, _ time.Time) float64 { return []float64{0.7, 0.7, 1.6}[target[len(target)-1]%3] }
		capacity := float64(targets) * 2 / 0.060
		p.scheduleLoad(withRate(browse, capacity*0.66), 0, 4*time.Second)
		p.scheduleLoad(withRate(browse, capacity*0.9), time.Second, 1500*time.Millisecond)
		p.runUntil(5 * time.Second)
		used = map[string]map[string]bool{}
		for _, r := range p.done {
			if used[r.ID.VM] == nil {
				used[r.ID.VM] = map[string]bool{}
			}
			used[r.ID.VM][r.target] = true
		}
		afterPeak := func(r *simulatedRequest) bool { return r.arrivedAt.Sub(p.start) > 2500*time.Millisecond }
		return p.share(anyRequest, (*simulatedRequest).inAim), p.share(afterPeak, (*simulatedRequest).inAim), used
	}
	few, fewAfterwards, _ := served(54, 18)
	many, manyAfterwards, used := served(400, 150)
	assert.Check(t, many > few-0.02, "%.3f of the requests met their aim, %.3f with 54 targets", many, few)
	assert.Check(t, manyAfterwards > fewAfterwards-0.005, "%.3f of the requests after the peak met their aim, %.3f with 54 targets", manyAfterwards, fewAfterwards)
	pairs := 0
	for _, targets := range used {
		pairs += len(targets)
	}
	assert.Check(t, pairs/len(used) < 300, "a VM used %d targets on average", pairs/len(used))
}

// TestCostOfAPermitDoesNotGrowWithTheTargets guards the CPU time of a permit: the
// broker of a large fleet grants thousands a second. The bound is on the ratio of the
// costs in a large and a small fleet, measured side by side, the best of three runs.
func TestCostOfAPermitDoesNotGrowWithTheTargets(t *testing.T) {
	perRequest := func(targets int) time.Duration {
		best := time.Hour
		for range 3 {
			began := time.Now()
			givePermits(targets, 3000)
			best = min(best, time.Since(began)/3000)
		}
		return best
	}
	few, many := perRequest(54), perRequest(900)
	assert.Assert(t, many < 6*few, "%v per permit with 900 targets, %v with 54", many, few)
}

// TestOwnersChangeAtLittleCost guards the cost of views in which only the owners of
// keys differ: the leader publishes one for every few grants while it assigns keys, and
// one for each VM that starts. The bound is on the ratio to a view with other targets,
// measured side by side, the best of ten runs.
func TestOwnersChangeAtLittleCost(t *testing.T) {
	now := time.Unix(1700000000, 0)
	view := fleetOf(fleet.Service{Name: "s", Keyed: true}, 3000)
	broker := admission.New(admission.Config{Decide: func(admission.Decision) {}, ColdFactor: 1})
	update := func(next fleet.View) time.Duration {
		began := time.Now()
		broker.Update(&next, now)
		return time.Since(began)
	}
	targets, owners := time.Hour, time.Hour
	for range 10 {
		next := *view
		next.Targets = maps.Clone(view.Targets)
		targets = min(targets, update(next))
		owners = min(owners, update(next))
	}
	assert.Assert(t, 10*owners < targets, "%v for a view with the same targets, %v with other targets", owners, targets)
}

// givePermits requests count permits of a service of which a third of the slots is in
// use.
func givePermits(targets, count int) {
	now := time.Unix(1700000000, 0)
	broker := admission.New(admission.Config{Decide: func(admission.Decision) {}, ColdFactor: 1})
	broker.Update(fleetOf(fleet.Service{Name: "s"}, targets), now)
	id := func(i int) admission.ID { return admission.ID{VM: fmt.Sprint("vm", i%300), Number: uint64(i)} }
	for i := range count {
		now = now.Add(100 * time.Microsecond)
		broker.Ask(admission.Request{
			ID: id(i), Service: "s", Class: "c", Domain: []string{"a", "b"}[i%2],
			Aim: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second),
		}, now)
		if old := i - targets*2/3; old >= 0 {
			broker.End(admission.End{ID: id(old), Result: admission.Answered, Took: 80 * time.Millisecond}, now)
		}
	}
}

// BenchmarkPermit measures the cost of one request in a broker.
func BenchmarkPermit(b *testing.B) {
	for _, targets := range []int{54, 300, 900} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) { givePermits(targets, b.N) })
	}
}

// waitingBroker returns a broker of a keyed service with the given number of owners, of which
// all slots are in use, and how many of the requests wait that were asked beyond that.
func waitingBroker(owners, asked int, now time.Time) (broker *admission.Broker, view *fleet.View, waiting int) {
	view = fleetOf(fleet.Service{Name: "s", Keyed: true}, owners)
	waiting = asked + 2*owners
	broker = admission.New(admission.Config{Decide: func(admission.Decision) { waiting-- }, ColdFactor: 1})
	broker.Update(view, now)
	for i := range waiting {
		broker.Ask(admission.Request{
			ID: admission.ID{VM: fmt.Sprint("vm", i%300), Number: uint64(i)}, Service: "s", Class: "c",
			Key: uint16(i % owners * (fleet.Keys / owners)), Aim: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second),
		}, now)
	}
	return broker, view, waiting
}

// TestWaitingCostsLittle guards the CPU time of requests that wait: after all VMs of a large
// fleet have started, as many as the broker lets wait do so for owners of keys. They may take
// a tenth of the 0.8 of a core that the broker of the large deployment has. The best of ten
// runs counts.
func TestWaitingCostsLittle(t *testing.T) {
	const (
		owners, asked, ticks = 433, 10000, 100
		mostPerSecond        = 80 * time.Millisecond
	)
	began := time.Unix(1700000000, 0)
	perSecond := time.Hour
	for range 10 {
		broker, _, _ := waitingBroker(owners, asked, began)
		ticked := time.Now()
		for i := range ticks {
			broker.Tick(began.Add(time.Duration(i) * 10 * time.Millisecond))
		}
		perSecond = min(perSecond, time.Since(ticked))
	}
	assert.Assert(t, perSecond < mostPerSecond, "%v for the ticks of a second", perSecond)
}

// BenchmarkManyWait measures what requests that wait cost the broker with each tick and with
// each view in which only the owners of keys differ.
func BenchmarkManyWait(b *testing.B) {
	now := time.Unix(1700000000, 0)
	for _, asked := range []int{300, 3000} {
		broker, view, waiting := waitingBroker(433, asked, now)
		b.Run(fmt.Sprint("tick/", waiting), func(b *testing.B) {
			for range b.N {
				broker.Tick(now)
			}
		})
		b.Run(fmt.Sprint("view/", waiting), func(b *testing.B) {
			for range b.N {
				next := *view
				broker.Update(&next, now)
			}
		})
	}
}
