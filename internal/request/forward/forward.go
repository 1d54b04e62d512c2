// Package forward passes callers' requests on to targets and the responses back.
//
// Guarantees: a request that is not idempotent is sent again only if it
// certainly did not run; 503 is the response only to requests that did not run and
// never will; a response that breaks off never looks complete to the caller; a
// request that is given up gets its final response at once.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// defaultDeadline is the time that a request has if its caller names no deadline.
	defaultDeadline = 10 * time.Second
	// largeBodyBytes is the size of a body in bytes above which a request is kept in
	// this VM's failure domain if possible.
	largeBodyBytes = 16 << 10
	// keptBodyBytes is the size in bytes up to which the body of a request is kept for
	// retries, and a response is held back until it is complete.
	keptBodyBytes = 128 << 10
	// stoppingRetryAfter is the retry delay suggested to callers while this VM stops.
	// The retry goes to another VM.
	stoppingRetryAfter = 30 * time.Millisecond
	// unconfiguredRetryAfter is the retry delay suggested to callers while this VM lacks
	// the configuration for their request.
	unconfiguredRetryAfter = 300 * time.Millisecond
)

// Dialect reads and writes the headers that differ between deployments.
type Dialect interface {
	RequestIDHeader() string
	RequestID(http.Header) string
	// Deadline returns how long the caller waits; false if it does not say.
	Deadline(http.Header) (time.Duration, bool)
	// Key returns the key of a request; false if it has no valid one.
	Key(http.Header) (uint16, bool)
	// Address sets the headers of a request for one target, which has to respond
	// within the time left.
	Address(h http.Header, target string, left time.Duration)
	// NotRun reports whether a response states that the request did not run.
	NotRun(status int, h http.Header) bool
	// Signed reports whether a response has the target's signature. A success
	// response without it is not trusted.
	Signed(http.Header) bool
	// Load returns the load that a target reports with a response; false if none.
	Load(http.Header) (fleet.Load, bool)
	// AccessKey returns the access key of a request; empty if it has none.
	AccessKey(http.Header) string
	// SetTeam removes the access key and what a caller sent as the name of its team, and
	// sets the name unless it is empty.
	SetTeam(h http.Header, team string)
	// AskForAccessKey sets the header that belongs to status 401.
	AskForAccessKey(h http.Header)
	// Leaving reports whether a target says with a response that it is leaving.
	Leaving(http.Header) bool
	// Rest returns for how long a target that has refused a request wants no more; 0 if it
	// does not say.
	Rest(status int, h http.Header) time.Duration
	// RetryAfter sets the delay before a retry that is suggested to the caller.
	RetryAfter(h http.Header, after time.Duration)
}

// Permits grants the right to send a request to a target.
type Permits interface {
	// Acquire waits for a permit or a refusal; the error is that of the context.
	Acquire(context.Context, admission.Request) (permits.Permit, error)
	// End gives a permit back with the result of the attempt, the time that it took
	// and, if hasLoad is set, the target's load.
	End(p permits.Permit, result admission.Result, took time.Duration, load fleet.Load, hasLoad bool)
	// MaySend reports whether a request may be sent to a target now, by what the target has
	// said to this VM.
	MaySend(target fleet.Life) bool
	// Heard records what a target says with its response to a request that was sent at a
	// time, and returns what is news.
	Heard(target fleet.Life, sentAt time.Time, n permits.Notice) (news permits.Notice)
	// Unanswered records that a target has not answered a request, and reports whether it
	// probably dropped it because it was full. It then gets no requests for backoff.
	Unanswered(target *fleet.Target, sentAt time.Time, backoff time.Duration) bool
	// Dropped reports whether a target has probably dropped a request that was sent at a time:
	// targets of its service are known to drop what they cannot queue, and this one has
	// answered a request that was sent more than patience later.
	Dropped(target *fleet.Target, sentAt time.Time, patience time.Duration) bool
}

