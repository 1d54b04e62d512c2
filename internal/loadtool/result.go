package loadtool

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency and latencyDigits bound the histogram's memory.
	longestLatency = 10 * time.Minute
	latencyDigits  = 3
)

// Percentiles of the latency that a result lists.
var percentiles = []float64{50, 90, 99, 99.9, 100}

// Result is what a load measured.
type Result struct {
	// Seconds is the time from the first request to the last answer.
	Seconds float64 `json:"seconds"`
	// Due is the number of requests that became due, Sent that of those sent.
	Due  int64 `json:"due"`
	Sent int64 `json:"sent"`
	// AnsweredPerSecond is the goodput.
	AnsweredPerSecond float64      `json:"answeredPerSecond"`
	Latency           []Percentile `json:"latency"`
	// AnsweredLatency leaves out requests that were not answered.
	AnsweredLatency []Percentile `json:"answeredLatency"`
	Outcomes        []Count      `json:"outcomes"`
	Reasons         []Count      `json:"reasons,omitempty"`
	Statuses        []Count      `json:"statuses"`
	Targets         []Count      `json:"targets,omitempty"`
	// Imbalance is the highest number of answers of a target over the mean; 0 if
	// answers do not name their targets.
	Imbalance float64 `json:"imbalance,omitempty"`
	Bytes     int64   `json:"bytes"`
}

// Percentile is a latency below which a share of the requests lies.
type Percentile struct {
	Percent      float64 `json:"percent"`
	Milliseconds float64 `json:"milliseconds"`
}

// Count is the number of requests with a property.
type Count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// collector gathers samples from many goroutines.
type collector struct {
	mu       sync.Mutex
	due      int64
	sent     int64
	bytes    int64
	all      *hdrhistogram.Histogram
	answered *hdrhistogram.Histogram
	outcomes map[string]int64
	reasons  map[string]int64
	statuses map[string]int64
	targets  map[string]int64
}

func newCollector() *collector {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)
	}
	return &collector{all: histogram(), answered: histogram(), outcomes: map[string]int64{}, reasons: map[string]int64{},
		statuses: map[string]int64{}, targets: map[string]int64{}}
}

// outcomeNotSent counts requests beyond the bound of requests in flight.
const outcomeNotSent = "not-sent"

func (c *collector) notSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due++
	c.outcomes[outcomeNotSent]++
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due++
	c.sent++
	c.bytes += s.bytes
	micros := min(max(s.latency.Microseconds(), 1), longestLatency.Microseconds())
	_ = c.all.RecordValue(micros)
	c.outcomes[s.outcome]++
	if s.reason != "" {
		c.reasons[s.reason]++
	}
	if s.status != 0 {
		c.statuses[fmt.Sprint(s.status)]++
	}
	if s.target != "" {
		c.targets[s.target]++
	}
	if s.answered() {
		_ = c.answered.RecordValue(micros)
	}
}

// answered reports whether the target's complete answer came back.
func (s *sample) answered() bool {
	return s.outcome == outcomeAnswered || s.outcome == outcomeNone && s.status < 400
}

// outcomeAnswered is the outcome of a complete answer.
const outcomeAnswered = "answered"

func (c *collector) result(spec *Spec, took time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{
		Seconds: took.Seconds(), Due: c.due, Sent: c.sent, Bytes: c.bytes,
		AnsweredPerSecond: float64(c.answered.TotalCount()) / spec.Duration.Seconds(),
		Latency:           latencies(c.all), AnsweredLatency: latencies(c.answered),
		Outcomes: counts(c.outcomes), Reasons: counts(c.reasons), Statuses: counts(c.statuses), Targets: counts(c.targets),
	}
	r.Imbalance = imbalance(r.Targets)
	return r
}

func latencies(h *hdrhistogram.Histogram) []Percentile {
	list := make([]Percentile, len(percentiles))
	for i, percent := range percentiles {
		list[i] = Percentile{Percent: percent, Milliseconds: float64(h.ValueAtQuantile(percent)) / 1000}
	}
	return list
}

// counts sorts counts by falling number, then by name.
func counts(values map[string]int64) []Count {
	list := make([]Count, 0, len(values))
	for name, count := range values {
		list = append(list, Count{name, count})
	}
	slices.SortFunc(list, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name)) })
	return list
}

func imbalance(targets []Count) float64 {
	total, highest := int64(0), int64(0)
	for _, target := range targets {
		total += target.Count
		highest = max(highest, target.Count)
	}
	if total == 0 {
		return 0
	}
	return float64(highest) * float64(len(targets)) / float64(total)
}

// Print writes the result as lines of tab-separated columns.
func (r *Result) Print(table io.Writer) {
	fmt.Fprintf(table, "due\t%d requests in %.1f s, %d sent, %.1f answered per second, %d bytes\n", r.Due, r.Seconds, r.Sent, r.AnsweredPerSecond, r.Bytes)
	printLatency(table, "latency", r.Latency)
	printLatency(table, "answered latency", r.AnsweredLatency)
	printCounts(table, "outcome", r.Outcomes)
	printCounts(table, "reason", r.Reasons)
	printCounts(table, "status", r.Statuses)
	printCounts(table, "target", r.Targets)
	if r.Imbalance > 0 {
		fmt.Fprintf(table, "imbalance\tmax/mean %.2f over %d targets\n", r.Imbalance, len(r.Targets))
	}
}

func printLatency(w io.Writer, name string, list []Percentile) {
	fmt.Fprintf(w, "%s\t", name)
	for _, p := range list {
		fmt.Fprintf(w, "p%g %.1f ms  ", p.Percent, p.Milliseconds)
	}
	fmt.Fprintln(w)
}

func printCounts(w io.Writer, name string, list []Count) {
	for _, c := range list {
		fmt.Fprintf(w, "%s %s\t%d\n", name, c.Name, c.Count)
	}
}
