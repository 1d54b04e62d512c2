package permits_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// network connects the desks of some VMs.
type network struct {
	mu    sync.Mutex
	desks map[string]*permits.Desk
	// cut holds the VMs that can neither send nor receive messages.
	cut map[string]bool
	// delay is the delay of a message, at least 2 ms.
	delay time.Duration
	// brokerSilent is set while no VM considers the broker alive.
	brokerSilent bool
	quota        quota.Rule
	// configure, if set, changes the configuration of a desk.
	configure func(*permits.Config)
	// quotaGrown counts the calls of Config.QuotaGrown.
	quotaGrown atomic.Int32
}

type sender struct {
	network *network
	vm      string
}

func (s sender) Send(vm string, message *peerv1.Control) {
	s.network.mu.Lock()
	delay := s.network.delay
	s.network.mu.Unlock()
	go func() {
		time.Sleep(max(delay, 2*time.Millisecond))
		s.network.mu.Lock()
		desk, cut := s.network.desks[vm], s.network.cut[vm] || s.network.cut[s.vm]
		s.network.mu.Unlock()
		if desk != nil && !cut {
			desk.Handle(peer.Peer{VM: s.vm}, message)
		}
	}()
}

func (s sender) Call(context.Context, string, *peerv1.Control) (*peerv1.Control, error) {
	panic("permits: unexpected call")
}

// newView returns a view with one target of one slot, t0, for service s.
func newView() *fleet.View {
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}}
	config.Index()
	return &fleet.View{
		Config: config, Brokers: map[string]string{"s": "broker"},
		Targets: map[string]*fleet.Target{
			"t0": {Life: fleet.Life{ID: "t0", Born: 1}, Service: "s", Slots: 1},
		},
	}
}

func newNetwork(vms ...string) *network {
	n := &network{desks: map[string]*permits.Desk{}, cut: map[string]bool{}}
	shared := newView()
	for _, vm := range vms {
		n.start(vm, shared)
	}
	return n
}

// start starts the desk of a VM. It replaces the previous desk of the VM, if any.
func (n *network) start(vm string, view *fleet.View) {
	n.startWith(vm, func() *fleet.View { return view })
}

func (n *network) startWith(vm string, view func() *fleet.View) {
	config := permits.Config{
		Self: vm, Sender: sender{n, vm}, View: view, Quota: n.quota, QuotaGrown: func() { n.quotaGrown.Add(1) },
		Broker: admission.Config{Budget: admission.Budget{Ratio: 0.2, Allowance: 10}, ColdFactor: 1.5},
		Alive: func(string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.cut["broker"] && !n.brokerSilent
		},
	}
	if n.configure != nil {
		n.configure(&config)
	}
	desk := permits.New(config)
	desk.Update(view())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.desks[vm] = desk
}

func request() admission.Request {
	now := time.Now()
	return admission.Request{Service: "s", Class: "c", Aim: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
}

// TestOneSlotIsSharedByAllVMs checks that a request of a second VM waits until the
// request of the first has ended.
func TestOneSlotIsSharedByAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a", "b")
		first, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, first.Target.ID, "t0")
		assert.Equal(t, first.Broker, "broker")
		time.AfterFunc(100*time.Millisecond, func() {
			n.desks["a"].End(first, admission.Answered, 100*time.Millisecond, fleet.Load{}, false)
		})
		began := time.Now()
		second, err := n.desks["b"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, second.Target.ID, "t0")
		assert.Assert(t, time.Since(began) >= 100*time.Millisecond, "%s", time.Since(began))
		n.desks["b"].End(second, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestSilentBrokerIsReplacedByOwnDecisions checks that requests are decided locally
// within a fraction of their aim if the broker does not reply.
func TestSilentBrokerIsReplacedByOwnDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a")
		n.cut["broker"] = true
		began := time.Now()
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Broker, "")
		assert.Equal(t, permit.Target.ID, "t0")
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestBrokerLostWhileARequestWaits checks that a queued request is decided locally
// once its broker is lost.
func TestBrokerLostWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a", "b")
		_, err := n.desks["b"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		time.AfterFunc(80*time.Millisecond, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cut["broker"] = true
		})
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Broker, "")
		n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestCallerThatLeavesGivesItsPlaceUp checks that a canceled request leaves the
