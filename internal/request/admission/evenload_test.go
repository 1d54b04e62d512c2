package admission_test

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/zeebo/xxh3"
)

// The deployment that the candidates of docs/design/even-load.md are compared on.
const (
	evenVMs      = 114
	evenWork     = 200 * time.Millisecond
	evenAim      = 500 * time.Millisecond
	evenDeadline = 1500 * time.Millisecond
	// evenWaitLimit is how long a simple candidate lets a request wait at its VM.
	evenWaitLimit = evenAim - 3*evenWork/2
	slowPeriod    = 400 * time.Millisecond
	slowFactor    = 3
	slowShare     = 0.2
	// evenSlots and evenPlaces are the slots of a target and the places in its queue.
	evenSlots  = 4
	evenPlaces = 4
	// evenRequests is the number of requests that a run plays.
	evenRequests = 20000
)

// evenWorld plays a load to VMs that decide by themselves, or in part by one broker that
// sees only what it permits itself. A target resets what exceeds its slots and its queue.
type evenWorld struct {
	now, start time.Time
	random     *rand.Rand
	events     eventQueue
	targets    []*evenTarget
	vms        []*evenVM
	broker     decider
	// localShare is the share of periods of 500 ms in which a VM decides by itself.
	localShare float64
	keyed      bool
	requests   map[admission.ID]*evenRequest
	number     uint64
	counts     map[string]int
	ratios     []float64
	// most is the largest number of requests with a permit seen at a target.
	most int
	ages []float64
}

type evenTarget struct {
	slots, places int
	speed         float64
	phase         time.Duration
	slowSeed      uint64
	running       int
	queue         []*evenRequest
}

type evenRequest struct {
	admission.Request
	vm     *evenVM
	target int
	sent   bool
	// owner is the target that owns the key, if the service is keyed.
	owner int
	by    decider
	work  float64
}

// evenVM is a VM with what it knows of each target.
type evenVM struct {
	world   *evenWorld
	index   int
	name    string
	phase   time.Duration
	own     []int
	reports []evenReport
	local   decider
	loads   *admission.Loads
}

type evenReport struct {
	at     time.Time
	others int
}

func life(target int) fleet.Life { return fleet.Life{ID: fmt.Sprintf("t%d", target), Born: 1} }

// decider permits requests of one VM, or of all of them.
type decider interface {
	ask(*evenRequest)
	end(*evenRequest, admission.End)
	tick()
}

func newEvenWorld(targets, slots, places int, localShare float64) *evenWorld {
	w := &evenWorld{
		now: time.Unix(1700000000, 0), random: rand.New(rand.NewPCG(seed.Value, 6)), localShare: localShare,
		requests: map[admission.ID]*evenRequest{}, counts: map[string]int{},
	}
	w.start = w.now
	for range targets {
		w.targets = append(w.targets, &evenTarget{
			slots: slots, places: places, speed: 0.5 + w.random.Float64(), slowSeed: w.random.Uint64(),
			phase: time.Duration(w.random.Int64N(int64(slowPeriod))),
		})
	}
	for i := range evenVMs {
		w.vms = append(w.vms, &evenVM{
			world: w, index: i, name: fmt.Sprint("vm", i), phase: time.Duration(w.random.Int64N(int64(500 * time.Millisecond))),
			own: make([]int, targets), reports: make([]evenReport, targets),
		})
	}
	return w
}

// capacity returns the requests per second that the targets can run.
func (w *evenWorld) capacity() float64 {
	sum := 0.0
	for _, t := range w.targets {
		sum += float64(t.slots) * t.speed
	}
	return sum / evenWork.Seconds() / (1 + slowShare*(slowFactor-1))
}

func (w *evenWorld) schedule(at time.Time, do func()) { heap.Push(&w.events, event{at, do}) }

func (w *evenWorld) run(load float64, length time.Duration) {
	rate := load * w.capacity()
	for at := time.Duration(0); at < length; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		w.schedule(w.start.Add(at), w.arrive)
	}
	for at := time.Duration(0); at < length+evenDeadline; at += tickInterval {
		w.schedule(w.start.Add(at), func() {
			for _, v := range w.vms {
				v.local.tick()
			}
			w.broker.tick()
		})
	}
	for at := 2 * time.Second; at < length; at += 50 * time.Millisecond {
		w.schedule(w.start.Add(at), w.sample)
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
}

