package platform_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// coldBound is the number of requests that a cold server may get in a second.
const coldBound = deployment.ColdRate*3/2 + 5

// callerPause is the pause of a caller between two requests.
const callerPause = 5 * time.Millisecond

// TestServerThatStartsAgainUnseenIsCold: a server starts again under its id and at its
// address while the store answers nobody, so that no entry says that it is cold. It gets no
// more than a cold server may, and serves once it holds its keys again.
func TestServerThatStartsAgainUnseenIsCold(t *testing.T) {
	const cold = 3 * time.Second
	d, place, _ := startAtPlace(t, 3, "free")
	defer send(t, slices.Repeat(d.VMs, 4), "/keyed/x", callerPause).end()
	time.Sleep(time.Second)
	for round := range 3 {
		d.Store.SetFaults(platformstub.Faults{Status: http.StatusServiceUnavailable})
		time.Sleep(1500 * time.Millisecond)
		next := d.AddTargetAt(place, "keyed-0", "keyed", placedSettings(cold))
		time.Sleep(cold)
		arrivals := next.Arrivals()
		d.Store.SetFaults(platformstub.Faults{})
		// The server is warm and its entry is known before it starts again.
		time.Sleep(cold)
		d.WaitReady(startBound)
		assert.Assert(t, len(arrivals) > 0, "round %d: the server got no requests", round)
		checkSpared(t, next, arrivals, fmt.Sprintf("round %d", round))
	}
}

// TestServerThatStartsAgainWithoutALeaderIsCold: a server falls silent, the leader is killed,
// and the server starts again under its id and at its address. Orders that the leader had
// sent in the meantime reach the new process, so that it holds its keys before anybody
// knows that it is another one. It gets no more than a cold server may, and serves once
// there is a leader.
func TestServerThatStartsAgainWithoutALeaderIsCold(t *testing.T) {
	const (
		cold   = 3 * time.Second
		silent = 1500 * time.Millisecond
		dead   = 200 * time.Millisecond
	)
	d, place, former := startAtPlace(t, 4, "keyed")
	defer send(t, slices.Repeat(d.VMs, 4), "/keyed/x", callerPause).end()
	time.Sleep(time.Second)
	place.Silence()
	time.Sleep(silent)
	leader := d.Leader()
	leader.Kill()
	time.Sleep(dead)
	next := d.AddTargetAt(place, "keyed-0", "keyed", placedSettings(cold))
	for _, take := range former.Takes() {
		next.Deliver(take, cold)
	}
	time.Sleep(cold)
	checkSpared(t, next, next.Arrivals(), "killed leader")
	leader.Start()
	d.WaitReady(startBound)
	assert.Assert(t, len(next.Arrivals()) > 0, "the server got no requests")
}

// startAtPlace runs VMs with keyed-0 at a place and one more server, other-0, of a service.
func startAtPlace(t *testing.T, vms int, service string) (*deployment.Deployment, *deployment.Place, *deployment.Target) {
	d := deployment.New(t)
	place := d.NewPlace("place")
	first := d.AddTargetAt(place, "keyed-0", "keyed", placedSettings(0))
	d.AddTarget("other-0", service, placedSettings(0))
	for range vms {
		d.AddVM()
	}
	d.WaitReady(startBound)
	return d, place, first
}

// placedSettings returns the settings of a server that is cold for a time after its start.
func placedSettings(cold time.Duration) fencetarget.Settings {
	return fencetarget.Settings{Work: 10 * time.Millisecond, Slots: 4, ColdFor: cold}
}

// checkSpared checks that a server that is cold got no more requests than it bears.
func checkSpared(t *testing.T, server *deployment.Target, arrivals []fencetarget.Arrival, what string) {
	t.Helper()
	for i, last := range arrivals {
		first, _ := slices.BinarySearchFunc(arrivals, last.At.Add(-time.Second), func(a fencetarget.Arrival, at time.Time) int { return a.At.Compare(at) })
		assert.Assert(t, i-first < coldBound, "%s: %d requests in a second, %s after the start", what, i-first+1, last.At.Sub(time.UnixMilli(server.Born)))
	}
}
