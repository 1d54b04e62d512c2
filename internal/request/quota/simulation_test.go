package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation plays VMs, teams and brokers on a virtual clock.
type simulation struct {
	rand   *rand.Rand
	now    time.Duration
	queue  events
	rule   Rule
	vms    []*simulatedVM
	teams  []*simulatedTeam
	number uint64
	// enforce is unset to play a fleet without quotas.
	enforce bool
	ends    time.Duration
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }

type simulatedVM struct {
	index  int
	name   string
	share  *Share
	ledger *Ledger[uint64]
	// leader is the VM that this one follows. group is the partition that it is in, slow
	// the extra delay of its messages.
	leader       *simulatedVM
	group        int
	dead         bool
	slow         time.Duration
	backoffUntil time.Duration
	heardAt      time.Duration
	// toldAt is when this leader last told all VMs before a heartbeat was due.
	toldAt time.Duration
	// lowered is set once this VM has the second configuration.
	lowered bool
}

type simulatedTeam struct {
	name                 string
	limit, lowered       Limit
	demand               func(at time.Duration) float64
	runs                 []time.Duration
	pending              int
	asked, spent, unsure int
	// below counts the refusals with 429 while fewer requests than the limit ran within the
	// window or were on the way, unsureBelow those with 503.
	below, unsureBelow int
}

func newSimulation(seed uint64, vms int) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), rule: Rule{Window: 5 * time.Second, Over: 0.1, Slack: 20}, enforce: true, ends: 60 * time.Second}
	names := []string{}
	for i := range vms {
		vm := &simulatedVM{index: i, name: fmt.Sprintf("vm%d", i), share: NewShare(s.rule, fmt.Sprintf("vm%d", i), s.clock())}
		if i%9 == 8 {
			vm.slow = 25 * time.Millisecond
		}
		s.vms, names = append(s.vms, vm), append(names, vm.name)
	}
	s.vms[0].ledger = NewLedger[uint64](s.rule, State{}, names, s.clock())
	for _, vm := range s.vms {
		vm.leader = s.vms[0]
	}
	return s
}

func (s *simulation) clock() time.Time { return time.Unix(1e9, 0).Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.queue, event{s.now + d, int(s.number), do})
}

// travel returns the time that a message of a VM takes.
func (s *simulation) travel(vm *simulatedVM) time.Duration {
	return 200*time.Microsecond + time.Duration(s.rand.ExpFloat64()*float64(time.Millisecond+vm.slow))
}

func (s *simulation) connected(a, b *simulatedVM) bool {
	return a.group == b.group && !a.dead && !b.dead
}

func (s *simulation) limit(vm *simulatedVM, t *simulatedTeam) Limit {
	if vm.lowered {
		return t.lowered
	}
	return t.limit
}

// heartbeat sends the state of a leader to a VM each 0.5 s, and the report back.
func (s *simulation) heartbeat(vm *simulatedVM) {
	s.tell(vm)
	if leader := vm.leader; s.connected(vm, leader) && leader.ledger != nil {
		s.report(vm, leader, vm.share.AllForeign(s.clock()))
	}
	s.after(500*time.Millisecond, func() { s.heartbeat(vm) })
}

// tell sends the state of a leader to a VM.
func (s *simulation) tell(vm *simulatedVM) {
	leader := vm.leader
	if s.connected(vm, leader) && leader.ledger != nil {
		state := leader.ledger.State(func(team string) (Limit, bool) {
			for _, t := range s.teams {
				if t.name == team {
					return s.limit(leader, t), true
				}
			}
			return Limit{}, false
		}, s.clock())
		s.after(s.travel(vm), func() {
			if vm.leader == leader {
				vm.share.Heard(state, s.clock())
				vm.heardAt = s.now
			}
		})
	}
}

// lead makes a VM the leader of its group.
func (s *simulation) lead(vm *simulatedVM) {
	names := []string{}
	for _, other := range s.vms {
		if !other.dead || other == vm.leader {
			names = append(names, other.name)
		}
	}
	vm.ledger = NewLedger[uint64](s.rule, vm.share.State(), names, s.clock())
	for _, other := range s.vms {
		if other.group == vm.group && !other.dead {
			s.after(time.Duration(s.rand.Float64()*float64(250*time.Millisecond)), func() { s.follow(other, vm) })
		}
	}
}

func (s *simulation) follow(vm, leader *simulatedVM) {
	if !s.connected(vm, leader) || vm.leader == leader {
		return
	}
	if vm != leader {
		vm.ledger = nil
	}
	vm.leader = leader
	vm.share.BrokerChanged(s.clock())
	foreign := vm.share.AllForeign(s.clock())
	s.report(vm, leader, foreign)
}

