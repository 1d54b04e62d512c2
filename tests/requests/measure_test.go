package requests

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/cluster"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/measure"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

const (
	measureSlots         = 2
	measureServiceMillis = 20
	// measureKeys is the number of keys of a measured keyed load.
	measureKeys = 2000
	slowdown    = 5
	slowFor     = 20 * time.Second
	settle      = 8 * time.Second
	// measureDeadline is when a caller of either side gives up.
	measureDeadline = 2 * time.Second
	// lateAfter is the time from which an answer counts as late.
	lateAfter = 500 * time.Millisecond
	// baselineConnections bounds the connections of a plain client to a target.
	baselineConnections = 260
	// latencyLimit caps recorded latencies, in microseconds.
	latencyLimit = 10_000_000
)

// figures are the results of one load.
type figures struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	answered int
	failed   map[string]int
	// late counts, by the second in which they were due, the requests that
	// failed or took longer than lateAfter.
	late []int
	// inTime counts the others.
	inTime []int
}

func newFigures() *figures {
	return &figures{latency: hdrhistogram.New(1, latencyLimit, 3), failed: map[string]int{}}
}

// add counts a request that was due at a time after the start; an empty failure
// means that it was answered.
func (f *figures) add(due, took time.Duration, failure string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	second := int(due / time.Second)
	for len(f.late) <= second {
		f.late, f.inTime = append(f.late, 0), append(f.inTime, 0)
	}
	if failure != "" || took > lateAfter {
		f.late[second]++
	} else {
		f.inTime[second]++
	}
	if failure != "" {
		f.failed[failure]++
		return
	}
	f.answered++
	_ = f.latency.RecordValue(min(took.Microseconds(), latencyLimit))
}

func (f *figures) String() string {
	at := func(quantile float64) float64 { return float64(f.latency.ValueAtQuantile(quantile)) / 1000 }
	return fmt.Sprintf("p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms, answered %d, others %v, late by second %v",
		at(50), at(99), at(99.9), f.answered, f.failed, f.late)
}

// path sends one request by its number and returns why it failed, or "".
type path func(ctx context.Context, number int) string

// offer sends requests at a rate for a time, without waiting for answers.
// started counts in latency: it runs from the moment the request was due.
func offer(perSecond float64, length time.Duration, send path) *figures {
	results := newFigures()
	var all sync.WaitGroup
	began := time.Now()
	interval := time.Duration(float64(time.Second) / perSecond)
	for number := 0; time.Duration(number)*interval < length; number++ {
		due := began.Add(time.Duration(number) * interval)
		time.Sleep(time.Until(due))
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, cancel := context.WithTimeout(context.Background(), measureDeadline)
			defer cancel()
			failure := send(ctx, number)
			results.add(due.Sub(began), time.Since(due), failure)
		}()
	}
	all.Wait()
	return results
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: baselineConnections, MaxConnsPerHost: baselineConnections}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// fetch sends one idempotent request and returns why it failed, or "".
func fetch(ctx context.Context, client *http.Client, url string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Chestnutcourse-Deadline-Ms", callDeadlineMillis)
	response, err := client.Do(request)
	if err != nil {
		return "no response"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "broken transfer"
	}
	if response.StatusCode == http.StatusOK {
		return ""
	}
	if reason := response.Header.Get(outcome.ReasonHeader); reason != "" {
		return reason
	}
	return response.Status
}

// through sends by the entries in turn.
func through(c *cluster.Cluster, client *http.Client, prefix string) path {
	return func(ctx context.Context, number int) string {
		vm := c.VMs[number%len(c.VMs)]
		return fetch(ctx, client, fmt.Sprintf("%s%s/%s/%d", vm.URL, prefix, measureKey(number), number))
	}
}

func measureKey(number int) string { return fmt.Sprintf("key-%d", number*7919%measureKeys) }

// byHash is the plain baseline of a keyed service: a fixed target per key, no
// relief and no limit.
func byHash(client *http.Client, targets []*faketarget.Server) path {
	return func(ctx context.Context, number int) string {
		key := measureKey(number)
		target := targets[assignment.CellOf(assignment.HashKey(key), len(targets))]
		return fetch(ctx, client, fmt.Sprintf("http://%s/board/%s/%d", target.Address(), key, number))
	}
}

