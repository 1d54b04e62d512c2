// Package entry serves callers: it finds the target that owns a request's key,
// forwards the request to the dispatcher of that target and passes the answer on.
//
// Guarantees towards the caller:
//   - Every response names one outcome of package outcome. "not-run" means that
//     no target executed the request.
//   - A request is sent again only after an attempt that was not run, so it runs
//     at most once, unless it is idempotent and its service allows hedging.
//   - A body is passed on as it arrives, in both directions, and never held whole.
//   - An answer that breaks off reaches the caller as a broken transfer, never as
//     a short one that looks complete.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// deadlineGrace is how long after the deadline the dispatcher's word is awaited.
// The dispatcher refuses at the deadline what it has not begun; giving up at the
// same moment would turn such refusals into unknown outcomes.
const deadlineGrace = 50 * time.Millisecond

// maxInFlight bounds the requests that one entry serves at once; each holds a
// goroutine and a few buffers.
const maxInFlight = 20_000

// lingerTime is how long the rest of a body is read after its request has ended.
const lingerTime = 500 * time.Millisecond

// Config configures a Handler.
type Config struct {
	// Self is the name of the own VM; it is a part of request ids.
	Self string
	// Snapshot returns the current routing snapshot; nil before the first.
	Snapshot func() *routing.Snapshot
	// Sender reaches the dispatchers.
	Sender peer.RequestSender
	// Ready reports whether new requests are accepted, and if not, why.
	Ready  func() (outcome.Reason, bool)
	Logger zerolog.Logger
	// LogDecisions writes a log line for each routing decision.
	LogDecisions bool
	Metrics      tally.Scope
}

// Handler is the callers' http.Handler.
type Handler struct {
	config    Config
	ids       *requestIDs
	services  sync.Map // service name -> *serviceState
	redirects *redirectCache
	holders   sync.Map // target -> holderHint
	loads     sync.Map // target -> *targetLoad
	metrics   *metrics
	inFlight  atomic.Int64
}

// New returns a handler.
func New(config Config) *Handler {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	return &Handler{
		config:    config,
		ids:       newRequestIDs(config.Self),
		redirects: newRedirectCache(),
		metrics:   newMetrics(config.Metrics),
	}
}

// InFlight returns the number of requests that have begun and not ended.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{handler: h, w: w, r: r, id: h.ids.next(), began: time.Now()}
	defer x.end()
	if reason, ok := x.begin(); !ok {
		x.reply(notRun(reason))
		return
	}
	x.reply(x.run())
}

// exchange is one caller's request and its answer.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	began   time.Time

	// ctx ends deadlineGrace after the deadline, when the caller goes away, or with
	// the exchange.
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time

	snapshot *routing.Snapshot
	service  *routing.Service
	state    *serviceState
	params   params
	headers  []*peerv1.Header
	body     *bodySource
	// cleanup ends what must outlive the attempt that began it.
	cleanup []func()
}

// begin reads the request. It reports false with the reason of a refusal.
func (x *exchange) begin() (outcome.Reason, bool) {
	config := &x.handler.config
	if x.handler.InFlight() > maxInFlight {
		return outcome.QueueFull, false
	}
	if reason, ok := config.Ready(); !ok {
		return reason, false
	}
	if x.snapshot = config.Snapshot(); x.snapshot == nil {
		return outcome.CutOff, false
	}
	if x.service = x.snapshot.Match(x.r.Host, x.r.URL.Path); x.service == nil {
		return outcome.NoService, false
	}
	x.state = x.handler.serviceState(x.service.Declared)
	var reason outcome.Reason
	var ok bool
	if x.params, reason, ok = readParams(x.r, x.service.Declared); !ok {
		return reason, false
	}
	x.headers = requestHeaders(x.r.Header)
	x.deadline = x.began.Add(x.params.timeout)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline.Add(deadlineGrace))
	return x.beginBody()
}

// beginBody reads a small body, for which the caller has until the deadline, or
// prepares to stream a large one.
func (x *exchange) beginBody() (outcome.Reason, bool) {
	x.body = newBodySource(x.r)
	reason, ok := x.body.limit(x.service.Declared.Limits.MaxBodyBytes)
	control := http.NewResponseController(x.w)
	switch {
	case !ok || x.body.whole:
		return reason, ok
	case !x.body.small():
		if x.r.ProtoMajor == 1 {
			// Without it the server reads the whole body before it begins the answer.
			_ = control.EnableFullDuplex()
		}
		return "", true
	}
	_ = control.SetReadDeadline(x.deadline)
	defer control.SetReadDeadline(time.Time{})
	return x.body.readWhole()
}

// end frees what the exchange holds.
func (x *exchange) end() {
	if x.body != nil && !x.body.atEnd() {
		x.abandonBody()
	}
	if x.cancel != nil {
		x.cancel()
	}
	for _, f := range x.cleanup {
		f()
	}
}

// abandonBody ends a read of the caller's body that is under way, and gives the
// server a moment to read what is left, so that the caller sees the answer
// rather than a reset connection.
func (x *exchange) abandonBody() {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Unix(1, 0))
	x.body.release()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
}

// result is how a request, or one attempt of it, ended.
type result struct {
	kind   outcome.Kind
	reason outcome.Reason
	// retryAfter advises when a refused request may be sent again; 0 if no advice.
	retryAfter time.Duration
	// answer is the target's answer; nil unless kind is Answered.
	answer *answer
	// redirect is the recency of a refusal's redirect; zero if there is none.
	redirect assignment.Recency
}

func notRun(reason outcome.Reason) result { return result{kind: outcome.NotRun, reason: reason} }

func unknown(reason outcome.Reason) result { return result{kind: outcome.Unknown, reason: reason} }