func (w *evenWorld) sample() {
	most, sum := 0.0, 0.0
	for _, t := range w.targets {
		occupied := float64(t.running + len(t.queue))
		most, sum = max(most, occupied), sum+occupied
	}
	// A permit ends a while after the deadline, although the target may go on.
	permitted := make([]int, len(w.targets))
	for _, r := range w.requests {
		if r.sent && w.now.Before(r.Deadline.Add(500*time.Millisecond)) {
			permitted[r.target]++
		}
	}
	w.most = max(w.most, slices.Max(permitted))
	if sum > 0 {
		w.ratios = append(w.ratios, most*float64(len(w.targets))/sum)
	}
}

func (w *evenWorld) arrive() {
	v := w.vms[w.random.IntN(len(w.vms))]
	w.number++
	r := &evenRequest{
		vm: v, work: evenWork.Seconds() * (0.5 + w.random.Float64()),
		Request: admission.Request{
			ID: admission.ID{VM: v.name, Number: w.number}, Service: "s", Class: "c",
			Aim: w.now.Add(evenAim), Deadline: w.now.Add(evenDeadline),
		},
	}
	r.owner = w.random.IntN(len(w.targets))
	r.Key = uint16(r.owner * (fleet.Keys / len(w.targets)))
	w.requests[r.ID] = r
	r.by = w.broker
	if v.isLocal() {
		r.by = v.local
	}
	r.by.ask(r)
}

// isLocal reports whether the VM decides by itself at the moment.
func (v *evenVM) isLocal() bool {
	period := uint64(v.world.now.Sub(v.world.start)+v.phase) / uint64(500*time.Millisecond)
	draw := xxh3.HashString(fmt.Sprint(v.name, period, seed.Value))
	return float64(draw>>11)/(1<<53) < v.world.localShare
}

// decided sends a permitted request and counts a refused one.
func (w *evenWorld) decided(r *evenRequest, target int, refused bool) {
	if refused {
		w.counts["refused"]++
		delete(w.requests, r.ID)
		return
	}
	r.target, r.sent = target, true
	r.vm.own[target]++
	if r.by == w.broker && r.vm.loads != nil {
		r.vm.loads.Started(life(target))
	}
	if report := r.vm.reports[target]; r.by != w.broker && !report.at.IsZero() {
		w.ages = append(w.ages, w.now.Sub(report.at).Seconds())
	}
	t := w.targets[target]
	switch {
	case t.running < t.slots:
		w.execute(r)
	case len(t.queue) < t.places:
		t.queue = append(t.queue, r)
	default:
		w.counts["reset"]++
		w.schedule(w.now.Add(time.Millisecond), func() { w.finish(r, admission.End{Result: admission.Broken}) })
	}
}

func (w *evenWorld) execute(r *evenRequest) {
	t := w.targets[r.target]
	t.running++
	took := r.work / t.speed
	period := uint64(w.now.Sub(w.start)+t.phase) / uint64(slowPeriod)
	if rand.New(rand.NewPCG(t.slowSeed, period)).Float64() < slowShare {
		took *= slowFactor
	}
	sent := w.now
	w.schedule(w.now.Add(time.Duration(took*float64(time.Second))), func() {
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			w.execute(next)
		}
		switch {
		case !w.now.After(r.Aim):
			w.counts["aim"]++
		case !w.now.After(r.Deadline):
			w.counts["late"]++
		default:
			w.counts["missed"]++
		}
		w.finish(r, admission.End{
			Result: admission.Answered, Took: w.now.Sub(sent), HasLoad: true,
			Load: fleet.Load{Running: t.running, Waiting: len(t.queue), Slots: t.slots},
		})
	})
}