func (s *simulation) report(vm, leader *simulatedVM, foreign map[string]int) {
	s.after(s.travel(vm), func() {
		if leader.ledger != nil && s.connected(vm, leader) && vm.leader == leader {
			leader.ledger.Report(vm.name, foreign, s.clock())
		}
	})
}

// arrive plays the requests of a team.
func (s *simulation) arrive(t *simulatedTeam) {
	rate := t.demand(s.now)
	if rate <= 0 {
		s.after(100*time.Millisecond, func() { s.arrive(t) })
		return
	}
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.request(t, s.vms[s.rand.IntN(len(s.vms))])
		s.arrive(t)
	})
}

func (s *simulation) request(t *simulatedTeam, vm *simulatedVM) {
	if vm.dead {
		return
	}
	t.asked++
	s.number++
	number := s.number
	if !s.enforce {
		s.send(t, vm, number, nil)
		return
	}
	if s.now < vm.backoffUntil {
		s.decideLocally(t, vm, number)
		return
	}
	s.askBroker(t, vm, number, s.now)
}

// askBroker asks the broker, and decides locally after 60 ms without a reply, or asks
// again if the share is spent and the broker lives.
func (s *simulation) askBroker(t *simulatedTeam, vm *simulatedVM, number uint64, since time.Duration) {
	leader, ledger := vm.leader, vm.leader.ledger
	decided, foreign := false, vm.share.Foreign(t.name, s.clock())
	s.after(s.travel(vm), func() {
		if !s.connected(vm, leader) || leader.ledger != ledger || ledger == nil {
			return
		}
		after, ok := ledger.Ask(number, vm.name, t.name, s.limit(leader, t), foreign, s.clock())
		if s.now-leader.toldAt >= 100*time.Millisecond && ledger.Grown() {
			leader.toldAt = s.now
			for _, other := range s.vms {
				if other.leader == leader {
					s.tell(other)
				}
			}
		}
		wait := time.Duration(0)
		if ok && s.rand.IntN(10) == 0 {
			wait = time.Duration(s.rand.Float64() * float64(40*time.Millisecond))
		}
		s.after(wait, func() {
			ledger.Decided(number, true, s.clock())
			s.after(s.travel(vm), func() {
				switch {
				case !s.connected(vm, leader):
				case decided:
					s.after(s.travel(vm), func() { ledger.End(number, false, 0, s.clock()) })
				case !ok:
					decided = true
					s.refuse(t, vm, after, true)
				default:
					decided = true
					vm.share.Permitted(number, t.name, s.clock())
					s.send(t, vm, number, ledger)
				}
			})
		})
	})
	s.after(60*time.Millisecond, func() {
		if decided {
			return
		}
		alive := s.now-vm.heardAt < 800*time.Millisecond
		if alive && vm.share.Spent(t.name, s.limit(vm, t), s.clock()) && s.now-since < 500*time.Millisecond {
			s.after(100*time.Millisecond, func() {
				if !decided {
					decided = true
					s.fallBack(t, vm, number)
				}
			})
			return
		}
		decided = true
		s.fallBack(t, vm, number)
	})
}

func (s *simulation) fallBack(t *simulatedTeam, vm *simulatedVM, number uint64) {
	vm.backoffUntil = s.now + 500*time.Millisecond
	s.number++
	s.decideLocally(t, vm, s.number)
}

func (s *simulation) decideLocally(t *simulatedTeam, vm *simulatedVM, number uint64) {
	limit := s.limit(vm, t)
	if s.now-vm.heardAt < 800*time.Millisecond && vm.share.Spent(t.name, limit, s.clock()) {
		vm.backoffUntil = 0
		s.askBroker(t, vm, number, s.now)
		return
	}
	after, reached, ok := vm.share.Ask(number, t.name, limit, s.clock())
	if !ok {
		s.refuse(t, vm, after, reached)
		return
	}
	vm.share.Decided(number, true, s.clock())
	s.send(t, vm, number, nil)
}

func (s *simulation) refuse(t *simulatedTeam, vm *simulatedVM, after time.Duration, reached bool) {
	running := t.pending + len(t.runs) - sort.Search(len(t.runs), func(i int) bool { return t.runs[i] > s.now-s.rule.Window })
	below := float64(running+1) <= s.rule.limit(s.limit(vm, t))
	switch {
	case reached:
		t.spent++
		if below {
			t.below++
		}
	default:
		t.unsure++
		if below {
			t.unsureBelow++
		}
	}
}

