package platform_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// coldBound is the number of requests that a cold server may get in a second.
const coldBound = deployment.ColdRate*3/2 + 5

// TestServerThatStartsAgainUnseenIsCold: a server starts again under its id and at its
// address while the store answers nobody, so that no entry says that it is cold. It gets no
// more than a cold server may, and serves once it holds its keys again.
func TestServerThatStartsAgainUnseenIsCold(t *testing.T) {
	const cold = 3 * time.Second
	settings := fencetarget.Settings{Work: 10 * time.Millisecond, Slots: 4}
	d := deployment.New(t)
	place := d.NewPlace("place")
	d.AddTargetAt(place, "keyed-0", "keyed", settings)
	d.AddTarget("free-0", "free", settings)
	for range 3 {
		d.AddVM()
	}
	d.WaitReady(startBound)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range 12 {
		done.Go(func() {
			caller := d.VMs[i%3].Caller()
			defer caller.Close()
			for key := i; ; key++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				caller.Send(t.Context(), http.MethodGet, "/keyed/x", key*deployment.KeyStep%65536, nil)
			}
		})
	}
	time.Sleep(time.Second)
	for round := range 3 {
		d.Store.SetFaults(platformstub.Faults{Status: http.StatusServiceUnavailable})
		time.Sleep(1500 * time.Millisecond)
		settings.ColdFor = cold
		next := d.AddTargetAt(place, "keyed-0", "keyed", settings)
		time.Sleep(cold)
		arrivals := next.Arrivals()
		d.Store.SetFaults(platformstub.Faults{})
		// The server is warm and its entry is known before it starts again.
		time.Sleep(cold)
		d.WaitReady(startBound)
		assert.Assert(t, len(arrivals) > 0, "round %d: the server got no requests", round)
		for i, last := range arrivals {
			first, _ := slices.BinarySearchFunc(arrivals, last.At.Add(-time.Second), func(a fencetarget.Arrival, at time.Time) int { return a.At.Compare(at) })
			assert.Assert(t, i-first < coldBound, fmt.Sprintf("round %d: %d requests in a second, %s after the start", round, i-first+1, last.At.Sub(time.UnixMilli(next.Born))))
		}
	}
	close(stop)
	done.Wait()
}