// Config configures a Handler.
type Config struct {
	Domain  string
	Dialect Dialect
	Permits Permits
	View    func() *fleet.View
	// Current reports whether this VM is sure that its view has the latest configuration.
	Current func() bool
	Pools   *Pools
	// StopBy returns the time by which a stop of this VM must have answered all requests;
	// zero if this VM is not stopping.
	StopBy  func() time.Time
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Handler serves callers. It implements http.Handler.
type Handler struct {
	config   Config
	metrics  *metrics
	inFlight atomic.Int64
	// ended is done once EndAll has been called.
	ended  context.Context
	endAll context.CancelFunc
}

// New returns a handler of callers' requests.
func New(config Config) *Handler {
	h := &Handler{config: config, metrics: newMetrics(config.Metrics)}
	h.ended, h.endAll = context.WithCancel(context.Background())
	return h
}

// EndAll ends the requests in flight as if their deadline had passed: their callers get
// an answer, unless a part of one has been passed on.
func (h *Handler) EndAll() { h.endAll() }

// Refusal returns a handler that refuses requests while this VM stops.
func (h *Handler) Refusal() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{handler: h, w: w, r: r, view: h.config.View(), began: time.Now(), id: h.config.Dialect.RequestID(r.Header)}
		x.refuse("stopping", stoppingRetryAfter)
	})
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if !h.config.StopBy().IsZero() {
		w.Header().Set("Connection", "close")
	}
	exchange := h.begin(w, r)
	if exchange == nil {
		return
	}
	defer exchange.cancel()
	defer context.AfterFunc(h.ended, exchange.cancel)()
	exchange.run()
}

// begin prepares the exchange for a request. If the request cannot be sent to any
// service, it responds and returns nil.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request) *exchange {
	view := h.config.View()
	x := &exchange{handler: h, w: w, r: r, view: view, began: time.Now(), id: h.config.Dialect.RequestID(r.Header)}
	if view.Config == nil {
		x.refuse("no-configuration", unconfiguredRetryAfter)
		return nil
	}
	x.route = view.Config.Match(r.Host, r.URL.Path)
	if x.route == nil {
		x.respondError(http.StatusNotFound, "no-route")
		return nil
	}
	if !isForwardable(r) {
		x.respondError(http.StatusBadRequest, "path-not-escaped")
		return nil
	}
	if err := x.identify(); err != nil {
		x.respondUnidentified(err)
		return nil
	}
	if r.ContentLength > view.Config.Limits.BodyBytes {
		x.respondError(http.StatusRequestEntityTooLarge, "body-too-large")
		return nil
	}
	x.service = view.Config.Service(x.route.Pick(rand.Float64()))
	if x.service == nil {
		x.refuse("no-service", unconfiguredRetryAfter)
		return nil
	}
	if x.service.Keyed {
		key, ok := h.config.Dialect.Key(r.Header)
		if !ok {
			x.respondError(http.StatusBadRequest, "no-key")
			return nil
		}
		x.key = key
	}
	x.setDeadline()
	return x
}

// setDeadline sets the aim and the deadline, the latter to the earliest of the caller's
// deadline, the route's timeout and the end of a stop of this VM.
func (x *exchange) setDeadline() {
	timeout, ok := x.handler.config.Dialect.Deadline(x.r.Header)
	if !ok {
		timeout = defaultDeadline
	}
	timeout = min(timeout, x.route.Timeout)
	x.deadline = x.began.Add(timeout)
	if stopBy := x.handler.config.StopBy(); !stopBy.IsZero() && stopBy.Before(x.deadline) {
		x.deadline = stopBy
	}
	x.aim = x.began.Add(x.route.Aim)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
}

// log returns a log line for an event with the fields that describe the request.
func (x *exchange) log(event events.Event) *zerolog.Event {
	line := event.Log(&x.handler.config.Logger).Str("request", x.id)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Uint64("configuration", x.view.Config.Version)
	}
	if x.team != nil {
		line = line.Str("team", x.team.Name)
	}
	if x.service != nil {
		line = line.Str("service", x.service.Name)
		if x.service.Keyed {
			line = line.Uint16("key", x.key)
		}
	}
	return line.Uint64("term", x.view.Term).Int("attempts", x.attempts).
		Str("target", x.target).Dur("took", time.Since(x.began))
}