func (w *evenWorld) finish(r *evenRequest, end admission.End) {
	v := r.vm
	v.own[r.target]--
	if end.HasLoad {
		v.reports[r.target] = evenReport{w.now, max(end.Load.Running+end.Load.Waiting-v.own[r.target], 0)}
	}
	if r.by == w.broker && v.loads != nil {
		v.loads.Ended(life(r.target))
		observed, _ := v.local.(*real).broker.Observe("s", life(r.target).ID)
		if end.HasLoad {
			v.loads.Report(life(r.target), end.Load, observed.Running, w.now)
		} else {
			v.loads.Full(life(r.target), evenSlots, observed.Running, w.now)
		}
	}
	end.ID = r.ID
	delete(w.requests, r.ID)
	r.by.end(r, end)
}

// simple is a candidate that picks a target by a function, and lets requests wait at the VM
// for as long as they can meet their aim.
type simple struct {
	world   *evenWorld
	pick    func(*evenRequest) int
	waiting []*evenRequest
}

func (s *simple) ask(r *evenRequest) {
	s.waiting = append(s.waiting, r)
	s.tick()
}
func (s *simple) end(*evenRequest, admission.End) { s.tick() }
func (s *simple) tick() {
	kept := s.waiting[:0]
	blocked := false
	for _, r := range s.waiting {
		if !blocked {
			if target := s.pick(r); target >= 0 {
				s.world.decided(r, target, false)
				continue
			}
			blocked = !s.world.keyed
		}
		if s.world.now.Sub(r.Aim.Add(-evenAim)) >= evenWaitLimit {
			s.world.decided(r, 0, true)
			continue
		}
		kept = append(kept, r)
	}
	s.waiting = kept
}

// candidates are the ways of local decisions that are compared.
var candidates = map[string]func(*evenVM) func(*evenRequest) int{
	"two choices, reports": func(v *evenVM) func(*evenRequest) int {
		return v.twoChoices(func(i int) float64 { return float64(v.reports[i].others) }, 0)
	},
	"two choices, corrected": func(v *evenVM) func(*evenRequest) int {
		return v.twoChoices(v.corrected, 0)
	},
	"two choices, corrected, only with room": func(v *evenVM) func(*evenRequest) int {
		return v.twoChoices(v.corrected, 1)
	},
	"fixed subset of 8": func(v *evenVM) func(*evenRequest) int {
		subset := v.rendezvous(8)
		return func(*evenRequest) int {
			best := subset[0]
			for _, i := range subset {
				if v.corrected(i) < v.corrected(best) {
					best = i
				}
			}
			return best
		}
	},
	"subset of 8, room 1.0":  func(v *evenVM) func(*evenRequest) int { return v.room(8, 1) },
	"subset of 8, room 1.25": func(v *evenVM) func(*evenRequest) int { return v.room(8, 1.25) },
	"subset of 8, room 1.5":  func(v *evenVM) func(*evenRequest) int { return v.room(8, 1.5) },
	"subset of 8, room 1.75": func(v *evenVM) func(*evenRequest) int { return v.room(8, 1.75) },
	"random": func(v *evenVM) func(*evenRequest) int {
		return func(*evenRequest) int { return v.world.random.IntN(len(v.own)) }
	},
	"random delay": func(v *evenVM) func(*evenRequest) int {
		// Each request is held for up to 50 ms; the choice is made at the end of it.
		inner := v.twoChoices(v.corrected, 0)
		return func(r *evenRequest) int {
			held := time.Duration(xxh3.HashString(fmt.Sprint(r.ID))%50) * time.Millisecond
			if v.world.now.Before(r.Aim.Add(held - evenAim)) {
				return -1
			}
			return inner(r)
		}
	},
	"shares of slots": func(v *evenVM) func(*evenRequest) int {
		shares := v.shares(func(t *evenTarget) int { return t.slots })
		return v.byShares(shares, nil)
	},
	"shares of slots and queue": func(v *evenVM) func(*evenRequest) int {
		shares := v.shares(func(t *evenTarget) int { return t.slots + t.places })
		return v.byShares(shares, nil)
	},
	"shares of slots, then reports": func(v *evenVM) func(*evenRequest) int {
		shares := v.shares(func(t *evenTarget) int { return t.slots })
		return v.byShares(shares, v.twoChoices(v.corrected, 1))
	},
	"reports, then shares of slots": func(v *evenVM) func(*evenRequest) int {
		shares := v.byShares(v.shares(func(t *evenTarget) int { return t.slots }), nil)
		first := v.twoChoices(v.corrected, 1)
		return func(r *evenRequest) int {
			if i := first(r); i >= 0 {
				return i
			}
			return shares(r)
		}
	},
}

