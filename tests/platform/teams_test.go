package platform_test

import (
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
)

// withdrawBound is the time from the store's answer to the last request with a withdrawn key.
const withdrawBound = 2500 * time.Millisecond

// TestWithdrawnKeyIsRefused withdraws a key while callers use it over open connections of all
// VMs, one of which does not reach the store. It guards against a key that goes on working, one
// that stops working too early, and one that is written to a log or shown in a metric.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	d := start(t, 3)
	d.Teams = map[string][]string{"team-a": {"secret-a1", "secret-a2"}, "team-b": {"secret-b1"}}
	d.Configure(nil)
	for _, vm := range d.VMs {
		caller := vm.Caller()
		defer caller.Close()
		cluster.Eventually(t, applyBound, vm.Name+" has the teams", func() error {
			if r := caller.Send(t.Context(), http.MethodGet, "/read/x", 0, nil); r.Status != http.StatusUnauthorized {
				return io.ErrUnexpectedEOF
			}
			return nil
		})
	}
	inForce := time.Now()
	var follower *deployment.VM
	for _, vm := range d.VMs {
		if vm != d.Leader() {
			follower = vm
		}
	}
	follower.Store.Break()
	var withdrawn time.Time
	var mu sync.Mutex
	var done sync.WaitGroup
	stop := make(chan struct{})
	for _, vm := range d.VMs {
		for _, key := range []string{"secret-a1", "secret-a2", "secret-b1"} {
			done.Go(func() {
				caller := vm.Caller()
				caller.AccessKey = key
				defer caller.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
					}
					r := caller.Send(t.Context(), http.MethodGet, "/read/x", 0, nil)
					mu.Lock()
					at := withdrawn
					mu.Unlock()
					switch {
					case key != "secret-a1" || at.IsZero():
						assert.Check(t, r.Whole, "%s answers %d for %s", vm.Name, r.Status, key)
					case r.Began.After(at.Add(withdrawBound)):
						assert.Check(t, r.Status == http.StatusUnauthorized, "%s answers %d for the withdrawn key after %v", vm.Name, r.Status, r.Began.Sub(at))
					default:
						assert.Check(t, r.Whole || r.Status == http.StatusUnauthorized, "%s answers %d", vm.Name, r.Status)
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	d.Teams["team-a"] = []string{"secret-a2"}
	mu.Lock()
	d.Configure(nil)
	withdrawn = time.Now()
	mu.Unlock()
	time.Sleep(withdrawBound + time.Second)
	close(stop)
	done.Wait()
	for _, vm := range d.VMs {
		log, err := os.ReadFile(vm.LogPath)
		assert.NilError(t, err)
		assert.Check(t, !strings.Contains(string(log), "secret"), "an access key is in the log of %s", vm.Name)
		response, err := http.Get("http://" + vm.Metrics + "/metrics")
		assert.NilError(t, err)
		metrics, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Check(t, strings.Contains(string(metrics), `team="team-a"`), "%s counts no team", vm.Name)
		assert.Check(t, !strings.Contains(string(metrics), "secret"))
	}
	for _, id := range []string{"free-0", "free-1", "free-2"} {
		for _, run := range d.Target(id).Runs() {
			if run.At.After(inForce) {
				assert.Check(t, run.Header.Get("Credential") == "" && run.Header.Get("Tenant-Name") != "")
			}
		}
	}
}
