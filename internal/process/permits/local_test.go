package permits_test

import (
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TestBrokerDecidesOnMovedKeys guards against requests that a VM sends to a former owner: a
// key that has changed owner lately is asked of a broker that is slow but alive, other keys
// are decided by the VM itself, and so is that key if the broker is lost or after a while.
// It also checks that permits are counted by who decided.
func TestBrokerDecidesOnMovedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := keyedView(true)
		before.Targets["t0"].Slots = 4
		after := *before
		after.Targets = maps.Clone(before.Targets)
		after.Targets["t1"] = &fleet.Target{Life: fleet.Life{ID: "t1", Born: 1}, Service: "s", Slots: 4}
		after.Slices = map[string][]fleet.Slice{"s": {
			{First: 0, Last: 99, Owner: after.Targets["t1"].Life, Ready: true},
			{First: 100, Last: fleet.Keys - 1, Owner: after.Targets["t0"].Life, Ready: true},
		}}
		var view atomic.Pointer[fleet.View]
		view.Store(before)
		scope := tally.NewTestScope("", nil)
		n := newNetwork()
		n.delay = 40 * time.Millisecond
		n.start("broker", &after)
		n.configure = func(c *permits.Config) { c.Broker.Loads, c.Metrics = admission.NewLoads(), scope }
		n.startWith("a", view.Load)
		decidedBy := func(key uint16) string {
			r := request()
			r.Key = key
			permit, err := n.desks["a"].Acquire(t.Context(), r)
			assert.NilError(t, err)
			assert.Equal(t, permit.Refused, admission.Reason(""))
			assert.Equal(t, permit.Target.ID, map[bool]string{true: "t1", false: "t0"}[key < 100])
			n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{Running: 1, Slots: 4}, true)
			return permit.Broker
		}
		time.Sleep(time.Second)
		view.Store(&after)
		n.desks["a"].Update(&after)
		assert.Equal(t, decidedBy(50), "broker")
		assert.Equal(t, decidedBy(5000), "")
		assert.Equal(t, decidedBy(50), "broker")
		silence := func(silent bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.brokerSilent = silent
		}
		silence(true)
		assert.Equal(t, decidedBy(50), "")
		silence(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, decidedBy(50), "")
		counted := map[string]int64{}
		for _, c := range scope.Snapshot().Counters() {
			counted[c.Tags()["decided"]] = c.Value()
		}
		assert.DeepEqual(t, counted, map[string]int64{"broker": 2, "local": 3})
		time.Sleep(2 * time.Second)
	})
}