// room picks the target of a fixed subset, or the owner of the key, with the lowest
// estimate, if that is below a multiple of its slots.
func (v *evenVM) room(size int, bound float64) func(*evenRequest) int {
	subset := v.rendezvous(size)
	return func(r *evenRequest) int {
		among := subset
		if v.world.keyed {
			among = []int{r.owner}
		}
		best, estimate := -1, 0.0
		for _, i := range among {
			if e := v.corrected(i); e+1 <= bound*float64(v.world.targets[i].slots) && (best < 0 || e < estimate) {
				best, estimate = i, e
			}
		}
		return best
	}
}

// twoChoices picks the better of two random targets; with room set, among those only that
// have a free slot by the estimate, in up to eight draws.
func (v *evenVM) twoChoices(estimate func(int) float64, room float64) func(*evenRequest) int {
	return func(*evenRequest) int {
		best, draws := -1, 2
		if room > 0 {
			draws = 8
		}
		found := 0
		for range draws {
			i := v.world.random.IntN(len(v.own))
			if room > 0 && estimate(i)+room > float64(v.world.targets[i].slots) {
				continue
			}
			if best < 0 || estimate(i) < estimate(best) {
				best = i
			}
			if found++; found == 2 {
				break
			}
		}
		return best
	}
}

// corrected estimates the requests at a target: those of this VM, and those of others by the
// last report, which tends to the mean of all reports with its age.
func (v *evenVM) corrected(i int) float64 {
	sum, weights := 0.0, 0.0
	for j := range v.reports {
		if !v.reports[j].at.IsZero() {
			weight := math.Exp(-v.world.now.Sub(v.reports[j].at).Seconds() / 3)
			sum, weights = sum+weight*float64(v.reports[j].others), weights+weight
		}
	}
	mean := (sum + 0.3*0.5*float64(v.world.targets[i].slots)) / (weights + 0.3)
	if v.reports[i].at.IsZero() {
		return mean + float64(v.own[i])
	}
	keep := math.Exp(-v.world.now.Sub(v.reports[i].at).Seconds() / 0.4)
	return keep*float64(v.reports[i].others) + (1-keep)*mean + float64(v.own[i])
}

// rendezvous returns the targets that rank first for a VM.
func (v *evenVM) rendezvous(count int) []int {
	order := make([]int, len(v.own))
	rank := make([]uint64, len(v.own))
	for i := range order {
		order[i], rank[i] = i, xxh3.HashString(fmt.Sprint(v.name, "/", i))
	}
	sort.Slice(order, func(a, b int) bool { return rank[order[a]] < rank[order[b]] })
	return order[:count]
}

// shares returns the slots of each target that belong to the VM: each goes to one VM, dealt
// in turn so that all VMs have as many, give or take one.
func (v *evenVM) shares(places func(*evenTarget) int) []int {
	shares, dealt := make([]int, len(v.own)), 0
	for round := 0; ; round++ {
		any := false
		for i, t := range v.world.targets {
			if round < places(t) {
				any = true
				if dealt%evenVMs == v.index {
					shares[i]++
				}
				dealt++
			}
		}
		if !any {
			return shares
		}
	}
}

func (v *evenVM) byShares(shares []int, otherwise func(*evenRequest) int) func(*evenRequest) int {
	return func(r *evenRequest) int {
		best := -1
		for i, share := range shares {
			if v.own[i] < share && (best < 0 || v.corrected(i) < v.corrected(best)) {
				best = i
			}
		}
		if best < 0 && otherwise != nil {
			return otherwise(r)
		}
		return best
	}
}

// real is the broker of package admission, for all VMs or for one.
type real struct {
	world  *evenWorld
	broker *admission.Broker
}

