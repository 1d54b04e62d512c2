package permits_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// TestRestrictionHoldsForAllPermits guards against requests to a target that has told this
// VM that it is leaving, has asked for a back-off or leaves requests unanswered: a permit
// that was granted before is not used, the broker learns of the restriction with the return
// of a permit and gives none to other VMs, and a VM without the broker sends nothing either,
// whatever the view says. The next process under the name starts without a restriction.
func TestRestrictionHoldsForAllPermits(t *testing.T) {
	const rest = 3 * time.Second
	for kind, restrict := range map[string]func(d *permits.Desk, target *fleet.Target, sentAt time.Time){
		"leaving": func(d *permits.Desk, target *fleet.Target, sentAt time.Time) {
			assert.Equal(t, d.Heard(target.Life, sentAt, permits.Notice{Leaving: true}), permits.Notice{Leaving: true})
			assert.Equal(t, d.Heard(target.Life, sentAt, permits.Notice{Leaving: true}), permits.Notice{})
		},
		"resting": func(d *permits.Desk, target *fleet.Target, sentAt time.Time) {
			assert.Equal(t, d.Heard(target.Life, sentAt, permits.Notice{Rest: rest}).Rest, rest)
			assert.Equal(t, d.Heard(target.Life, sentAt, permits.Notice{Rest: time.Second}).Rest, time.Duration(0))
		},
		"silent": func(d *permits.Desk, target *fleet.Target, sentAt time.Time) {
			assert.Assert(t, !d.Unanswered(target, sentAt, rest), "it may as well have ended")
			assert.Assert(t, !d.Hangs("s") && d.MaySend(target.Life))
			d.Heard(target.Life, sentAt.Add(time.Millisecond), permits.Notice{})
			assert.Assert(t, !d.Unanswered(target, sentAt, rest), "it may as well be slow")
			d.Heard(target.Life, sentAt.Add(rest+time.Millisecond), permits.Notice{})
			assert.Assert(t, d.Unanswered(target, sentAt, rest))
			assert.Assert(t, d.Hangs("s"))
		},
	} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				view := newView()
				view.Targets["t0"].Slots = 2
				for _, vm := range []string{"broker", "a", "b"} {
					n.start(vm, view)
				}
				a, b, target := n.desks["a"], n.desks["b"], view.Targets["t0"]
				sentAt := time.Now()
				first, err := a.Acquire(t.Context(), request())
				assert.NilError(t, err)
				second, err := a.Acquire(t.Context(), request())
				assert.NilError(t, err)
				assert.Assert(t, a.MaySend(target.Life))
				restrict(a, target, sentAt)
				assert.Assert(t, !a.MaySend(target.Life), "the second permit would be used")
				result := admission.NotRun
				if kind == "silent" {
					result = admission.Unanswered
				}
				a.End(first, result, time.Millisecond, fleet.Load{}, false)
				a.End(second, admission.Canceled, 0, fleet.Load{}, false)
				time.Sleep(10 * time.Millisecond)
				refusedFor := func(d *permits.Desk, from string) {
					t.Helper()
					permit, err := d.Acquire(t.Context(), request())
					assert.NilError(t, err)
					assert.Assert(t, permit.Refused != "", "%s: %+v", from, permit)
				}
				if kind != "silent" {
					refusedFor(b, "the broker")
				}
				// Without the broker, a knows by itself.
				n.mu.Lock()
				n.cut["broker"], n.brokerSilent = true, true
				n.mu.Unlock()
				refusedFor(a, "no broker")
				time.Sleep(rest)
				assert.Equal(t, a.MaySend(target.Life), kind != "leaving", "after the back-off")
				if kind == "leaving" {
					refusedFor(a, "much later")
				}
				assert.Assert(t, a.MaySend(fleet.Life{ID: "t0", Born: 2}), "the next process")
				for i := range 5000 {
					a.Heard(fleet.Life{ID: fmt.Sprint("other", i), Born: 1}, time.Now(), permits.Notice{Rest: time.Millisecond})
				}
				assert.Equal(t, a.MaySend(target.Life), kind != "leaving", "others have pushed it out")
				time.Sleep(time.Second)
			})
		})
	}
}

// TestLocalDecisionsSpareRestrictedTargets guards against a VM without the broker that finds
// the one target which takes requests only by trying the others.
func TestLocalDecisionsSpareRestrictedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		view := newView()
		view.Brokers = nil
		for i := range 10 {
			id := fmt.Sprint("t", i)
			view.Targets[id] = &fleet.Target{Life: fleet.Life{ID: id, Born: 1}, Service: "s", Slots: 1}
		}
		n.start("a", view)
		a := n.desks["a"]
		for id, target := range view.Targets {
			if id != "t5" {
				a.Heard(target.Life, time.Now(), permits.Notice{Leaving: id < "t5", Rest: time.Second})
			}
		}
		permit, err := a.Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Equal(t, permit.Target.ID, "t5")
		a.End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
	})
}

// TestRestrictionReachesALaterBroker guards against a broker that does not know of a
// restriction, such as a new one: its permit is returned unused and tells it, and the request
// is served elsewhere. A broker that does not listen costs a refusal, not a loop.
func TestRestrictionReachesALaterBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		view := newView()
		view.Targets["t1"] = &fleet.Target{Life: fleet.Life{ID: "t1", Born: 1}, Service: "s", Slots: 1}
		n.start("broker", view)
		n.start("a", view)
		a := n.desks["a"]
		a.Heard(view.Targets["t0"].Life, time.Now(), permits.Notice{Leaving: true})
		for range 3 {
			permit, err := a.Acquire(t.Context(), request())
			assert.NilError(t, err)
			assert.Equal(t, permit.Target.ID, "t1")
			a.End(permit, admission.Answered, time.Millisecond, fleet.Load{}, false)
			time.Sleep(10 * time.Millisecond)
		}
		a.Heard(view.Targets["t1"].Life, time.Now(), permits.Notice{Leaving: true})
		permit, err := a.Acquire(t.Context(), request())
		assert.NilError(t, err)
		assert.Assert(t, permit.Refused != "", "%+v", permit)
		time.Sleep(time.Second)
	})
}
