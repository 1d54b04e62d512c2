package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
)

// TestRunningRequestsOutlastASilence: a VM, or the leader that permits the requests of all,
// stands still for longer than it takes to be given up. What runs at servers meanwhile goes
// on, is started nowhere else, and its answer is delivered, by the VM that stood still also
// late.
func TestRunningRequestsOutlastASilence(t *testing.T) {
	// silence is longer than the time after which a VM is dropped from the members and
	// another takes the lead.
	const silence = 5 * time.Second
	for _, leaderIsSilent := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader %v", leaderIsSilent), func(t *testing.T) {
			d := startWorking(t, 3, 1500*time.Millisecond)
			leader := d.Leader()
			silent, entry := leader, d.VMs[0]
			for _, vm := range d.VMs {
				if vm != leader {
					entry = vm
				}
			}
			if !leaderIsSilent {
				silent = entry
			}
			var mu sync.Mutex
			var results []deployment.Result
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(func() {
					caller := entry.Caller()
					defer caller.Close()
					r := caller.Send(t.Context(), http.MethodPost, "/once/x", 0, strings.NewReader("x"))
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
				})
			}
			time.Sleep(700 * time.Millisecond)
			silent.Freeze()
			time.Sleep(silence)
			silent.Thaw()
			callers.Wait()
			runs := freeRuns(d)
			assert.Equal(t, len(runs), 6)
			for _, r := range results {
				assert.NilError(t, r.Err)
				assert.Assert(t, r.Whole, "%+v", r)
				assert.Equal(t, runs[r.Attempt], 1)
			}
		})
	}
}
