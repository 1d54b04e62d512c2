package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// maxAttempts bounds how often a request looks for a usable connection before
// any byte of it was sent.
const maxAttempts = 3

// result is a response with the body that follows it, if any.
type result struct {
	response *peerv1.Response
	body     io.ReadCloser
	// queued and service are how long the request waited and ran.
	queued  time.Duration
	service time.Duration
	joined  bool
}

// Serve handles one request of an entry.
func (d *Dispatcher) Serve(ctx context.Context, from peer.Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser) {
	started := time.Now()
	deadline := started.Add(time.Duration(request.RemainingUs) * time.Microsecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	done := d.serveJoined(ctx, request, body, deadline)
	done.response.Id = request.Id
	d.describeLoad(request.Target, done.response)
	d.report(from, request, &done, time.Since(started))
	if done.body == nil {
		cancel()
		return done.response, nil
	}
	return done.response, &closingBody{ReadCloser: done.body, after: cancel}
}

// closingBody calls a function after the body was closed.
type closingBody struct {
	io.ReadCloser
	after func()
}

// Close closes the body.
func (b *closingBody) Close() error {
	defer b.after()
	return b.ReadCloser.Close()
}

// run brings one request to its target, or refuses it.
func (d *Dispatcher) run(ctx context.Context, request *peerv1.Request, body io.Reader, deadline time.Time) result {
	e := d.endpoint(request.Target)
	if e == nil {
		return refused(&refusal{reason: outcome.NotOwner})
	}
	t := &ticket{
		key: request.Key, hash: hashOf(request), deadline: deadline, streamed: request.BodyFollows,
	}
	queuedFrom := time.Now()
	for attempt := 1; ; attempt++ {
		done, again := d.attempt(ctx, e, t, request, body)
		if !again || attempt >= maxAttempts && done.response != nil {
			done.queued = t.sentSince(queuedFrom)
			return done
		}
	}
}

// attempt tries once to send a request. It reports true if the request was
// certainly not sent and may be tried again; the result is then what to answer
// if it is not, or empty if the request has just lost its place.
func (d *Dispatcher) attempt(ctx context.Context, e *endpoint, t *ticket, request *peerv1.Request, body io.Reader) (result, bool) {
	if _, r := d.awaitPermit(ctx, e, request, t.hash); r != nil {
		return refused(r), false
	}
	if reason := e.acquire(ctx, t, request.TrafficClass); reason != "" {
		return refused(&refusal{reason: reason, retryAfter: e.retryAfter()}), false
	}
	exchange, err := e.connections().Reserve(ctx)
	if err != nil {
		e.release(t)
		return refused(d.unreachable(ctx, e)), false
	}
	if !e.confirm(exchange) {
		exchange.Return()
		e.release(t)
		return result{}, true
	}
	// The ticket is registered as in flight, so whoever pauses the slice after
	// this check sees it and waits for its end.
	p, r := d.permitFor(request, t.hash)
	if p == nil {
		exchange.Return()
		e.release(t)
		return refused(r), r == nil
	}
	if takesNothingNew(p.target) {
		exchange.Return()
		e.release(t)
		return refused(&refusal{reason: outcome.Draining}), false
	}
	return d.exchange(ctx, e, t, exchange, p, request, body)
}

// unreachable explains a failed attempt to connect. Unless the caller went away,
// the target is lost, and cold when it returns.
func (d *Dispatcher) unreachable(ctx context.Context, e *endpoint) *refusal {
	if ctx.Err() != nil {
		return &refusal{reason: contextReason(ctx)}
	}
	e.lost("unreachable")
	return &refusal{reason: outcome.TargetUnreachable}
}

// exchange sends the request on the reserved connection and reads the answer.
func (d *Dispatcher) exchange(ctx context.Context, e *endpoint, t *ticket, exchange *target.Exchange, p *permit, request *peerv1.Request, body io.Reader) (result, bool) {
	built, err := targetRequest(request, body, p, t.deadline)
	if err != nil {
		exchange.Return()
		e.release(t)
		return refused(&refusal{reason: outcome.BadRequest}), false
	}
	e.sent(t)
	answer, err := exchange.Do(ctx, built, request.BodyFollows)
	if err != nil {
		return e.failed(ctx, t, err)
	}
	if stated := answer.Header.Get(target.HeaderNotRun); stated != "" {
		return e.refusedByTarget(t, answer, stated), false
	}
	return e.deliver(ctx, t, p, answer), false
}

// latestStart is the latest moment at which the target may begin to run the
// request: within the lease and before the deadline.
func latestStart(p *permit, deadline time.Time) time.Time {
	leaseEnd := time.Now().Add(p.target.Lease.Remaining(rights.Monotonic()))
	if leaseEnd.Before(deadline) {
		return leaseEnd
	}
	return deadline
}

// sentSince returns how long after a moment the ticket was sent, 0 if it was not.
func (t *ticket) sentSince(from time.Time) time.Duration {
	if t.sentAt.IsZero() {
		return 0
	}
	return t.sentAt.Sub(from)
}

// connections returns the pool of the target's present address.
func (e *endpoint) connections() *target.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool
}

// unchecked reports whether the target does not check fences.
func (e *endpoint) unchecked() bool { return e.service.Fencing != manifest.Checked }
