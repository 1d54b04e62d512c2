// Package platform_test runs real daemons against stand-ins of the users'
// platform and servers.
package platform_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

func TestMain(m *testing.M) { cluster.Main(m) }

const (
	// startBound is how long a deployment may take to serve.
	startBound = 10 * time.Second
	// drainBound is the time from a server's notice to its last new request.
	drainBound = 2 * time.Second
	// applyBound is the time within which a configuration is in force.
	applyBound = 2 * time.Second
	// stopBound is the time from SIGTERM to SIGKILL.
	stopBound = 6 * time.Second
	// idleBound is the time after which servers close idle connections.
	idleBound = 10 * time.Second
)

// serversEach is the number of servers of each service that start runs.
const serversEach = 3

// start runs some VMs with servers of each service.
func start(t *testing.T, vms int) *deployment.Deployment {
	return startWorking(t, vms, 20*time.Millisecond)
}

// startWorking is like start, with servers of the free service that work for a time on each
// request.
func startWorking(t *testing.T, vms int, work time.Duration) *deployment.Deployment {
	d := deployment.New(t)
	for i := range serversEach {
		d.AddTarget(fmt.Sprintf("free-%d", i), "free", fencetarget.Settings{Work: work})
		d.AddTarget(fmt.Sprintf("keyed-%d", i), "keyed", fencetarget.Settings{Work: 10 * time.Millisecond})
	}
	for range vms {
		d.AddVM()
	}
	d.WaitReady(startBound)
	return d
}

// freeRuns returns how often the servers of the free service ran each request.
func freeRuns(d *deployment.Deployment) map[string]int {
	runs := map[string]int{}
	for i := range serversEach {
		for _, run := range d.Target(fmt.Sprintf("free-%d", i)).Runs() {
			runs[run.Attempt]++
		}
	}
	return runs
}

// traffic sends requests to VMs until it is stopped.
type traffic struct {
	mu      sync.Mutex
	results []deployment.Result
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func send(t *testing.T, vms []*deployment.VM, path string, each time.Duration) *traffic {
	ctx, cancel := context.WithCancel(t.Context())
	load := &traffic{stop: cancel}
	for i, vm := range vms {
		load.done.Go(func() {
			caller := vm.Caller()
			defer caller.Close()
			for key := i; ctx.Err() == nil; key++ {
				method, body := http.MethodGet, io.Reader(nil)
				if strings.HasPrefix(path, "/once/") {
					method, body = http.MethodPost, strings.NewReader("x")
				}
				r := caller.Send(t.Context(), method, path, key*deployment.KeyStep%65536, body)
				load.mu.Lock()
				load.results = append(load.results, r)
				load.mu.Unlock()
				time.Sleep(each)
			}
		})
	}
	return load
}

// end stops the traffic and returns what callers got.
func (l *traffic) end() []deployment.Result {
	l.stop()
	l.done.Wait()
	return l.results
}

func failures(results []deployment.Result) (failed []deployment.Result) {
	for _, r := range results {
		if r.Err != nil || !r.Whole {
			failed = append(failed, r)
		}
	}
	return failed
}

// TestPath: requests of every kind get their answers from any VM.
func TestPath(t *testing.T) {
	d := start(t, 3)
	for _, path := range []string{"/read/x", "/once/x", "/keyed/x"} {
		load := send(t, d.VMs, path, 5*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		results := load.end()
		assert.Assert(t, len(results) > 20)
		assert.Equal(t, len(failures(results)), 0, "%v", failures(results))
	}
	response, err := http.Get("http://" + d.VMs[0].Metrics + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "requests_answered"), "the metrics lack the answered requests")
}

// TestLeaderIsKilled: the others go on, keys are served again within a second.
func TestLeaderIsKilled(t *testing.T) {
	d := start(t, 3)
	leader := d.Leader()
	var others []*deployment.VM
	for _, vm := range d.VMs {
		if vm != leader {
			others = append(others, vm)
		}
	}
	load := send(t, others, "/keyed/x", 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	leader.Kill()
	time.Sleep(2500 * time.Millisecond)
	results := load.end()
	next := d.Leader()
	assert.Assert(t, next != nil && next != leader)
	// Both callers send each 10 ms and more; a second of failures is the bound.
	failed := failures(results)
	assert.Assert(t, len(failed) < 2*100, "%d of %d requests failed", len(failed), len(results))
	assert.Assert(t, len(failures(results[len(results)-20:])) == 0)
}

// TestStopLosesNothing: SIGTERM to each VM in turn, also the leader, under
// traffic on kept connections.
func TestStopLosesNothing(t *testing.T) {
	d := start(t, 3)
	load := send(t, d.VMs, "/once/x", 5*time.Millisecond)
	leader := d.Leader()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, leader.Stop(stopBound))
	results := load.end()
	for _, r := range results {
		// New connections to a VM that has ended are refused: nothing was read.
		if r.Err != nil {
			assert.ErrorContains(t, r.Err, "connection refused")
			continue
		}
		assert.Assert(t, r.Whole || r.Status == http.StatusServiceUnavailable, "%v", r)
	}
}

// TestSettingsChangeLosesNothing: SIGHUP.
func TestSettingsChangeLosesNothing(t *testing.T) {
	d := start(t, 1)
	load := send(t, d.VMs, "/read/x", 5*time.Millisecond)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		d.VMs[0].Signal(hangUp)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(failures(load.end())), 0)
	assert.Equal(t, strings.Count(d.VMs[0].Log(), `"name":"settings-read"`), 3)
	d.VMs[0].SpoilSettings()
	d.VMs[0].Signal(hangUp)
	cluster.Eventually(t, time.Second, "the unusable settings are reported", func() error {
		if !strings.Contains(d.VMs[0].Log(), `"name":"settings-invalid"`) {
			return errors.New("no line about them")
		}
		return nil
	})
}