// roundRobin is the plain baseline of a free service: each target in turn, no limit.
func roundRobin(client *http.Client, targets []*faketarget.Server) path {
	return func(ctx context.Context, number int) string {
		target := targets[number%len(targets)]
		return fetch(ctx, client, fmt.Sprintf("http://%s/roster/%d", target.Address(), number))
	}
}

func measured(name string, placement manifest.Placement, targets int) cluster.Service {
	service := cluster.Service{
		Declared: manifest.Service{
			Name: name, Match: manifest.Match{PathPrefix: "/" + name}, Placement: placement,
			Fencing: manifest.Checked, Grants: manifest.Expire,
		},
		Targets: targets, Slots: measureSlots, Connections: 260, Fake: measuredTarget(),
	}
	if placement == manifest.Keyed {
		service.Declared.Key = &manifest.Key{From: manifest.KeyFromPath}
		service.Fake.Grants, service.Fake.ChecksFences = faketarget.GrantsExpire, true
	}
	return service
}

func measuredTarget() faketarget.Settings {
	return faketarget.Settings{Slots: measureSlots, ServiceMillis: measureServiceMillis, Exponential: true, Seed: 1}
}

func plainTargets(t *testing.T, count int, settings faketarget.Settings) []*faketarget.Server {
	t.Helper()
	var servers []*faketarget.Server
	for range count {
		server, err := faketarget.Listen("127.0.0.1:0", settings)
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	return servers
}

// capacity returns how many requests per second targets serve at most.
func capacity(targets int) float64 {
	return float64(targets*measureSlots) * 1000 / measureServiceMillis
}

// TestMeasureStragglers measures latency while 0, 1 and 3 targets are slowed
// five times for 20 s, at 40% of capacity: 14 keyed and 6 freely placed
// targets, against hashing and round robin at targets of their own.
func TestMeasureStragglers(t *testing.T) {
	measure.Need(t)
	const keyed, free, share = 14, 6, 0.4
	c := cluster.Start(t, cluster.Options{
		VMs: vmCount, Decisions: "none",
		Services: []cluster.Service{measured("board", manifest.Keyed, keyed), measured("roster", manifest.Free, free)},
	})
	client := newClient(t)
	hashed, robin := plainTargets(t, keyed, measuredTarget()), plainTargets(t, free, measuredTarget())
	paths := []struct {
		name      string
		perSecond float64
		send      path
	}{
		{"keyed", capacity(keyed) * share, through(c, client, "/board")},
		{"keyed, plain hashing", capacity(keyed) * share, byHash(client, hashed)},
		{"free", capacity(free) * share, through(c, client, "/roster")},
		{"free, plain round robin", capacity(free) * share, roundRobin(client, robin)},
	}
	slow := func(count int, factor float64) {
		for i := range count {
			c.Targets[i].Set(t, map[string]any{"slowdown": factor})
			c.Targets[keyed+i].Set(t, map[string]any{"slowdown": factor})
			hashed[i].Change(func(s *faketarget.Settings) { s.Slowdown = factor })
			robin[i].Change(func(s *faketarget.Settings) { s.Slowdown = factor })
		}
	}
	offerAll := func(length time.Duration) []*figures {
		results := make([]*figures, len(paths))
		var all sync.WaitGroup
		for i := range paths {
			all.Add(1)
			go func() {
				defer all.Done()
				results[i] = offer(paths[i].perSecond, length, paths[i].send)
			}()
		}
		all.Wait()
		return results
	}
	offerAll(settle)
	for _, count := range []int{0, 1, 3} {
		slow(count, slowdown)
		results := offerAll(slowFor)
		slow(count, 1)
		for i := range paths {
			t.Logf("%d slowed: %s: %s", count, paths[i].name, results[i])
		}
		offerAll(settle)
	}
}

// TestMeasureOverload measures goodput at 1, 1.5 and 3 times capacity, and what
// callers that send everything again at once add to the targets' load.
func TestMeasureOverload(t *testing.T) {
	measure.Need(t)
	const targets, length = 8, 10 * time.Second
	c := cluster.Start(t, cluster.Options{
		VMs: vmCount, Decisions: "none", Services: []cluster.Service{measured("board", manifest.Keyed, targets)},
	})
	client := newClient(t)
	send := through(c, client, "/board")
	plain := plainTargets(t, targets, measuredTarget())
	offer(capacity(targets)*0.5, settle, send)
	for _, factor := range []float64{1, 1.5, 3} {
		result := offer(capacity(targets)*factor, length, send)
		baseline := offer(capacity(targets)*factor, length, byHash(client, plain))
		t.Logf("%.1f times capacity (%.0f/s): %.0f answered per second; plain hashing %.0f", factor, capacity(targets),
			float64(result.answered)/length.Seconds(), float64(baseline.answered)/length.Seconds())
		t.Logf("  %s; plain hashing %s", result, baseline)
	}
	var first, attempts atomic.Int64
	reached := received(t, c)
	storm := offer(capacity(targets)*1.5, length, func(ctx context.Context, number int) string {
		first.Add(1)
		failure := ""
		for range 3 {
			attempts.Add(1)
			if failure = send(ctx, number); failure == "" {
				return ""
			}
		}
		return failure
	})
	t.Logf("retry storm at 1.5 times capacity: %d requests, %d sent by callers, %d reached targets, %d answered",
		first.Load(), attempts.Load(), received(t, c)-reached, storm.answered)
}

// received counts the requests that reached targets, refused ones included.
func received(t *testing.T, c *cluster.Cluster) int {
	count := 0
	for _, reached := range receivedByTarget(t, c) {
		count += reached
	}
	return count
}

func receivedByTarget(t *testing.T, c *cluster.Cluster) []int {
	counts := make([]int, len(c.Targets))
	for i, target := range c.Targets {
		record := target.ReadRecord(t)
		counts[i] = len(record.Executions)
		for _, refused := range record.Refused {
			counts[i] += refused
		}
	}
	return counts
}

// TestMeasureColdRestart measures the way back to full goodput after all
// targets of a service were restarted under 80% load, for targets that collapse
// when they get more than one request while cold.
func TestMeasureColdRestart(t *testing.T) {
	measure.Need(t)
	const targets, length = 8, 20 * time.Second
	service := measured("board", manifest.Keyed, targets)
	service.Declared.ColdStart = manifest.ColdStart{Slots: 1, SuccessesPerStep: coldAnswers}
	cold := faketarget.Cold{Answers: coldAnswers, Slots: 1, Slowdown: 2, Collapse: 10}
	service.Fake.Cold = cold
	c := cluster.Start(t, cluster.Options{VMs: vmCount, Decisions: "none", Services: []cluster.Service{service}})
	client := newClient(t)
	send := through(c, client, "/board")
	offer(capacity(targets)*0.3, 2*settle, send)
	baselineSettings := measuredTarget()
	plain := plainTargets(t, targets, baselineSettings)
	for _, server := range plain {
		server.Change(func(s *faketarget.Settings) { s.Cold = cold })
	}
	restartTargets(c)
	var answered, baseline *figures
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		answered = offer(capacity(targets)*0.8, length, send)
	}()
	go func() {
		defer both.Done()
		baseline = offer(capacity(targets)*0.8, length, byHash(client, plain))
	}()
	both.Wait()
	t.Logf("offered %.0f/s; answered within %v, by the second after the restart: %v", capacity(targets)*0.8, lateAfter, answered.inTime)
	t.Logf("plain hashing: %v", baseline.inTime)
	t.Logf("requests by target: %v", receivedByTarget(t, c))
	t.Logf("causes of cold starts: %v", coldCauses(t, c))
	checkColdBound(t, c, "after a full restart under load")
}

// coldCauses counts the cold starts in the logs of all VMs by cause.
func coldCauses(t *testing.T, c *cluster.Cluster) map[string]int {
	t.Helper()
	causes := map[string]int{}
	for _, vm := range c.VMs {
		for line := range strings.Lines(vm.Log()) {
			var entry struct{ Name, Cause string }
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			switch entry.Name {
			case "target-cold":
				causes[entry.Cause]++
			case "target-stalled", "target-warm":
				causes[entry.Name]++
			}
		}
	}
	return causes
}