func newReal(w *evenWorld, config admission.Config) decider {
	p := &real{world: w}
	config.Decide = func(d admission.Decision) {
		var target int
		_, _ = fmt.Sscanf(d.Target.ID, "t%d", &target)
		w.decided(w.requests[d.ID], target, d.Refused != "")
	}
	p.broker = admission.New(config)
	view := fleetOf(fleet.Service{Name: "s", Keyed: w.keyed}, len(w.targets))
	view.Members = map[string]fleet.Member{}
	for _, v := range w.vms {
		view.Members[v.name] = fleet.Member{VM: v.name}
	}
	for _, t := range view.Targets {
		t.Slots, t.FailureDomain = w.targets[0].slots, ""
	}
	p.broker.Update(view, w.now)
	return p
}
func (p *real) ask(r *evenRequest)                  { p.broker.Ask(r.Request, p.world.now) }
func (p *real) end(_ *evenRequest, e admission.End) { p.broker.End(e, p.world.now) }
func (p *real) tick()                               { p.broker.Tick(p.world.now) }

var allCandidates = flag.Bool("candidates", false, "compare all candidates of docs/design/even-load.md, not only the present way and the former one")

// TestEvenLoad guards against VMs without a broker that overload some targets while others
// are idle: what the VMs together send resets fewer requests and serves more within the aim
// than if each went by its own requests alone, and no target gets more than its slots where
// these are shared out. It logs the figures of docs/design/even-load.md.
func TestEvenLoad(t *testing.T) {
	names := []string{"built", "own requests"}
	if *allCandidates {
		names = append(names, slices.Sorted(maps.Keys(candidates))...)
	}
	for _, fleet := range []struct {
		targets int
		keyed   bool
	}{{185, false}, {19, false}, {185, true}} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			for _, local := range []float64{1, 0.2} {
				if local < 1 && (load != 0.9 || !*allCandidates) {
					continue
				}
				shares := map[string]func(string) float64{}
				for _, name := range names {
					if fleet.keyed && candidates[name] != nil && !strings.Contains(name, "room") {
						continue
					}
					w := newEvenWorld(fleet.targets, evenSlots, evenPlaces, local)
					w.keyed = fleet.keyed
					w.decideBy(name)
					w.run(load, time.Duration(evenRequests/w.capacity()*float64(time.Second)))
					shares[name] = w.share
					t.Logf("%3d targets, keyed %5v, local %.1f, load %.1f, %-30s %s", fleet.targets, fleet.keyed, local, load, name, w)
					assert.Check(t, name != "built" || local < 1 || fleet.keyed || fleet.targets < 185 || w.most <= evenSlots,
						"%d requests at a target of %d slots", w.most, evenSlots)
				}
				built, former := shares["built"], shares["own requests"]
				assert.Check(t, built("reset") <= former("reset")+0.5, "load %.1f: %.1f%% and %.1f%% reset", load, built("reset"), former("reset"))
				assert.Check(t, fleet.keyed || built("aim") > former("aim")-3, "load %.1f: %.1f%% and %.1f%% within the aim", load, built("aim"), former("aim"))
			}
		}
	}
}

// decideBy sets who decides: the broker, and each VM by a candidate.
func (w *evenWorld) decideBy(name string) {
	central := defaultConfig()
	central.VM = "broker"
	w.broker = newReal(w, central)
	for _, v := range w.vms {
		if pick := candidates[name]; pick != nil {
			v.local = &simple{world: w, pick: pick(v)}
			continue
		}
		config := defaultConfig()
		config.Cautious, config.VM = true, v.name
		if name == "built" {
			v.loads = admission.NewLoads()
			config.Loads = v.loads
		}
		v.local = newReal(w, config)
	}
}

// share returns the percentage of requests with an outcome.
func (w *evenWorld) share(outcome string) float64 {
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return 100 * float64(w.counts[outcome]) / float64(total)
}

// String returns what callers got and how even the load was.
func (w *evenWorld) String() string {
	sum := 0.0
	for _, ratio := range w.ratios {
		sum += ratio
	}
	age := 0.0
	if sort.Float64s(w.ages); len(w.ages) > 0 {
		age = w.ages[len(w.ages)/2]
	}
	return fmt.Sprintf("aim %4.1f late %4.1f missed %3.1f refused %4.1f reset %4.1f busiest/mean %.2f age %.2f s",
		w.share("aim"), w.share("late"), w.share("missed"), w.share("refused"), w.share("reset"), sum/float64(len(w.ratios)), age)
}
