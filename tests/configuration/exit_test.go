package configuration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/storestub"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

const (
	// exitCallers is the number of callers during an exit.
	exitCallers = 8
	// longService is the time of requests that are in flight during the exit;
	// it is longer than noWorkAfter.
	longService = 4 * time.Second
	// longRequests is the number of those requests.
	longRequests = 12
	// warmAnswers is the number of answers after which a target's cold-start limit
	// has reached its slots.
	warmAnswers = (targetSlots - manifest.DefaultColdSlots) * manifest.DefaultColdSuccesses
	// observed is how long the domain is watched after noWorkAfter.
	observed = 3 * time.Second
)

// TestExitOfAFailureDomain takes a failure domain out under load. Its targets
// get no new work after noWorkAfter and nothing in flight is cut, also with the
// faults that may come at the same moment. What is in flight through a VM that
// fails is not part of the exit, so the long requests avoid that VM.
func TestExitOfAFailureDomain(t *testing.T) {
	for _, test := range []struct {
		name string
		// fault returns the VM that fails, if one does.
		fault func(t *testing.T, c *cluster.Cluster) *cluster.VM
	}{
		{"without faults", func(*testing.T, *cluster.Cluster) *cluster.VM { return nil }},
		{"store fails right after acceptance", func(t *testing.T, c *cluster.Cluster) *cluster.VM {
			c.Store.SetFaults(t, storestub.Faults{OutageAfterWriteTo: manifest.ObjectName})
			return nil
		}},
		{"frozen controller", func(t *testing.T, c *cluster.Cluster) *cluster.VM {
			holder := controllerOf(t, c)
			holder.Freeze()
			t.Cleanup(holder.Thaw)
			return holder
		}},
		{"entry cut off", func(_ *testing.T, c *cluster.Cluster) *cluster.VM {
			last := len(c.VMs) - 1
			for other := range last {
				c.Partition(last, other)
			}
			c.VMs[last].StoreLink.Break()
			return c.VMs[last]
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := start(t, 9, 6, true)
			domain := c.Manifest.FailureDomains[0].Name
			l := startLoad(t, c, exitCallers)
			warmUp(t, c)
			keys := longKeys(t, c)
			failing := test.fault(t, c)
			long := startLongRequests(c, keys, failing)
			time.Sleep(500 * time.Millisecond)
			accepted := drainDomain(t, healthy(c, failing)[0], domain)
			time.Sleep(noWorkAfter + observed)
			long.Wait()
			l.end()
			t.Logf("outcomes %v", l.snapshot())
			assertNoNewWork(t, c, domain, accepted)
			long.assertAnswered(t)
		})
	}
}

// TestReturnOfAFailureDomain brings a failure domain back under load; its
// targets serve again.
func TestReturnOfAFailureDomain(t *testing.T) {
	c := start(t, 6, 6, false)
	domain := c.Manifest.FailureDomains[0].Name
	l := startLoad(t, c, exitCallers)
	time.Sleep(time.Second)
	drainDomain(t, c.VMs[1], domain)
	time.Sleep(noWorkAfter + observed)
	before := l.snapshot()
	answer, err := post(c.VMs[1], operatorv1.PathRestore, drainRequest(domain))
	assert.NilError(t, err)
	assert.Equal(t, answer.status, http.StatusOK, "%+v", answer.refused)
	restored := time.Now()
	inForce(t, c, answer.version)
	for _, target := range targetsIn(c, domain) {
		cluster.Eventually(t, cluster.ReadyLimit, target.Name+" serves again", func() error {
			if last := target.ReadRecord(t).LastStart; last.Before(restored) {
				return fmt.Errorf("its last request began at %s", last)
			}
			return nil
		})
	}
	t.Logf("serving again after %s; outcomes before the return %v, in all %v", time.Since(restored), before, l.snapshot())
	l.end()
	assert.Equal(t, len(l.broken), 0, strings.Join(l.broken, "\n"))
	assert.Equal(t, l.snapshot()["unknown"], 0)
}

// controllerOf returns the VM that holds the lease of the keyed service's cell.
func controllerOf(t *testing.T, c *cluster.Cluster) *cluster.VM {
	t.Helper()
	object, err := c.Store.Client.Get(t.Context(), "leases/slots/0")
	assert.NilError(t, err)
	for _, vm := range c.VMs {
		if strings.Contains(string(object.Value), `"`+vm.Name+`"`) {
			return vm
		}
	}
	t.Fatalf("no VM holds the lease %s", object.Value)
	return nil
}

func drainRequest(domain string) operatorv1.DrainRequest {
	return operatorv1.DrainRequest{OperationID: uuid.NewString(), Scope: manifest.ScopeFailureDomain, Name: domain}
}

