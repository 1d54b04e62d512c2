package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// simulation applies loads to a broker in virtual time. A permitted request always runs
// at its target, for its work times the target's slowness.
type simulation struct {
	broker *admission.Broker
	view   *fleet.View
	now    time.Time
	start  time.Time
	random *rand.Rand
	events eventQueue
	number uint64
	// vms is the number of VMs that send requests; 0 means one.
	vms int
	// slowness returns the slowness of a target at a time; nil means 1.
	slowness func(target string, now time.Time) float64
	// fails reports whether a target refuses a request.
	fails func(target string) bool
	// notice, if set, adds what a target says of itself to the end of a request.
	notice func(target string, end *admission.End)
	// inFlight holds the requests that are queued or in flight, done the finished ones.
	inFlight map[uint64]*simulatedRequest
	done     []*simulatedRequest
}

// simulatedRequest is one request and its outcome.
type simulatedRequest struct {
	admission.Request
	work      time.Duration
	arrivedAt time.Time
	startedAt time.Time
	endedAt   time.Time
	target    string
	refused   admission.Reason
	retry     time.Duration
}

func (p *simulatedRequest) inAim() bool { return p.refused == "" && !p.endedAt.After(p.Aim) }

// event is a scheduled action of the simulation.
type event struct {
	at time.Time
	do func()
}

// eventQueue is a heap of scheduled actions, the earliest first.
type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// tickInterval is the interval at which Tick is called.
const tickInterval = 10 * time.Millisecond

func newSimulation(config admission.Config, view *fleet.View) *simulation {
	p := &simulation{
		view: view, now: time.Unix(1700000000, 0), random: rand.New(rand.NewPCG(seed.Value, 1)), inFlight: map[uint64]*simulatedRequest{},
	}
	p.start = p.now
	config.Decide = p.decided
	p.broker = admission.New(config)
	p.broker.Update(view, p.now)
	return p
}

// schedule schedules an action.
func (p *simulation) schedule(t time.Time, do func()) { heap.Push(&p.events, event{t, do}) }

// runUntil runs the simulation with ticks up to a time after the start, and then until
// no actions are left.
func (p *simulation) runUntil(after time.Duration) {
	end := p.start.Add(after)
	var tick func()
	tick = func() {
		p.broker.Tick(p.now)
		if p.now.Before(end) {
			p.schedule(p.now.Add(tickInterval), tick)
		}
	}
	p.schedule(p.now, tick)
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
}

// load describes requests that arrive as a Poisson process at perSecond requests per second.
type load struct {
	service   string
	class     string
	perSecond float64
	work      time.Duration
	aim       time.Duration
	deadline  time.Duration
	priority  int
	domain    string
	large     bool
	key       func(*rand.Rand) uint16
	team      string
}

// scheduleLoad schedules the arrivals of a load between two times after the start.
func (p *simulation) scheduleLoad(l load, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(p.random.ExpFloat64() / l.perSecond * float64(time.Second))
		if at > to {
			return
		}
		p.schedule(p.start.Add(at), func() { p.ask(l) })
	}
}

// ask asks for a permit for a request of a load.
func (p *simulation) ask(l load) *simulatedRequest { return p.askFor(l, false) }

// askRepeat asks for a permit for a request that has been sent before.
func (p *simulation) askRepeat(l load) *simulatedRequest { return p.askFor(l, true) }

func (p *simulation) askFor(l load, repeat bool) *simulatedRequest {
	p.number++
	r := &simulatedRequest{
		arrivedAt: p.now, work: time.Duration((0.5 + p.random.Float64()) * float64(l.work)),
		Request: admission.Request{
			ID: admission.ID{VM: fmt.Sprint("vm", p.random.IntN(max(p.vms, 1))), Number: p.number}, Service: l.service, Class: l.class, Domain: l.domain,
			Priority: l.priority, Aim: p.now.Add(l.aim), Deadline: p.now.Add(l.deadline), Large: l.large, Repeat: repeat,
			Team: l.team,
		},
	}
	if l.key != nil {
		r.Key = l.key(p.random)
	}
	p.inFlight[p.number] = r
	p.broker.Ask(r.Request, p.now)
	return r
}

// decided runs a permitted request at its target and finishes a refused one.
func (p *simulation) decided(d admission.Decision) {
	r := p.inFlight[d.ID.Number]
	if d.Refused != "" {
		r.refused, r.retry, r.endedAt = d.Refused, d.RetryAfter, p.now
		p.finish(r)
		return
	}
	r.target, r.startedAt = d.Target.ID, p.now
	took := r.work
	if p.slowness != nil {
		took = time.Duration(float64(took) * p.slowness(r.target, p.now))
	}
	result := admission.Answered
	if p.fails != nil && p.fails(r.target) {
		result, took = admission.NotRun, time.Millisecond
	}
	p.schedule(p.now.Add(took), func() {
		r.endedAt = p.now
		end := admission.End{ID: d.ID, Result: result, Took: took}
		if p.notice != nil {
			p.notice(r.target, &end)
		}
		p.broker.End(end, p.now)
		p.finish(r)
	})
}

func (p *simulation) finish(r *simulatedRequest) {
	delete(p.inFlight, r.ID.Number)
	p.done = append(p.done, r)
}

// share returns the share of the finished requests selected by of for which a
// condition holds; NaN if none are selected.
func (p *simulation) share(of func(*simulatedRequest) bool, holds func(*simulatedRequest) bool) float64 {
	all, found := 0, 0
	for _, r := range p.done {
		if !of(r) {
			continue
		}
		all++
		if holds(r) {
			found++
		}
	}
	if all == 0 {
		return math.NaN()
	}
	return float64(found) / float64(all)
}

func anyRequest(*simulatedRequest) bool { return true }

// maxStartsWithin returns the largest number of requests that a target started in any
// window before a time.
func (p *simulation) maxStartsWithin(target string, window time.Duration, until time.Time) int {
	var starts []time.Time
	for _, r := range p.done {
		if r.target == target && r.startedAt.Before(until) {
			starts = append(starts, r.startedAt)
		}
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	most, first := 0, 0
	for i := range starts {
		for starts[i].Sub(starts[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleetOf returns a view with count targets of two slots each for one service, spread
// over two failure domains. The targets of a keyed service own equal slices.
func fleetOf(service fleet.Service, count int) *fleet.View {
	config := &fleet.Config{Version: 1, Services: []fleet.Service{service}}
	config.Index()
	view := &fleet.View{Config: config, Targets: map[string]*fleet.Target{}, Slices: map[string][]fleet.Slice{}}
	for i := range count {
		id := fmt.Sprintf("t%d", i)
		view.Targets[id] = &fleet.Target{
			Life: fleet.Life{ID: id, Born: 1}, Service: service.Name, FailureDomain: []string{"a", "b"}[i%2], Slots: 2,
		}
		if service.Keyed {
			width := fleet.Keys / count
			view.Slices[service.Name] = append(view.Slices[service.Name], fleet.Slice{
				First: uint16(i * width), Last: uint16((i+1)*width - 1), Owner: view.Targets[id].Life, Fence: 1, Ready: true,
			})
		}
	}
	return view
}

var budget = admission.Budget{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second}

func defaultConfig() admission.Config {
	return admission.Config{Budget: budget, ColdFactor: 1.5}
}
