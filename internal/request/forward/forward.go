// Package forward carries callers' requests to targets and the answers back.
//
// Guarantees: a request that is not idempotent is sent again only if it
// certainly did not run; 503 is answered only to requests that did not run and
// never will; an answer that breaks off never looks complete; what was given up
// gets its final answer at once.
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
	// defaultDeadline is the deadline of a request that names none.
	defaultDeadline = 10 * time.Second
	// largeBody is the size in bytes from which a request is kept in its failure
	// domain if possible.
	largeBody = 16 << 10
	// keptBody is the size in bytes up to which a request's body is kept to be
	// sent again, and an answer is held back until it is complete.
	keptBody = 128 << 10
	// comeBackSoon is what callers are told while this VM knows no configuration.
	comeBackSoon = 300 * time.Millisecond
	// transitAllowance is taken off the deadline that targets are given.
	transitAllowance = 2 * time.Millisecond
)

// Dialect reads and writes the headers of a deployment.
type Dialect interface {
	RequestIDHeader() string
	RequestID(http.Header) string
	// Deadline is how long the caller waits; false if it does not say.
	Deadline(http.Header) (time.Duration, bool)
	Key(http.Header) (uint16, bool)
	// Address prepares the headers of a request for one target.
	Address(h http.Header, target string, left time.Duration)
	// NotRun reports whether an answer states that the request did not run.
	NotRun(status int, h http.Header) bool
	// Signed reports whether an answer bears the signature without which a success
	// is none.
	Signed(http.Header) bool
	Load(http.Header) (fleet.Load, bool)
	RetryAfter(h http.Header, after time.Duration)
}

// Permits gives out the right to send a request to a target.
type Permits interface {
	Acquire(context.Context, admission.Request) (permits.Permit, error)
	End(p permits.Permit, result admission.Result, took time.Duration, load fleet.Load, hasLoad bool)
}

// Config configures a Handler.
type Config struct {
	Domain  string
	Dialect Dialect
	Permits Permits
	View    func() *fleet.View
	Pools   *Pools
	// Leaving reports whether this VM is stopping.
	Leaving func() bool
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Handler serves callers. It implements http.Handler.
type Handler struct {
	config   Config
	metrics  *metrics
	inFlight atomic.Int64
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config, metrics: newMetrics(config.Metrics)}
}

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.config.Leaving() {
		w.Header().Set("Connection", "close")
	}
	exchange := h.begin(w, r)
	if exchange == nil {
		return
	}
	defer exchange.cancel()
	exchange.run()
}

// begin finds the route of a request; it answers and returns nil if there is none.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request) *exchange {
	view := h.config.View()
	x := &exchange{handler: h, w: w, r: r, view: view, began: time.Now(), id: h.config.Dialect.RequestID(r.Header)}
	if view.Config == nil {
		x.refuse("no-configuration", comeBackSoon)
		return nil
	}
	x.route = view.Config.Match(r.Host, r.URL.Path)
	if x.route == nil {
		x.answer(http.StatusNotFound, "no-route")
		return nil
	}
	if r.ContentLength > view.Config.Limits.BodyBytes {
		x.answer(http.StatusRequestEntityTooLarge, "body-too-large")
		return nil
	}
	x.service = view.Config.Service(x.route.Pick(rand.Float64()))
	if x.service == nil {
		x.refuse("no-service", comeBackSoon)
		return nil
	}
	if x.service.Keyed {
		key, ok := h.config.Dialect.Key(r.Header)
		if !ok {
			x.answer(http.StatusBadRequest, "no-key")
			return nil
		}
		x.key = key
	}
	x.setDeadline()
	return x
}

// setDeadline takes the earlier of the caller's deadline and the route's timeout.
func (x *exchange) setDeadline() {
	left, ok := x.handler.config.Dialect.Deadline(x.r.Header)
	if !ok {
		left = defaultDeadline
	}
	left = min(left, x.route.Timeout)
	x.deadline = x.began.Add(left)
	x.aim = x.began.Add(x.route.Aim)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
}

// log writes the line of a request's end.
func (x *exchange) log(event events.Event) *zerolog.Event {
	line := event.Log(&x.handler.config.Logger).Str("request", x.id)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Uint64("configuration", x.view.Config.Version)
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