// TestSignalsAtStart that come before the runtime or while the packages of the daemon
// are being initialised do not end it, or end it in good order. The kernel and the
// runtime's trace show from when on; what is sent before that ends any program.
func TestSignalsAtStart(t *testing.T) {
	t.Setenv("GODEBUG", "inittrace=1")
	d := deployment.New(t)
	d.AddTarget("free-0", "free", fencetarget.Settings{})
	d.AddTarget("keyed-0", "keyed", fencetarget.Settings{})
	vm := d.AddVM()
	for starts := 1; !awaitSignals(t, vm, starts, ignoresHangUp); starts++ {
		// The time was too short to be seen from here.
		assert.Assert(t, starts < 20, "SIGHUP is not ignored before the daemon takes it")
		vm.Kill()
		vm.Start()
	}
	hangUpOften(vm)
	d.WaitReady(startBound)
	assert.Equal(t, vm.Ended(), "")

	vm = d.AddVM()
	awaitSignals(t, vm, 1, nil)
	hangUpOften(vm)
	d.WaitReady(startBound)
	assert.Equal(t, vm.Ended(), "")

	vm = d.AddVM()
	awaitSignals(t, vm, 1, nil)
	assert.NilError(t, vm.Stop(stopBound))
	assert.Equal(t, vm.Ended(), "exit status 0")
}

// awaitSignals waits until a daemon takes signals in its latest start, and reports
// whether something held before that; it then returns at once.
func awaitSignals(t *testing.T, vm *deployment.VM, starts int, before func(*deployment.VM) bool) bool {
	deadline := time.Now().Add(startBound)
	for strings.Count(vm.Log(), "/internal/process/signals @") < starts {
		if before != nil && before(vm) {
			return true
		}
		assert.Assert(t, time.Now().Before(deadline), "the daemon does not take signals while it is initialised (%s)", cmp.Or(vm.Ended(), "it runs"))
		time.Sleep(100 * time.Microsecond)
	}
	return false
}

func hangUpOften(vm *deployment.VM) {
	for range 20 {
		vm.Signal(hangUp)
		time.Sleep(time.Millisecond)
	}
}