// queue of the broker.
func TestCallerThatLeavesGivesItsPlaceUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a", "b")
		first, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = n.desks["b"].Acquire(ctx, request())
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(10 * time.Millisecond)
		n.desks["a"].End(first, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(10 * time.Millisecond)
		third, err := n.desks["b"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, third.Target.ID, "t0")
		n.desks["b"].End(third, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// keyedView returns a view in which s is keyed; t0 owns all keys if owned is set,
// otherwise nobody does.
func keyedView(owned bool) *fleet.View {
	v := newView()
	v.Config.Services[0].Keyed = true
	if owned {
		v.Slices = map[string][]fleet.Slice{"s": {{Last: fleet.Keys - 1, Owner: v.Targets["t0"].Life, Ready: true}}}
	}
	return v
}

// startSlowNetwork starts a broker that knows the owner of the keys and a VM that does not
// know it yet. A round trip takes longer than the time that a broker has for its
// first reply.
func startSlowNetwork() *network {
	n := newNetwork()
	n.delay = 40 * time.Millisecond
	n.start("broker", keyedView(true))
	n.start("a", keyedView(false))
	return n
}

// TestLateBrokerDecidesWhatOnlyItKnows checks that a VM that does not know the owner
// of a key yet refuses no requests for it while the broker is alive.
func TestLateBrokerDecidesWhatOnlyItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startSlowNetwork()
		for range 3 {
			permit, err := n.desks["a"].Acquire(t.Context(), request())
			assert.NilError(t, err)
			assert.Equal(t, permit.Refused, admission.Reason(""))
			assert.Equal(t, permit.Target.ID, "t0")
			assert.Equal(t, permit.Broker, "broker")
			n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	})
}

// TestLateBrokerDecidesOnColdTargets checks that requests wait for a slow broker if
// only cold targets are left, which local decisions do not use.
func TestLateBrokerDecidesOnColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.delay = 40 * time.Millisecond
		shared := newView()
		n.start("broker", shared)
		n.start("a", shared)
		shared.Targets["t0"].ColdUntil = time.Now().Add(10 * time.Second)
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Refused, admission.Reason(""))
		assert.Equal(t, permit.Broker, "broker")
		n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestLateBrokerDecidesOnRepeats guards against refusals with budget-spent that the broker
// has not decided: a request that a target did not run is asked of a broker that is slow but
// alive, also while this VM decides first attempts without it, and is refused at once if the
// broker does not seem to be alive.
func TestLateBrokerDecidesOnRepeats(t *testing.T) {
	for name, silent := range map[string]bool{"alive": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork("broker", "a")
				n.delay = 40 * time.Millisecond
				first, err := n.desks["a"].Acquire(t.Context(), request())
				assert.NilError(t, err)
				assert.Equal(t, first.Broker, "")
				n.desks["a"].End(first, admission.NotRun, time.Millisecond, fleet.Load{}, false)
				// The permit that came too late has been given back by now.
				time.Sleep(100 * time.Millisecond)
				n.mu.Lock()
				n.brokerSilent = silent
				n.mu.Unlock()
				repeated := request()
				repeated.Repeat = true
				began := time.Now()
				permit, err := n.desks["a"].Acquire(t.Context(), repeated)
				assert.NilError(t, err)
				if silent {
					assert.Equal(t, permit.Refused, admission.BudgetSpent)
					assert.Assert(t, time.Since(began) < 10*time.Millisecond, "refused after %s", time.Since(began))
				} else {
					assert.Equal(t, permit.Refused, admission.Reason(""))
					assert.Equal(t, permit.Broker, "broker")
					assert.Assert(t, time.Since(began) < 100*time.Millisecond, "after %s", time.Since(began))
					n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestLostQuestionIsAskedAgain checks that a lost request message is sent again
// within the deadline while the broker is alive.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startSlowNetwork()
		n.cut["a"] = true
		time.AfterFunc(100*time.Millisecond, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cut["a"] = false
		})
		r := request()
		r.Deadline = time.Now().Add(2500 * time.Millisecond)
		ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
		defer cancel()
		permit, err := n.desks["a"].Acquire(ctx, r)
		assert.NilError(t, err)
		assert.Equal(t, permit.Target.ID, "t0")
		n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestUnheardBrokerIsNotAwaited checks that a request is refused at once if the broker
// does not seem to be alive, so that the caller can try another VM.
func TestUnheardBrokerIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startSlowNetwork()
		n.cut["a"], n.brokerSilent = true, true
		began := time.Now()
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Refused, admission.NoTarget)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "refused after %v", time.Since(began))
		time.Sleep(2 * time.Second)
	})
}

