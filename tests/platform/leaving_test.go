package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// TestServerThatSaysItLeavesGetsNothing guards against requests to servers whose responses
// say that they are leaving while their entries in the store do not, also while the store is
// away and the leader is lost. Two of three free ones leave, so that each VM uses one of them,
// and one owner of keys. As long as there is a leader, no request fails.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	for leavingService, leavers := range map[string]int{"free": 2, "keyed": 1} {
		for _, leaderLost := range []bool{false, true} {
			t.Run(fmt.Sprint(leavingService, ", leader lost ", leaderLost), func(t *testing.T) {
				var leaving atomic.Bool
				d := deployment.New(t)
				for i := range serversEach {
					for _, service := range []string{"free", "keyed"} {
						settings := fencetarget.Settings{Work: 10 * time.Millisecond}
						if service == leavingService && i < leavers {
							settings.Notice = func() map[string]string {
								if leaving.Load() {
									return map[string]string{"Server-Leaving": "1"}
								}
								return nil
							}
						}
						d.AddTarget(fmt.Sprintf("%s-%d", service, i), service, settings)
					}
				}
				for range 3 {
					d.AddVM()
				}
				d.WaitReady(startBound)
				for _, vm := range d.VMs {
					cluster.Eventually(t, startBound, vm.Name+" serves keys", func() error { return servesKeys(t, vm) })
				}
				path := "/read/x"
				if leavingService == "keyed" {
					path = "/keyed/x"
				}
				// Five callers each for the VMs that live on: a VM that decides alone sees its own
				// requests only, and uses a server with two slots only if the others are full.
				var callers []*deployment.VM
				for _, vm := range d.VMs {
					if !leaderLost || vm != d.Leader() {
						callers = append(callers, vm, vm, vm, vm, vm)
					}
				}
				load := send(t, callers, path, time.Millisecond)
				// The owners of keys reach the other VMs up to a second after the broker.
				time.Sleep(1500 * time.Millisecond)
				if leaderLost {
					d.Store.SetFaults(platformstub.Faults{Status: http.StatusServiceUnavailable})
					d.Leader().Kill()
					// The other VMs decide alone by now.
					time.Sleep(300 * time.Millisecond)
				}
				leaving.Store(true)
				said := time.Now()
				time.Sleep(drainBound + time.Second)
				failed, last := failures(load.end()), time.Duration(0)
				for i := range leavers {
					for _, arrival := range d.Target(fmt.Sprintf("%s-%d", leavingService, i)).Arrivals() {
						last = max(last, arrival.At.Sub(said))
					}
				}
				told := 0
				for _, vm := range d.VMs {
					told += strings.Count(vm.Log(), `"event":2120`)
				}
				assert.Assert(t, told > 0, "nobody was told")
				assert.Assert(t, last < drainBound, "a server got a request %s after its notice", last)
				if !leaderLost {
					assert.Equal(t, len(failed), 0, "%+v", failed)
				}
				t.Logf("the last request came %s after the notice; %d notices; %d requests failed", last, told, len(failed))
			})
		}
	}
}
