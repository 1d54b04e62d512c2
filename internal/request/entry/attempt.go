package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// answer is a target's answer on its way to the caller.
type answer struct {
	response *peerv1.Response
	// body is nil if the whole body is in the response.
	body io.ReadCloser
}

func (a *answer) close() {
	if a != nil && a.body != nil {
		_ = a.body.Close()
	}
}

// attempt sends the request once and classifies what came of it.
func (x *exchange) attempt(ctx context.Context, d destination) result {
	remaining := time.Until(x.deadline)
	if remaining <= 0 {
		return notRun(outcome.DeadlinePassed)
	}
	if d.load != nil {
		d.load.outstanding.Add(1)
		defer d.load.outstanding.Add(-1)
	}
	request := x.request(d, remaining)
	began := time.Now()
	response, body, err := x.handler.config.Sender.Do(ctx, d.vm, request, x.body.open())
	if err != nil {
		return x.failed(d, err)
	}
	x.observe(d, response, time.Since(began))
	return x.classify(request, response, body)
}

// request returns the message of one attempt.
func (x *exchange) request(d destination, remaining time.Duration) *peerv1.Request {
	r := x.r
	return &peerv1.Request{
		Service: x.service.Declared.Name, Cell: d.route.Cell, Target: d.route.Target, Key: x.params.key,
		Method: r.Method, Uri: r.URL.RequestURI(), Host: r.Host, Headers: x.headers,
		Body: x.body.inline(), BodyFollows: !x.body.whole, ContentLength: x.body.length,
		RemainingUs: remaining.Microseconds(),
		Idempotent:  x.params.idempotent, IdempotencyKey: x.params.idempotencyKey, TrafficClass: x.params.class,
		AssignmentVersion: d.route.Version, RequestId: x.id,
	}
}

// failed classifies an attempt without a response.
func (x *exchange) failed(d destination, err error) result {
	var failure *peer.SendError
	if errors.As(err, &failure) && !failure.Sent {
		if d.load != nil {
			d.load.observe(refusedPermille, 0)
		}
		return notRun(outcome.PeerUnreachable)
	}
	switch {
	case x.r.Context().Err() != nil:
		return unknown(outcome.Canceled)
	case x.ctx.Err() != nil:
		return unknown(outcome.DeadlinePassed)
	}
	return unknown(outcome.PeerLost)
}

// observe learns from a response which VM serves the target and how loaded it is.
func (x *exchange) observe(d destination, response *peerv1.Response, took time.Duration) {
	if outcome.FromWire(response.Outcome) == outcome.Answered {
		x.handler.noteHolder(d)
		x.state.hedgeDelay.observe(took)
	}
	if d.load == nil {
		return
	}
	if outcome.FromWire(response.Outcome) != outcome.Answered {
		d.load.observe(max(int64(response.LoadPermille), refusedPermille), 0)
		return
	}
	latency := time.Duration(response.LatencyUs) * time.Microsecond
	if latency == 0 {
		latency = took
	}
	d.load.observe(int64(response.LoadPermille), latency)
}

// classify turns a response into a result. A response to another request, or
// one that contradicts itself, makes the outcome unknown.
func (x *exchange) classify(request *peerv1.Request, response *peerv1.Response, body io.ReadCloser) result {
	a := &answer{response: response, body: body}
	if response.Id != request.Id {
		a.close()
		return unknown(outcome.TargetBroken)
	}
	reason := outcome.Reason(response.Reason)
	switch outcome.FromWire(response.Outcome) {
	case outcome.Answered:
		if !x.consistent(a) {
			a.close()
			return unknown(outcome.TargetBroken)
		}
		return result{kind: outcome.Answered, answer: a}
	case outcome.NotRun:
		a.close()
		refused := notRun(reason)
		refused.retryAfter = time.Duration(response.RetryAfterUs) * time.Microsecond
		if response.Redirect != nil {
			x.handler.redirects.add(x.params.key, response.Redirect)
			refused.redirect = recencyOf(response.Redirect)
		}
		return refused
	}
	a.close()
	return unknown(reason)
}

// consistent reports whether an answer's parts agree.
func (x *exchange) consistent(a *answer) bool {
	response := a.response
	if response.Status < http.StatusOK || response.Status > 999 || response.BodyFollows != (a.body != nil) {
		return false
	}
	if response.BodyFollows || !bodyAllowed(x.r.Method, int(response.Status)) {
		return true
	}
	return response.ContentLength < 0 || response.ContentLength == int64(len(response.Body))
}

// bodyAllowed reports whether an answer may have a body (RFC 9110, 6.4.1).
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