// send sends a request to a target. One in 30 is refused there as not run.
func (s *simulation) send(t *simulatedTeam, vm *simulatedVM, number uint64, ledger *Ledger[uint64]) {
	sentAt, runs := s.now, s.rand.IntN(30) > 0
	t.pending++
	s.after(s.travel(vm), func() {
		t.pending--
		service := time.Millisecond
		if runs {
			t.runs = append(t.runs, s.now)
			service = time.Duration(s.rand.ExpFloat64() * float64(120*time.Millisecond))
		}
		s.after(service, func() {
			took := s.now - sentAt
			vm.share.End(number, runs, took, s.clock())
			if leader := vm.leader; ledger != nil {
				s.after(s.travel(vm), func() {
					if s.connected(vm, leader) {
						ledger.End(number, runs, took, s.clock())
					}
				})
			}
		})
	})
}

func (s *simulation) run() {
	for _, vm := range s.vms {
		s.after(time.Duration(s.rand.Float64()*float64(500*time.Millisecond)), func() { s.heartbeat(vm) })
	}
	for _, t := range s.teams {
		s.arrive(t)
	}
	for len(s.queue) > 0 && s.queue[0].at < s.ends {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
}

// busiest returns the largest number of a team's runs in any sliding window that starts in
// a range of times.
func (t *simulatedTeam) busiest(window, from, to time.Duration) int {
	most, first := 0, 0
	for last, at := range t.runs {
		for t.runs[first] <= at-window {
			first++
		}
		if at-window >= from && t.runs[first] < to {
			most = max(most, last-first+1)
		}
	}
	return most
}

// addTeams adds 74 teams. Every sixth sends ten times its limit, one of these in bursts of
// its whole limit, and every sixth goes close to its limit; the others use 60% of it.
func (s *simulation) addTeams() {
	for i := range 74 {
		rate := math.Exp(math.Log(4) + s.rand.Float64()*math.Log(100))
		t := &simulatedTeam{name: fmt.Sprintf("team%d", i), limit: Limit{Rate: rate, Burst: rate}}
		t.lowered = t.limit
		switch i % 6 {
		case 0:
			phase := time.Duration(i) * 137 * time.Millisecond
			t.demand = func(at time.Duration) float64 {
				if (at+phase)%(20*time.Second) < 12*time.Second {
					return 10 * rate
				}
				return rate * 0.7
			}
		case 1:
			t.demand = func(time.Duration) float64 { return rate }
		default:
			t.demand = func(time.Duration) float64 { return rate * 0.6 }
		}
		s.teams = append(s.teams, t)
	}
	bursts := s.teams[6]
	bursts.limit = Limit{Rate: 100, Burst: 100}
	bursts.lowered, bursts.demand = bursts.limit, func(at time.Duration) float64 {
		if at%(5*time.Second) < 20*time.Millisecond {
			return 30000
		}
		return 0
	}
}

func (s *simulation) at(at time.Duration, do func()) { s.after(at-s.now, do) }

// cut moves VMs to another partition for a time.
func (s *simulation) cut(vms []*simulatedVM, from, until time.Duration) {
	s.at(from, func() {
		for _, vm := range vms {
			vm.group = 1
		}
	})
	s.at(until, func() {
		for _, vm := range vms {
			vm.group = 0
		}
	})
}

// replace ends a leader at a time, and makes another VM lead after a pause.
func (s *simulation) replace(former, next *simulatedVM, at, pause time.Duration) {
	s.at(at, func() { former.dead = true })
	s.at(at+pause, func() { s.lead(next) })
}

// scenarios are the failures that the rule has to withstand.
var scenarios = map[string]func(s *simulation){
	"calm": func(*simulation) {},
	"losses of the broker": func(s *simulation) {
		s.replace(s.vms[0], s.vms[1], 14*time.Second, 1500*time.Millisecond)
		s.replace(s.vms[1], s.vms[2], 16500*time.Millisecond, 1500*time.Millisecond)
		s.replace(s.vms[2], s.vms[3], 33*time.Second, 4*time.Second)
		s.replace(s.vms[3], s.vms[4], 50*time.Second, 2*time.Second)
	},
	"VMs cut off": func(s *simulation) {
		s.cut(s.vms[10:25], 13*time.Second, 22*time.Second)
		s.cut(s.vms[30:31], 24*time.Second, 50*time.Second)
		s.cut(s.vms[40:45], 33*time.Second, 33500*time.Millisecond)
	},
	"halves without a second leader": func(s *simulation) { s.cut(s.vms[50:], 13*time.Second, 28*time.Second) },
	"halves with two leaders": func(s *simulation) {
		s.cut(s.vms[50:], 5*time.Second, 20*time.Second)
		s.at(7*time.Second, func() { s.lead(s.vms[50]) })
		s.at(20*time.Second, func() {
			for _, vm := range s.vms[:50] {
				s.after(time.Duration(s.rand.Float64()*float64(500*time.Millisecond)), func() { s.follow(vm, s.vms[50]) })
			}
		})
	},
	"halves with two leaders while loads grow": func(s *simulation) {
		s.cut(s.vms[50:], 13*time.Second, 28*time.Second)
		s.at(15*time.Second, func() { s.lead(s.vms[50]) })
		s.at(28*time.Second, func() {
			for _, vm := range s.vms[:50] {
				s.after(time.Duration(s.rand.Float64()*float64(500*time.Millisecond)), func() { s.follow(vm, s.vms[50]) })
			}
		})
	},
	"broker stops for a time": func(s *simulation) {
		for i := range 8 {
			from := time.Duration(8+6*i) * time.Second
			s.cut(s.vms[:1], from, from+time.Duration(100+250*i)*time.Millisecond)
		}
	},
	"lowered limits": func(s *simulation) {
		for _, t := range s.teams {
			t.lowered = Limit{Rate: t.limit.Rate / 10, Burst: t.limit.Burst / 10}
		}
		s.at(30*time.Second, func() {
			for _, vm := range s.vms {
				s.after(time.Duration(s.rand.Float64()*float64(time.Second)), func() { vm.lowered = true })
			}
		})
	},
}

// result sums up a simulation.
type result struct{ exceeded, asked, spent, unsure, below, unsureBelow int }

func (s *simulation) result(report func(string, ...any)) (r result) {
	allLowered := 31*time.Second + s.rule.Window
	for _, t := range s.teams {
		for _, span := range []struct {
			limit    Limit
			from, to time.Duration
		}{{t.limit, 0, s.ends}, {t.lowered, allLowered, s.ends}} {
			allowed := s.rule.withMargin(span.limit, 1)
			if most := t.busiest(s.rule.Window, span.from, span.to); float64(most) > allowed {
				r.exceeded++
				report("%s: %d requests in a window, %.0f are allowed", t.name, most, allowed)
			}
		}
		r.asked, r.spent, r.unsure = r.asked+t.asked, r.spent+t.spent, r.unsure+t.unsure
		r.below, r.unsureBelow = r.below+t.below, r.unsureBelow+t.unsureBelow
	}
	return r
}

// TestRuleHolds checks every sliding window of 74 teams on 100 VMs, some of which send ten
// times their limit, while brokers and VMs fail. Without quotas the same load breaks the rule.
func TestRuleHolds(t *testing.T) {
	for name := range scenarios {
		t.Run(name, func(t *testing.T) {
			assert.Check(t, playScenario(t, name, 1).exceeded == 0)
		})
	}
	t.Run("without quotas", func(t *testing.T) {
		s := newSimulation(1, 100)
		s.addTeams()
		s.enforce, s.ends = false, 15*time.Second
		s.run()
		assert.Check(t, s.result(func(string, ...any) {}).exceeded > 10)
	})
}

// TestRuleHoldsWhileTeamsGrow plays the loads under which the rule has been broken: teams that
// grow tenfold just before a fault.
func TestRuleHoldsWhileTeamsGrow(t *testing.T) {
	for seed, name := range map[uint64]string{2: "halves with two leaders while loads grow", 3: "broker stops for a time"} {
		t.Run(name, func(t *testing.T) {
			assert.Check(t, playScenario(t, name, seed).exceeded == 0)
		})
	}
}

// TestNothingBelowTheLimitIsRefused checks that a team below its limit loses no request to the
// quota, whatever fails.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	for name := range scenarios {
		t.Run(name, func(t *testing.T) {
			r := playScenario(t, name, 1)
			assert.Check(t, r.below+r.unsureBelow == 0, "%d of %d requests", r.below+r.unsureBelow, r.asked)
		})
	}
}

// playScenario plays the load of all teams in a scenario.
func playScenario(t *testing.T, name string, seed uint64) result {
	s := newSimulation(seed, 100)
	s.addTeams()
	scenarios[name](s)
	s.run()
	r := s.result(t.Logf)
	t.Logf("%+v", r)
	return r
}
