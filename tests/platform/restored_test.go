package platform_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

const (
	// rewriteAfter is how long after a restore servers and operators write their entries again.
	rewriteAfter = 3 * time.Second
	// restoredBound is the time after a restore within which all keys are served again if the
	// leader is lost, too: the bound of a recovery.
	restoredBound = 15 * time.Second
)

// TestRestoredStoreUndoesNothing: the store comes back from a copy from before a server drains,
// another one joins and a route is added, once with the leader killed just then. No key has
// two owners, no request is refused by a leader that goes on, the drained server gets nothing,
// and the new server and the route stay in use until their entries have been written again.
func TestRestoredStoreUndoesNothing(t *testing.T) {
	for name, killed := range map[string]bool{"leader goes on": false, "leader is killed": true} {
		t.Run(name, func(t *testing.T) {
			d := start(t, 4)
			copied := d.Store.Copy()
			more := map[string]string{"/added/": "free"}
			d.Register("free-0", "draining")
			d.AddTarget("free-9", "free", fencetarget.Settings{Work: 20 * time.Millisecond})
			d.Configure(more)
			time.Sleep(drainBound + time.Second)
			leader := d.Leader()
			drained := len(d.Target("free-0").Runs())
			var others []*deployment.VM
			for _, vm := range d.VMs {
				if vm != leader {
					others = append(others, vm)
				}
			}
			keyed, added := send(t, others, "/keyed/x", 10*time.Millisecond), send(t, others, "/added/x", 10*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			restored := time.Now()
			lost := d.Store.Copy()
			d.Store.Restore(copied)
			if killed {
				leader.Kill()
			}
			twice := watchHolders(t, d, rewriteAfter)
			d.Store.Rewrite(lost, copied)
			twice += watchHolders(t, d, restoredBound-rewriteAfter)

			notKeyed := failures(keyed.end())
			notAdded := failures(added.end())
			assert.Equal(t, twice, 0, "keys had two owners")
			assert.Equal(t, len(d.Target("free-0").Runs()), drained, "the drained server ran requests")
			assert.Assert(t, len(d.Target("free-9").Runs()) > 0)
			for _, r := range notAdded {
				assert.Assert(t, killed && r.Status == http.StatusServiceUnavailable, "%v", r)
			}
			for _, r := range notKeyed {
				assert.Assert(t, killed && r.Began.Sub(restored) < restoredBound, "%v, %s after the restore", r, r.Began.Sub(restored))
			}
			for _, vm := range others {
				assert.NilError(t, servesKeys(t, vm))
			}
			t.Logf("%d keyed requests and %d others failed", len(notKeyed), len(notAdded))
		})
	}
}

// watchHolders looks at the keys for a time and returns how often one had two holders.
func watchHolders(t *testing.T, d *deployment.Deployment, during time.Duration) (twice int) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for key := 0; key < 65536; key += deployment.KeyStep {
			if d.Holders(key) > 1 {
				twice++
				t.Logf("key %d has two holders", key)
			}
		}
	}
	return twice
}
