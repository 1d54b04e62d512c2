package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// useDesk lets a desk decide, as the broker of the service or without any.
func (f *fixture) useDesk(isBroker bool) {
	if isBroker {
		f.view.Brokers = map[string]string{"s": "vm"}
	}
	f.desk = permits.New(permits.Config{
		Self: "vm", View: func() *fleet.View { return f.view }, Alive: func(string) bool { return false },
		Broker: admission.Config{Budget: admission.Budget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}, ColdFactor: 1.5},
	})
	f.desk.Update(f.view)
}

// TestTargetsAreTakenAtTheirWord guards against requests to a target that says in its
// responses that it is leaving, or asks for a back-off when it refuses: with and without a
// broker no further request reaches it, until the back-off ends, and callers are served by
// others.
func TestTargetsAreTakenAtTheirWord(t *testing.T) {
	const rest = 600 * time.Millisecond
	for name, c := range map[string]struct {
		fault  string
		notice map[string]string
	}{
		"leaving":          {"", map[string]string{"Server-Leaving": "1"}},
		"leaving, refuses": {"refuse", map[string]string{"Server-Leaving": "1"}},
		"back-off":         {"refuse", map[string]string{"Retry-After": "0.600"}},
	} {
		for _, isBroker := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", broker ", isBroker), func(t *testing.T) {
				t.Parallel()
				f := startFixture(t, c.fault, "")
				for _, target := range f.view.Targets {
					target.Slots = 1
				}
				f.targets[0].Notice = func() map[string]string { return c.notice }
				f.useDesk(isBroker)
				// Two requests at once need both targets, which have one slot each. Without a broker
				// nothing is repeated, so the first refusal reaches its caller.
				var lost atomic.Int32
				for i := 0; len(f.targets[0].Arrivals()) == 0; i++ {
					assert.Assert(t, i < 1000, "no request reached the target")
					var group sync.WaitGroup
					for worker := range 2 {
						group.Go(func() {
							if answer := f.send(t, "POST", "/once/", fmt.Sprint("first", i, "-", worker), "body"); answer.status != 200 {
								lost.Add(1)
							}
						})
					}
					group.Wait()
				}
				at := f.targets[0].Arrivals()[0].At
				var group sync.WaitGroup
				for worker := range 4 {
					group.Go(func() {
						for i := 0; time.Since(at) < rest-50*time.Millisecond; i++ {
							answer := f.send(t, "POST", "/once/", fmt.Sprint("a", worker, "-", i), "body")
							assert.Check(t, answer.status == 200 || answer.status == 503, "%+v", answer)
						}
					})
				}
				group.Wait()
				assert.Equal(t, len(f.targets[0].Arrivals()), 1)
				assert.Assert(t, len(f.targets[1].Arrivals()) > 10, "%d", len(f.targets[1].Arrivals()))
				assert.Assert(t, lost.Load() == 0 || lost.Load() == 1 && !isBroker && c.fault != "", "%d lost", lost.Load())
				time.Sleep(time.Until(at.Add(rest + 100*time.Millisecond)))
				for i := range 20 {
					f.send(t, "POST", "/once/", fmt.Sprint("later", i), "body")
				}
				if c.notice["Server-Leaving"] != "" {
					assert.Equal(t, len(f.targets[0].Arrivals()), 1, "requests reached a leaving target")
				}
			})
		}
	}
}

// TestWordIsHeededRightBeforeSending guards against the use of a permit that was granted
// before its target restricted requests.
func TestWordIsHeededRightBeforeSending(t *testing.T) {
	f := startFixture(t, "", "")
	f.restricted = map[fleet.Life]bool{{ID: "t0", Born: 1}: true}
	answer := f.send(t, "POST", "/once/", "a1", "body")
	assert.Equal(t, answer.status, 200)
	assert.Equal(t, len(f.targets[0].Arrivals()), 0)
	assert.DeepEqual(t, f.endResults(), []admission.Result{admission.Canceled, admission.Answered})
}

// TestUnansweredRequestIsSentElsewhere guards against callers that wait until their deadline
// for a target that does not answer what it cannot queue. Once this VM has seen that, a
// repeatable request is sent to another target while it can be answered in time, and others
// are not. A service whose targets merely take long is served as before.
func TestUnansweredRequestIsSentElsewhere(t *testing.T) {
	f := startFixture(t, "", "")
	f.useDesk(true)
	var mu sync.Mutex
	seen := map[string]bool{}
	for _, target := range f.targets {
		target.Fault = func(r *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			attempt := r.Header.Get("Attempt-Id")
			if first := !seen[attempt]; first && strings.HasPrefix(attempt, "hangs") {
				seen[attempt] = true
				return "silent"
			}
			return ""
		}
	}
	aim, deadline := f.view.Config.Routes[0].Aim, 800*time.Millisecond
	send := func(path, attempt string) (callerResponse, time.Duration) {
		began := time.Now()
		answer := f.sendWithin(t, deadline, "POST", path, attempt, "body")
		assert.NilError(t, answer.err)
		return answer, time.Since(began)
	}

	answer, _ := send("/safe/", "hangs1")
	assert.Equal(t, answer.status, http.StatusGatewayTimeout, "the target may have ended: nothing shows that it hangs")
	assert.Assert(t, !f.desk.Hangs("s"))

	// overtaken sends a request that hangs, and others that are answered an aim later.
	overtaken := func(attempt string) (answer callerResponse, took time.Duration) {
		time.Sleep(2 * aim)
		var group sync.WaitGroup
		group.Go(func() { answer, took = send("/safe/", attempt) })
		time.Sleep(aim + 50*time.Millisecond)
		for i := range 30 {
			group.Go(func() { f.send(t, "POST", "/safe/", fmt.Sprint(attempt, "-a", i)[len("hangs"):], "body") })
		}
		group.Wait()
		return answer, took
	}
	answer, _ = overtaken("hangs2")
	assert.Equal(t, answer.status, http.StatusGatewayTimeout)
	assert.Assert(t, f.desk.Hangs("s"), "the target has answered later requests")

	answer, took := overtaken("hangs3")
	assert.Equal(t, answer.status, 200)
	assert.Assert(t, took >= 2*aim && took < deadline, "%s", took)
	f.stopBy = time.Now().Add(time.Minute)
	answer, took = overtaken("hangs6")
	assert.Equal(t, answer.status, http.StatusGatewayTimeout, "a stopping VM waits for targets that may be at work")
	assert.Assert(t, took > deadline-aim, "given up after %s", took)
	f.stopBy = time.Time{}
	time.Sleep(2 * aim)
	answer, took = send("/safe/", "hangs5")
	assert.Equal(t, answer.status, http.StatusGatewayTimeout, "the target may be slow: it has answered no later request")
	assert.Assert(t, took > deadline-aim, "given up after %s", took)
	time.Sleep(2 * aim)
	answer, took = send("/once/", "hangs4")
	assert.Equal(t, answer.status, http.StatusGatewayTimeout)
	assert.Assert(t, took > deadline-aim, "given up after %s", took)
	runs := map[string]int{}
	for _, run := range f.runs() {
		runs[run.Attempt]++
	}
	assert.Equal(t, runs["hangs3"], 2)
	assert.Equal(t, runs["hangs4"], 1)
	results := f.endResults()
	assert.Equal(t, results[len(results)-1], admission.Unanswered)
}
