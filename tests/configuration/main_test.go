// Package configuration tests with real processes how changes of the manifest
// reach every VM, under cut links, lost VMs and a failing store.
package configuration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// targetSlots is the number of requests that a target runs at once.
const targetSlots = 4

// Stated targets.
const (
	// inForceBound is the time in which an accepted change is in force on every
	// reachable VM.
	inForceBound = 5 * time.Second
	// noWorkAfter is the time after which what was taken out gets no new work.
	noWorkAfter = 3 * time.Second
	// callTimeout bounds one call to a VM.
	callTimeout = 15 * time.Second
	// pollInterval is the interval at which VMs are asked for their version.
	pollInterval = 20 * time.Millisecond
	// logDelay is longer than the time for which a VM gathers log lines.
	logDelay = 300 * time.Millisecond
)

func TestMain(m *testing.M) { cluster.Main(m) }

var httpClient = &http.Client{Timeout: callTimeout}

// start starts a deployment with a keyed service and waits until every VM knows
// all others and every target has a dispatcher.
func start(t *testing.T, vms, targets int, links bool) *cluster.Cluster {
	t.Helper()
	c := cluster.Start(t, cluster.Options{VMs: vms, PeerLinks: links, Decisions: "none", Services: []cluster.Service{{
		Declared: manifest.Service{
			Name: "slots", Match: manifest.Match{PathPrefix: "/slots"}, Placement: manifest.Keyed,
			Key: &manifest.Key{From: manifest.KeyFromPath}, Fencing: manifest.Checked, Grants: manifest.Expire,
		},
		Targets: targets, Slots: targetSlots,
		Fake: faketarget.Settings{ServiceMillis: 1, Grants: faketarget.GrantsExpire, ChecksFences: true},
	}}})
	for _, vm := range c.VMs {
		cluster.Eventually(t, cluster.ReadyLimit, vm.Name+" knows the deployment", func() error { return settled(vm, vms) })
	}
	return c
}

// settled reports what a VM does not know yet.
func settled(vm *cluster.VM, vms int) error {
	var status operatorv1.Status
	if err := get(vm, operatorv1.PathStatus, &status); err != nil {
		return err
	}
	if len(status.VMs) != vms {
		return fmt.Errorf("it knows %d VMs", len(status.VMs))
	}
	var targets []operatorv1.Target
	if err := get(vm, operatorv1.PathTargets, &targets); err != nil {
		return err
	}
	for _, target := range targets {
		if target.Dispatcher == "" || target.HandingOver != "" {
			return fmt.Errorf("target %s has no dispatcher yet", target.Name)
		}
	}
	return nil
}

// get reads a resource of a VM's operators' API.
func get(vm *cluster.VM, path string, result any) error {
	response, err := httpClient.Get(vm.Operators + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// change is the answer of a VM to a change.
type change struct {
	status  int
	version int64
	refused operatorv1.Error
}

// post makes a change at a VM.
func post(vm *cluster.VM, path string, body any) (change, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return change{}, err
	}
	response, err := httpClient.Post(vm.Operators+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return change{}, err
	}
	defer response.Body.Close()
	answer := change{status: response.StatusCode}
	if answer.status != http.StatusOK {
		return answer, json.NewDecoder(response.Body).Decode(&answer.refused)
	}
	var accepted operatorv1.Accepted
	err = json.NewDecoder(response.Body).Decode(&accepted)
	answer.version = accepted.Version
	return answer, err
}

// current returns the manifest in force at a VM.
func current(t *testing.T, vm *cluster.VM) operatorv1.Manifest {
	t.Helper()
	var shown operatorv1.Manifest
	assert.NilError(t, get(vm, operatorv1.PathManifest, &shown))
	return shown
}

// submission returns a change of a manifest that no other submission makes.
func submission(t *testing.T, shown operatorv1.Manifest) operatorv1.Submission {
	t.Helper()
	next := shown.Manifest.Clone()
	id := uuid.NewString()
	next.DrainVMs = append(next.DrainVMs, "none-"+id)
	document, err := json.Marshal(next)
	assert.NilError(t, err)
	return operatorv1.Submission{OperationID: id, Replaces: shown.Version, Manifest: document}
}

// submit makes a change at a VM and returns the version.
func submit(t *testing.T, vm *cluster.VM) int64 {
	t.Helper()
	answer, err := post(vm, operatorv1.PathManifest, submission(t, current(t, vm)))
	assert.NilError(t, err)
	assert.Equal(t, answer.status, http.StatusOK, "%+v", answer.refused)
	return answer.version
}

// inForce waits until the version is in force on all VMs but the excepted, and
// returns when it was on each.
func inForce(t *testing.T, c *cluster.Cluster, version int64, except ...*cluster.VM) []time.Duration {
	t.Helper()
	started := time.Now()
	times := make([]time.Duration, len(c.VMs))
	var group sync.WaitGroup
	for i, vm := range c.VMs {
		if slices.Contains(except, vm) {
			continue
		}
		group.Go(func() { times[i] = waitForVersion(t, vm, version, started) })
	}
	group.Wait()
	return slices.DeleteFunc(times, func(d time.Duration) bool { return d == 0 })
}

// waitForVersion returns how long after the start a VM had the version.
func waitForVersion(t *testing.T, vm *cluster.VM, version int64, started time.Time) time.Duration {
	for {
		var status operatorv1.Status
		err := get(vm, operatorv1.PathStatus, &status)
		elapsed := time.Since(started)
		if err == nil && status.ManifestVersion >= version {
			return elapsed
		}
		if elapsed > inForceBound {
			t.Errorf("%s has version %d after %s, not %d (%v)", vm.Name, status.ManifestVersion, elapsed, version, err)
			return elapsed
		}
		time.Sleep(pollInterval)
	}
}

// publishedVersions reads from a VM's log which versions of the manifest came
// into force there, in order, over all of its starts. Lines of the last
// logDelay may be missing.
func publishedVersions(t *testing.T, vm *cluster.VM) []int64 {
	t.Helper()
	file, err := os.Open(vm.LogPath)
	assert.NilError(t, err)
	defer file.Close()
	var versions []int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Event   int   `json:"event"`
			Version int64 `json:"version"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == events.ManifestInForce.Number {
			versions = append(versions, line.Version)
		}
	}
	assert.NilError(t, lines.Err())
	return versions
}

// assertNeverReverted checks the logs of all VMs.
func assertNeverReverted(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	time.Sleep(logDelay)
	for _, vm := range c.VMs {
		versions := publishedVersions(t, vm)
		assert.Check(t, len(versions) > 0 && slices.IsSorted(versions), "%s had the versions %v", vm.Name, versions)
	}
}

// call sends a keyed request to a VM and returns the status and the outcome.
func call(vm *cluster.VM, key string, serviceTime time.Duration) (int, string, error) {
	request, err := http.NewRequest(http.MethodGet, vm.URL+"/slots/"+key, nil)
	if err != nil {
		return 0, "", err
	}
	if serviceTime > 0 {
		request.Header.Set(faketarget.HeaderServiceMillis, fmt.Sprint(serviceTime.Milliseconds()))
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get(outcome.Header), nil
}