func ignoresHangUp(vm *deployment.VM) bool {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.Pid()))
	_, ignored, _ := strings.Cut(string(status), "SigIgn:\t")
	ignored, _, _ = strings.Cut(ignored, "\n")
	signals, _ := strconv.ParseUint(ignored, 16, 64)
	return signals&1 != 0
}

// TestDrainingServerGetsNothing after the bound, and no request fails.
func TestDrainingServerGetsNothing(t *testing.T) {
	for _, id := range []string{"free-0", "keyed-0"} {
		d := start(t, 2)
		path := "/read/x"
		if strings.HasPrefix(id, "keyed") {
			path = "/keyed/x"
		}
		load := send(t, d.VMs, path, 5*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		d.Register(id, "draining")
		acknowledged := time.Now()
		time.Sleep(drainBound + time.Second)
		assert.Equal(t, len(failures(load.end())), 0)
		for _, run := range d.Target(id).Runs() {
			assert.Assert(t, run.At.Sub(acknowledged) < drainBound, "%s ran a request %s after its notice", id, run.At.Sub(acknowledged))
		}
	}
}

// TestEvacuatedDomainGetsNothing: all servers lie in one domain, so that
// requests are refused as not run, until it is restored.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	d := start(t, 2)
	d.Store.Set("evacuations", "a", map[string]any{}, nil)
	time.Sleep(applyBound)
	caller := d.VMs[1].Caller()
	defer caller.Close()
	assert.Equal(t, caller.Send(t.Context(), http.MethodGet, "/read/x", 0, nil).Status, http.StatusServiceUnavailable)
	d.Store.Remove("evacuations", "a")
	time.Sleep(applyBound)
	assert.Assert(t, caller.Send(t.Context(), http.MethodGet, "/read/x", 0, nil).Whole)
}

// TestConfigurationIsInForce on every VM within the bound, also while the store
// has dropped its history without a word, and unreadable entries change nothing.
func TestConfigurationIsInForce(t *testing.T) {
	d := start(t, 3)
	d.Store.Set("servers", "forged", map[string]any{"address": 7}, nil)
	d.Store.Set("servers", "broken", "text", nil)
	d.Store.SetFaults(platformstub.Faults{MuteWatches: true})
	d.Configure(map[string]string{"/added/": "free"})
	d.Store.DropHistory()
	time.Sleep(300 * time.Millisecond)
	d.Store.SetFaults(platformstub.Faults{})
	time.Sleep(applyBound - 300*time.Millisecond)
	for _, vm := range d.VMs {
		caller := vm.Caller()
		r := caller.Send(t.Context(), http.MethodGet, "/added/x", 0, nil)
		assert.Assert(t, r.Whole, "%s answers %d", vm.Name, r.Status)
		caller.Close()
	}
}

// TestStoreOutage: requests go on, keys stay with their owners. A VM that has not heard
// of a leader before the outage cannot find one in it.
func TestStoreOutage(t *testing.T) {
	for _, faults := range []platformstub.Faults{{Status: http.StatusServiceUnavailable}, {Silent: true}} {
		d := start(t, 3)
		for _, vm := range d.VMs {
			cluster.Eventually(t, startBound, vm.Name+" serves keys", func() error { return servesKeys(t, vm) })
		}
		d.Store.SetFaults(faults)
		load := send(t, d.VMs, "/keyed/x", 10*time.Millisecond)
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(failures(load.end())), 0)
	}
}

// servesKeys returns an error until a VM serves a key, for which it needs a leader.
func servesKeys(t *testing.T, vm *deployment.VM) error {
	caller := vm.Caller()
	defer caller.Close()
	if r := caller.Send(t.Context(), http.MethodGet, "/keyed/x", 0, nil); !r.Whole {
		return fmt.Errorf("answered with status %d and error %v", r.Status, r.Err)
	}
	return nil
}