// drainDomain takes a failure domain out through a VM and returns when that
// was accepted.
func drainDomain(t *testing.T, vm *cluster.VM, domain string) time.Time {
	t.Helper()
	answer, err := post(vm, operatorv1.PathDrain, drainRequest(domain))
	assert.NilError(t, err)
	assert.Equal(t, answer.status, http.StatusOK, "%+v", answer.refused)
	return time.Now()
}

// healthy returns the VMs that do not fail.
func healthy(c *cluster.Cluster, failing *cluster.VM) []*cluster.VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(vm *cluster.VM) bool { return vm == failing })
}

// targetsIn returns the targets of a failure domain.
func targetsIn(c *cluster.Cluster, domain string) []*cluster.Target {
	var found []*cluster.Target
	for i, declared := range c.Manifest.Targets {
		if declared.FailureDomain == domain {
			found = append(found, c.Targets[i])
		}
	}
	return found
}

// assertNoNewWork checks that no execution began in the domain later than
// noWorkAfter, and that there was work before.
func assertNoNewWork(t *testing.T, c *cluster.Cluster, domain string, accepted time.Time) {
	t.Helper()
	before, late := 0, 0
	var latest time.Duration
	for _, target := range targetsIn(c, domain) {
		for _, execution := range target.ReadRecord(t).Executions {
			since := execution.Start.Sub(accepted)
			latest = max(latest, since)
			if since > noWorkAfter {
				late++
			} else if since < 0 {
				before++
			}
		}
	}
	t.Logf("%d executions before the exit; the last began %s after acceptance", before, latest)
	assert.Check(t, before > 0, "the domain had no work before")
	assert.Check(t, late == 0, "%d executions began later than %s after acceptance", late, noWorkAfter)
}

// longRequest is the outcome of a request that is in flight during the exit.
type longRequest struct {
	key    string
	status int
	result string
	err    error
}

// longSet is a set of requests in flight.
type longSet struct {
	sync.WaitGroup
	requests []longRequest
}

// warmUp waits until the load has warmed all targets. A cold target runs one
// request at a time, so that long requests would wait there for each other until
// their deadline instead of being in flight.
func warmUp(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, target := range c.Targets {
		cluster.Eventually(t, cluster.ReadyLimit, target.Name+" is warm", func() error {
			if got := len(target.ReadRecord(t).Executions); got <= warmAnswers {
				return fmt.Errorf("it has run %d requests, not more than %d", got, warmAnswers)
			}
			return nil
		})
	}
}

// dispatchedKey is a key with its target and the VM that dispatches it.
type dispatchedKey struct{ key, target, dispatcher string }

// longKeys returns keys with their targets and dispatchers.
func longKeys(t *testing.T, c *cluster.Cluster) []dispatchedKey {
	t.Helper()
	var keys []dispatchedKey
	for i := range 3 * longRequests {
		var route operatorv1.Route
		key := fmt.Sprintf("long-%d", i)
		assert.NilError(t, get(c.VMs[0], operatorv1.PathRoutes+"?service=slots&key="+key, &route))
		assert.Assert(t, route.Target != nil, route.Explanation)
		keys = append(keys, dispatchedKey{key, route.Target.Name, route.Target.Dispatcher})
	}
	return keys
}

// startLongRequests starts requests that do not pass the VM that fails, on each
// target as many as it runs at once.
func startLongRequests(c *cluster.Cluster, keys []dispatchedKey, failing *cluster.VM) *longSet {
	set := &longSet{requests: make([]longRequest, 0, longRequests)}
	running := map[string]int{}
	for _, candidate := range keys {
		passes := failing == nil || candidate.dispatcher != failing.Name
		if passes && len(set.requests) < longRequests && running[candidate.target] < targetSlots {
			running[candidate.target]++
			set.requests = append(set.requests, longRequest{key: candidate.key})
		}
	}
	entries := healthy(c, failing)
	for i := range set.requests {
		set.Go(func() {
			r := &set.requests[i]
			r.status, r.result, r.err = call(entries[i%len(entries)], r.key, longService)
		})
	}
	return set
}

// assertAnswered checks that every request in flight was answered; one that was
// refused as not run was not cut either.
func (s *longSet) assertAnswered(t *testing.T) {
	t.Helper()
	answered := 0
	for _, r := range s.requests {
		ok := r.err == nil && (r.result == "answered" && r.status == http.StatusOK || r.result == "not-run")
		assert.Check(t, ok, "%+v", r)
		if r.result == "answered" {
			answered++
		}
	}
	t.Logf("%d of %d long requests answered", answered, len(s.requests))
	assert.Check(t, answered > 0, "%s", describe(s.requests))
}

func describe(value any) string {
	content, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(content)
}
