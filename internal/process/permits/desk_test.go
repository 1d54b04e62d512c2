package permits_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// network connects the desks of some VMs.
type network struct {
	mu    sync.Mutex
	desks map[string]*permits.Desk
	// cut holds the VMs without a path.
	cut map[string]bool
	// takes is how long messages take; 0 for a few milliseconds.
	takes time.Duration
	// deaf is set while no VM hears the broker.
	deaf bool
}

type sender struct {
	network *network
	vm      string
}

func (s sender) Send(vm string, message *peerv1.Control) {
	s.network.mu.Lock()
	takes := s.network.takes
	s.network.mu.Unlock()
	go func() {
		time.Sleep(max(takes, 2*time.Millisecond))
		s.network.mu.Lock()
		desk, cut := s.network.desks[vm], s.network.cut[vm] || s.network.cut[s.vm]
		s.network.mu.Unlock()
		if desk != nil && !cut {
			desk.Handle(peer.Peer{VM: s.vm}, message)
		}
	}()
}

func (s sender) Call(context.Context, string, *peerv1.Control) (*peerv1.Control, error) {
	panic("desks make no calls")
}

func view() *fleet.View {
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
	shared := view()
	for _, vm := range vms {
		n.start(vm, shared)
	}
	return n
}

// start starts the desk of a VM, in the place of the former one if there is one.
func (n *network) start(vm string, shared *fleet.View) {
	desk := permits.New(permits.Config{
		Self: vm, Sender: sender{n, vm}, View: func() *fleet.View { return shared },
		Broker: admission.Config{Budget: admission.Budget{Ratio: 0.2, Allowance: 10}, ColdFactor: 1.5},
		Hears: func(string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.cut["broker"] && !n.deaf
		},
	})
	desk.Update(shared)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.desks[vm] = desk
}

func request() admission.Request {
	now := time.Now()
	return admission.Request{Service: "s", Class: "c", Aim: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
}

// TestOneSlotIsSharedByAllVMs: the second VM waits until the first is done.
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

// TestSilentBrokerIsReplacedByOwnDecisions within a fraction of the aim.
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

// TestBrokerLostWhileARequestWaits: the request goes on without it.
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

// TestCallerThatLeavesGivesItsPlaceUp.
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

// keyedView has a keyed service; owned is set if the owner of the keys is known.
func keyedView(owned bool) *fleet.View {
	v := view()
	v.Config.Services[0].Keyed = true
	if owned {
		v.Slices = map[string][]fleet.Slice{"s": {{Last: fleet.Keys - 1, Owner: v.Targets["t0"].Life, Ready: true}}}
	}
	return v
}

// startLate starts a broker that knows the owner of the keys and a VM that does not
// yet; messages take longer than a broker has for a first word.
func startLate() *network {
	n := newNetwork()
	n.takes = 40 * time.Millisecond
	n.start("broker", keyedView(true))
	n.start("a", keyedView(false))
	return n
}

// TestLateBrokerDecidesWhatOnlyItKnows: a VM that does not know the owner of a key yet
// refuses nothing while the broker that knows it is alive.
func TestLateBrokerDecidesWhatOnlyItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startLate()
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

// TestLateBrokerDecidesOnColdTargets, to which a VM alone sends nothing. Repeats are
// refused, as without a broker.
func TestLateBrokerDecidesOnColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.takes = 40 * time.Millisecond
		shared := view()
		n.start("broker", shared)
		n.start("a", shared)
		repeated := request()
		repeated.Repeat = true
		refused, err := n.desks["a"].Acquire(t.Context(), repeated)
		assert.NilError(t, err)
		assert.Equal(t, refused.Refused, admission.BudgetSpent)
		shared.Targets["t0"].ColdUntil = time.Now().Add(10 * time.Second)
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Refused, admission.Reason(""))
		assert.Equal(t, permit.Broker, "broker")
		n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
		time.Sleep(2 * time.Second)
	})
}

// TestLostQuestionIsAskedAgain while the broker is heard, within the deadline.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startLate()
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

// TestUnheardBrokerIsNotAwaited: without a sign of the broker the caller gets its
// refusal at once and may go elsewhere.
func TestUnheardBrokerIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startLate()
		n.cut["a"], n.deaf = true, true
		began := time.Now()
		permit, err := n.desks["a"].Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Refused, admission.NoTarget)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "refused after %v", time.Since(began))
		time.Sleep(2 * time.Second)
	})
}

// TestRequestOfAFormerProcessIsNotAnswered to the next process of its VM, which would send its own request to the target of another service.
func TestRequestOfAFormerProcessIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker", "a", "b")
		shared := view()
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
		// The former process waits for a target of the one service, the next one for a
		// target of the other.
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

// TestIdleDeskFollowsTheLatestView: a desk without requests takes in views only when
// it is asked, and then the latest.
func TestIdleDeskFollowsTheLatestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("broker")
		n.cut["broker"] = true
		for _, id := range []string{"t1", "t2"} {
			next := *view()
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

// TestViewsCostAnIdleDeskNothing: VMs of little processor that give out no permits get
// a view for every change of the targets. The bound is on the ratio to a broker that
// follows each, measured side by side, the best of ten.
func TestViewsCostAnIdleDeskNothing(t *testing.T) {
	base := view()
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
	assert.Assert(t, 10*idle < followed, "%v on an idle desk, %v at a broker", idle, followed)
}
