package platform_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/deployment"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// logBound is how long a line may wait before it is written.
const logBound = 2 * time.Second

// logLine is what the tests read of a log line on a request.
type logLine struct {
	Event   int    `json:"event"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Configuration and Term are the versions of what the VM knew.
	Configuration int     `json:"configuration"`
	Term          int     `json:"term"`
	Reason        string  `json:"reason"`
	RetryAfter    float64 `json:"retry_after"`
	Took          float64 `json:"took"`
	ServiceTime   float64 `json:"service_time"`
	MayHaveRun    bool    `json:"may_have_run"`
	Error         string  `json:"error"`
}

// linesOn returns the lines of a VM's log on a request by event; it waits until
// the last of the events is there.
func linesOn(t *testing.T, vm *deployment.VM, request string, last int) map[int]logLine {
	t.Helper()
	for deadline := time.Now().Add(logBound); ; time.Sleep(20 * time.Millisecond) {
		found := map[int]logLine{}
		for text := range strings.Lines(vm.Log()) {
			var line logLine
			if json.Unmarshal([]byte(text), &line) == nil && line.Request == request {
				found[line.Event] = line
			}
		}
		if _, there := found[last]; there {
			return found
		}
		assert.Assert(t, time.Now().Before(deadline), "no line %d on request %s: %v", last, request, found)
	}
}

// startSlow runs one VM with one server of the free service that works for a time
// on each request.
func startSlow(t *testing.T, work time.Duration, spoil func(*http.Request) string) *deployment.VM {
	d := deployment.New(t)
	d.AddTarget("free-0", "free", fencetarget.Settings{Slots: 4, Work: work, Fault: spoil})
	d.AddTarget("keyed-0", "keyed", fencetarget.Settings{})
	vm := d.AddVM()
	d.WaitReady(startBound)
	return vm
}

// sendAtOnce sends requests at the same time.
func sendAtOnce(t *testing.T, vm *deployment.VM, count int, path string) []deployment.Result {
	results := make([]deployment.Result, count)
	var done sync.WaitGroup
	for i := range results {
		done.Go(func() {
			caller := vm.Caller()
			defer caller.Close()
			results[i] = caller.Send(t.Context(), http.MethodGet, path, 0, nil)
		})
	}
	done.Wait()
	return results
}

// TestRefusalIsExplained follows the id of a refused request to what decided it.
func TestRefusalIsExplained(t *testing.T) {
	vm := startSlow(t, 400*time.Millisecond, nil)
	results := sendAtOnce(t, vm, 60, "/read/x")
	refused := slices.IndexFunc(results, func(r deployment.Result) bool { return r.Status == http.StatusServiceUnavailable })
	assert.Assert(t, refused >= 0, "none was refused: %v", results)
	line := linesOn(t, vm, results[refused].Attempt, 2102)[2102]
	assert.Equal(t, line.Reason, "would-be-late")
	assert.Equal(t, line.Service, "free")
	assert.Assert(t, line.RetryAfter > 0 && line.Configuration > 0 && line.Term > 0 && line.Route != "", "%+v", line)
}

// TestLossIsExplained follows the id of a 502 to the connection that broke.
func TestLossIsExplained(t *testing.T) {
	vm := startSlow(t, 10*time.Millisecond, func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			return "reset"
		}
		return ""
	})
	caller := vm.Caller()
	defer caller.Close()
	lost := caller.Send(t.Context(), http.MethodPost, "/once/x", 0, strings.NewReader("x"))
	assert.Equal(t, lost.Status, http.StatusBadGateway)
	lines := linesOn(t, vm, lost.Attempt, 2103)
	failed, attempt := lines[2103], lines[2104]
	assert.Equal(t, failed.Reason, "target-lost")
	assert.Assert(t, attempt.Target == "free-0" && attempt.MayHaveRun && attempt.Error != "", "%+v", attempt)
}

// TestLatenessIsExplained tells the target's part of a late answer from the wait.
func TestLatenessIsExplained(t *testing.T) {
	const work = 500 * time.Millisecond
	vm := startSlow(t, work, nil)
	late := sendAtOnce(t, vm, 1, "/read/x")[0]
	assert.Assert(t, late.Status == http.StatusOK && late.Took >= work, "%+v", late)
	line := linesOn(t, vm, late.Attempt, 2101)[2101]
	assert.Equal(t, line.Target, "free-0")
	milliseconds := float64(work.Milliseconds())
	assert.Assert(t, line.ServiceTime >= milliseconds && line.Took >= line.ServiceTime, "%+v", line)
}
