package permits_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const coldTime = 3 * time.Second

func coldView() *fleet.View {
	view := newView()
	view.Config.Services[0].Cold = coldTime
	view.Config.Index()
	return view
}

// TestTargetInDoubtGetsNothingWithoutTheBroker: after a result that leaves open whether a
// target's process still runs, a VM that loses the broker sends nothing to the target until
// it would be warm. After an answer, even a refusal, it goes on.
func TestTargetInDoubtGetsNothingWithoutTheBroker(t *testing.T) {
	for result, doubted := range map[admission.Result]bool{
		admission.Answered: false, admission.NotRun: false, admission.Canceled: false, admission.Failed: false,
		admission.Broken: true, admission.Refused: true, admission.Unreachable: true, admission.Timeout: true,
		admission.NotOwner: true,
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			shared := coldView()
			n.start("broker", shared)
			n.start("a", shared)
			permit, err := n.desks["a"].Acquire(t.Context(), request())
			assert.NilError(t, err)
			assert.Equal(t, permit.Broker, "broker")
			n.desks["a"].End(permit, result, time.Millisecond, fleet.Load{}, false)
			n.mu.Lock()
			n.cut["broker"], n.brokerSilent = true, true
			n.mu.Unlock()
			// The backoff of a target whose connection failed is over.
			time.Sleep(coldTime - 600*time.Millisecond)
			permit, err = n.desks["a"].Acquire(t.Context(), request())
			assert.NilError(t, err)
			assert.Equal(t, permit.Refused != "", doubted, "after %d: %+v", result, permit)
			n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
			time.Sleep(time.Second)
			permit, err = n.desks["a"].Acquire(t.Context(), request())
			assert.NilError(t, err)
			assert.Equal(t, permit.Refused, admission.Reason(""), "warm again, after %d", result)
			n.desks["a"].End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
			time.Sleep(2 * time.Second)
		})
	}
}

// TestLostContactIsADoubt: a VM that decides without the broker sends nothing to a target
// that has closed all connections, until it would be warm.
func TestLostContactIsADoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, lost := coldView(), time.Time{}
		shared.Brokers = nil
		desk := permits.New(permits.Config{
			Self: "a", View: func() *fleet.View { return shared },
			Broker:      admission.Config{Budget: admission.Budget{Ratio: 0.2, Allowance: 10}, ColdFactor: 1.5},
			ContactLost: func(fleet.Life) time.Time { return lost },
		})
		desk.Update(shared)
		acquire := func() admission.Reason {
			permit, err := desk.Acquire(t.Context(), request())
			assert.NilError(t, err)
			desk.End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
			return permit.Refused
		}
		assert.Equal(t, acquire(), admission.Reason(""))
		lost = time.Now()
		assert.Assert(t, acquire() != "")
		// Requests wait for at most half a second, the one above and the one below.
		time.Sleep(coldTime - 1500*time.Millisecond)
		assert.Assert(t, acquire() != "")
		time.Sleep(2 * time.Second)
		assert.Equal(t, acquire(), admission.Reason(""))
		time.Sleep(2 * time.Second)
	})
}
