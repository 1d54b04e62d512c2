package loadtool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// drainLimit bounds the bytes of an answer that are read.
const drainLimit = 1 << 30

// Run sends the load and waits for the last answer. It ends early when the
// context ends.
func Run(ctx context.Context, spec Spec) (*Result, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	r := newRunner(&spec)
	defer r.client.CloseIdleConnections()
	began := time.Now()
	interval := time.Duration(float64(time.Second) / spec.Rate)
	due := began
	for number := 0; due.Sub(began) < spec.Duration; number++ {
		if !sleepUntil(ctx, due) {
			break
		}
		r.start(ctx, number, due)
		due = began.Add(time.Duration(number+1) * interval)
	}
	r.running.Wait()
	return r.collector.result(&spec, time.Since(began)), nil
}

// runner sends the requests of one load.
type runner struct {
	spec      *Spec
	client    *http.Client
	keys      *keySource
	body      []byte
	slots     chan struct{}
	running   sync.WaitGroup
	collector *collector
}

func newRunner(spec *Spec) *runner {
	transport := &http.Transport{MaxIdleConnsPerHost: spec.MaxInFlight, MaxConnsPerHost: spec.MaxInFlight, DisableCompression: true}
	return &runner{
		spec: spec, client: &http.Client{Transport: transport, Timeout: spec.Timeout},
		keys: newKeySource(spec), body: bytes.Repeat([]byte{'x'}, spec.BodyBytes),
		slots: make(chan struct{}, spec.MaxInFlight), collector: newCollector(),
	}
}

// sleepUntil reports false if the context ends first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// start sends one request unless too many are in flight.
func (r *runner) start(ctx context.Context, number int, due time.Time) {
	key := r.keys.next()
	select {
	case r.slots <- struct{}{}:
	default:
		r.collector.notSent()
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer func() { <-r.slots }()
		r.collector.add(r.send(ctx, number, key, due))
	}()
}

// sample is what became of one request.
type sample struct {
	latency time.Duration
	outcome string
	reason  string
	target  string
	status  int
	bytes   int64
}

// Outcomes of requests whose answer does not state one.
const (
	outcomeNone   = "none"
	outcomeBroken = "broken"
)

// send sends one request and reads the whole answer.
func (r *runner) send(ctx context.Context, number int, key string, due time.Time) sample {
	request, err := r.request(ctx, number, key)
	if err != nil {
		return sample{outcome: outcomeBroken, reason: "request"}
	}
	response, err := r.client.Do(request)
	if err != nil {
		return sample{outcome: outcomeBroken, reason: "connection", latency: time.Since(due)}
	}
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, drainLimit))
	result := sample{
		latency: time.Since(due), outcome: response.Header.Get(outcome.Header), reason: response.Header.Get(outcome.ReasonHeader),
		status: response.StatusCode, bytes: read,
	}
	if r.spec.TargetHeader != "" {
		result.target = response.Header.Get(r.spec.TargetHeader)
	}
	switch {
	case err != nil:
		result.outcome, result.reason = outcomeBroken, "answer"
	case result.outcome == "":
		result.outcome = outcomeNone
	}
	return result
}

func (r *runner) request(ctx context.Context, number int, key string) (*http.Request, error) {
	entry := strings.TrimSuffix(r.spec.Entries[number%len(r.spec.Entries)], "/")
	request, err := http.NewRequestWithContext(ctx, r.spec.Method, entry+strings.ReplaceAll(r.spec.Path, KeyPlaceholder, key), bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	for _, header := range r.spec.Headers {
		request.Header.Set(header.Name, strings.ReplaceAll(header.Value, KeyPlaceholder, key))
	}
	return request, nil
}