// TestRequestsFollowTheBroker checks that a request that reaches a VM which is not the
// broker any more is decided by the next one, as soon as its own VM knows that, or by its own
// VM if it does not learn of one.
func TestRequestsFollowTheBroker(t *testing.T) {
	for name, learns := range map[string]bool{"learns of the next": true, "does not": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				next := newView()
				next.Brokers["s"] = "next"
				n.start("broker", next)
				n.start("next", next)
				var known atomic.Pointer[fleet.View]
				known.Store(newView())
				n.startWith("a", known.Load)
				if learns {
					time.AfterFunc(30*time.Millisecond, func() {
						known.Store(next)
						n.desks["a"].Update(next)
					})
				}
				began := time.Now()
				permit, err := n.desks["a"].Acquire(t.Context(), request())
				assert.NilError(t, err)
				assert.Equal(t, permit.Refused, admission.Reason(""))
				assert.Equal(t, permit.Broker, map[bool]string{true: "next", false: ""}[learns])
				assert.Assert(t, time.Since(began) < 100*time.Millisecond, "after %s", time.Since(began))
				n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestRequestOfAFormerProcessIsNotAnswered checks that a decision on a request of a
// previous process of a VM does not reach a request of its next process, which would
// then be sent to a target of another service.
func TestRequestOfAFormerProcessIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a", "b")
		shared := newView()
		shared.Config.Services = append(shared.Config.Services, fleet.Service{Name: "other"})
		shared.Config.Index()
		shared.Targets["u0"] = &fleet.Target{Life: fleet.Life{ID: "u0", Born: 1}, Service: "other", Slots: 1}
		shared.Brokers["other"] = "broker"
		for _, vm := range []string{"broker", "a", "b"} {
			n.start(vm, shared)
		}
		toOther := func() admission.Request {
			r := request()
			r.Service = "other"
			return r
		}
		held := map[string]permits.Permit{}
		for service, r := range map[string]admission.Request{"s": request(), "other": toOther()} {
			permit, err := n.desks["b"].Acquire(t.Context(), r)
			assert.NilError(t, err)
			held[service] = permit
		}
		// The previous process waits for the target of s, the next one for the target of
		// other.
		former, leave := context.WithCancel(t.Context())
		defer leave()
		go func() { _, _ = n.desks["a"].Acquire(former, request()) }()
		time.Sleep(10 * time.Millisecond)
		n.start("a", shared)
		time.AfterFunc(20*time.Millisecond, func() {
			n.desks["b"].End(held["s"], admission.Answered, time.Millisecond, fleet.Load{}, false)
		})
		time.AfterFunc(40*time.Millisecond, func() {
			n.desks["b"].End(held["other"], admission.Answered, time.Millisecond, fleet.Load{}, false)
		})
		permit, err := n.desks["a"].Acquire(t.Context(), toOther())
		assert.NilError(t, err)
		assert.Equal(t, permit.Target.ID, "u0")
		leave()
		time.Sleep(2 * time.Second)
	})
}

// TestIdleDeskFollowsTheLatestView checks that a desk without requests decides the
// next one by the latest view, although it applied none of the views before.
func TestIdleDeskFollowsTheLatestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker")
		n.cut["broker"] = true
		for _, id := range []string{"t1", "t2"} {
			next := *newView()
			next.Targets = map[string]*fleet.Target{id: {Life: fleet.Life{ID: id, Born: 1}, Service: "s", Slots: 1}}
			n.desks["broker"].Update(&next)
		}
		permit, err := n.desks["broker"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Target.ID, "t2")
		n.desks["broker"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestViewsCostAnIdleDeskNothing guards the CPU time of small VMs that grant no
// permits: they get a view for every change of the targets. The bound is on the ratio
// to a broker that applies each view, measured side by side, the best of ten runs.
func TestViewsCostAnIdleDeskNothing(t *testing.T) {
	base := newView()
	for i := range 3000 {
		id := fmt.Sprint("target-", i)
		base.Targets[id] = &fleet.Target{Life: fleet.Life{ID: id, Born: 1}, Service: "s", Slots: 1}
	}
	config := admission.Config{Decide: func(admission.Decision) {}}
	broker := admission.New(config)
	desk := permits.New(permits.Config{Self: "a", Broker: config, View: func() *fleet.View { return base }})
	followed, idle := time.Hour, time.Hour
	for range 10 {
		next := *base
		next.Targets = maps.Clone(base.Targets)
		began := time.Now()
		broker.Update(&next, began)
		between := time.Now()
		desk.Update(&next)
		followed, idle = min(followed, between.Sub(began)), min(idle, time.Since(between))
	}
	assert.Assert(t, 10*idle < followed, "%v per view on an idle desk, %v in a broker", idle, followed)
}
