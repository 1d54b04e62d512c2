package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// InlineBytes is the largest answer of known length that travels inside the
// response. Such an answer is complete before the caller sees any of it.
const InlineBytes = 64 << 10

// refused builds the result of a request that certainly did not run.
func refused(r *refusal) result {
	if r == nil {
		return result{}
	}
	return result{response: &peerv1.Response{
		Outcome: outcome.NotRun.Wire(), Reason: string(r.reason), Redirect: r.redirect,
		RetryAfterUs: r.retryAfter.Microseconds(),
	}}
}

// unknown builds the result of a request that may have run.
func unknown(reason outcome.Reason) result {
	return result{response: &peerv1.Response{Outcome: outcome.Unknown.Wire(), Reason: string(reason)}}
}

// failed ends a ticket without an answer. Only if the kernel accepted no byte
// of the request it is certain not to have run; then it may be tried on another
// connection, unless part of its body has been consumed.
func (e *endpoint) failed(ctx context.Context, t *ticket, err error) (result, bool) {
	var failure *target.ExchangeError
	if errors.As(err, &failure) && !failure.Sent {
		e.release(t)
		if ctx.Err() != nil {
			return refused(&refusal{reason: contextReason(ctx)}), false
		}
		if failure.Defect == target.BodyFailed {
			return refused(&refusal{reason: outcome.BadRequest}), false
		}
		e.lost("connection broken")
		return refused(&refusal{reason: outcome.TargetUnreachable}), !t.streamed
	}
	e.abandoned(t)
	if ctx.Err() != nil {
		return unknown(contextReason(ctx)), false
	}
	if failure != nil && failure.Defect == target.BodyFailed {
		return unknown(outcome.Canceled), false
	}
	e.lost("connection broken")
	return unknown(outcome.TargetBroken), false
}

// refusedByTarget ends a ticket that the target states not to have run. The
// connection goes too: a request comes again under its id, and the refusal, written
// once more, would be taken for the answer to it.
func (e *endpoint) refusedByTarget(t *ticket, answer *target.Answer, stated string) result {
	_ = answer.Body.Close()
	reason := outcome.TargetShed
	switch stated {
	case "fenced", "late":
		reason = outcome.TargetFenced
	case "draining":
		reason = outcome.Draining
	}
	e.shed(t, answer.Incarnation, reason == outcome.TargetShed)
	return refused(&refusal{reason: reason, retryAfter: e.retryAfter()})
}

// deliver passes an answer on: inside the response if it is small and of known
// length, otherwise as a body that follows.
func (e *endpoint) deliver(ctx context.Context, t *ticket, p *permit, answer *target.Answer) result {
	response := &peerv1.Response{
		Outcome: outcome.Answered.Wire(), Status: uint32(answer.Status),
		Headers: toWire(passedOn(answer.Header)), ContentLength: answer.ContentLength,
	}
	if answer.ContentLength < 0 || answer.ContentLength > InlineBytes {
		e.markStreamed(t)
		response.BodyFollows = true
		return result{response: response, body: &streamedAnswer{endpoint: e, ticket: t, permit: p, answer: answer}}
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		done, _ := e.failed(ctx, t, err)
		return done
	}
	response.Body = body
	service := time.Since(t.sentAt)
	e.answered(t, p.slice, answer.Incarnation)
	return result{response: response, service: service}
}

// markStreamed excludes a ticket from the measurement of service times.
func (e *endpoint) markStreamed(t *ticket) {
	e.mu.Lock()
	t.streamed = true
	e.mu.Unlock()
}

// streamedAnswer passes the body of an answer on as it arrives and ends the
// ticket with it.
type streamedAnswer struct {
	endpoint *endpoint
	ticket   *ticket
	permit   *permit
	answer   *target.Answer
	endOnce  sync.Once
}

// Read returns io.EOF only at the complete end of the target's answer; a broken
// transfer is an error of kind fault.UnknownOutcome.
func (s *streamedAnswer) Read(p []byte) (int, error) {
	n, err := s.answer.Body.Read(p)
	if err == nil {
		return n, nil
	}
	s.endOnce.Do(func() {
		if err == io.EOF {
			s.endpoint.answered(s.ticket, s.permit.slice, s.answer.Incarnation)
		} else {
			s.endpoint.abandoned(s.ticket)
		}
	})
	return n, err
}

// Close ends the transfer. An answer that was not read to its end counts as
// given up.
func (s *streamedAnswer) Close() error {
	err := s.answer.Body.Close()
	s.endOnce.Do(func() { s.endpoint.abandoned(s.ticket) })
	return err
}