// TestServerEnds: its keys are served by others once its last grants have run out, 3.34 s
// after they arrived at most, and requests of the free service go on.
func TestServerEnds(t *testing.T) {
	d := start(t, 2)
	load := send(t, d.VMs, "/read/x", 10*time.Millisecond)
	d.EndTarget("keyed-1")
	d.EndTarget("free-1")
	began := time.Now()
	caller := d.VMs[0].Caller()
	defer caller.Close()
	for key := 0; key < 65536; key += deployment.KeyStep {
		for !caller.Send(t.Context(), http.MethodGet, "/keyed/x", key, nil).Whole {
			assert.Assert(t, time.Since(began) < 4*time.Second, "key %d is not served again", key)
			time.Sleep(10 * time.Millisecond)
		}
	}
	assert.Equal(t, len(failures(load.end())), 0)
}

// TestOddEntriesChangeNothing: entries of another writer among those of the servers end no
// process and name no server; callers are served, and the servers that come after them are
// used, also after the leader has changed, so that the next one lists them anew.
func TestOddEntriesChangeNothing(t *testing.T) {
	d := start(t, 3)
	former := d.Leader()
	others := slices.DeleteFunc(slices.Clone(d.VMs), func(vm *deployment.VM) bool { return vm == former })
	load := send(t, others, "/once/x", 20*time.Millisecond)
	for n := range deployment.OddEntries {
		d.SetOddEntry(n)
	}
	time.Sleep(time.Second)
	assert.Equal(t, former.Ended(), "")
	former.Kill()
	former.Start()
	added := d.AddTarget("free-after", "free", fencetarget.Settings{Work: 20 * time.Millisecond})
	d.WaitReady(startBound)
	for i := range 3 {
		d.Register(fmt.Sprintf("free-%d", i), "draining")
	}
	time.Sleep(2 * drainBound)
	assert.Assert(t, len(added.Runs()) > 0, "a server that came after the odd entries is not used")
	results := load.end()
	assert.Equal(t, len(failures(results)), 0, "of %d: %v", len(results), failures(results))
	for _, vm := range d.VMs {
		assert.Equal(t, vm.Ended(), "", vm.Name)
	}
}

// TestAddressUsedAgain: a server of another service takes over the address of
// one that is gone; no request is run by the wrong one.
func TestAddressUsedAgain(t *testing.T) {
	d := start(t, 1)
	old := d.Target("free-0")
	impostor := fencetarget.New(fencetarget.Settings{ID: "other"})
	listener := startServer(t, impostor)
	old.Link.Redirect(listener)
	load := send(t, d.VMs, "/once/x", 5*time.Millisecond)
	time.Sleep(time.Second)
	assert.Equal(t, len(failures(load.end())), 0)
	assert.Equal(t, len(impostor.Runs()), 0)
}

// TestIdleConnectionWithBytesWithoutEndIsClosed although no request uses it again.
func TestIdleConnectionWithBytesWithoutEndIsClosed(t *testing.T) {
	d := deployment.New(t)
	d.AddTarget("free-0", "free", fencetarget.Settings{})
	d.AddTarget("keyed-0", "keyed", fencetarget.Settings{})
	d.AddVM()
	d.WaitReady(startBound)
	var asked atomic.Pointer[http.Request]
	server := fencetarget.New(fencetarget.Settings{ID: "free-0", Fault: func(r *http.Request) string {
		if asked.CompareAndSwap(nil, r) {
			return "babble"
		}
		return ""
	}})
	closed := make(chan struct{})
	d.Target("free-0").Link.Redirect(startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r)
		if asked.Load() == r {
			close(closed)
		}
	})))
	caller := d.VMs[0].Caller()
	defer caller.Close()
	r := caller.Send(t.Context(), http.MethodGet, "/read/x", 0, nil)
	assert.Assert(t, r.Err == nil && r.Whole, "%v", r)
	assert.Assert(t, asked.Load() != nil)
	select {
	case <-closed:
	case <-time.After(idleBound):
		t.Fatal("the connection is still open")
	}
}
