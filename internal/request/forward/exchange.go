package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// exchange is one request of a caller from its arrival to its answer.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	view    *fleet.View
	route   *fleet.Route
	service *fleet.Service
	id      string
	key     uint16
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	// aim and deadline are when the answer has its full and any worth.
	aim, deadline time.Time
	body          *replayBody

	// attempts counts the targets that the request was sent to.
	attempts int
	target   string
	exclude  []string
}

// outcome is how an attempt ended.
type outcome struct {
	result admission.Result
	// mayHaveRun is set unless the request certainly did not run.
	mayHaveRun bool
	// arrived is set if the request reached a target.
	arrived bool
	answer  *answer
	cause   error
}

// run sends the request until it is answered or given up.
func (x *exchange) run() {
	x.body = newReplayBody(x.r, keptBody)
	if x.body.streamed() {
		go x.body.readAhead()
	}
	idempotent := x.route.Kind == fleet.Idempotent
	repeat := false
	for tries := 0; ; tries++ {
		permit, err := x.handler.config.Permits.Acquire(x.ctx, x.permitRequest(repeat))
		if err != nil {
			x.ended(repeat, "no-permit")
			return
		}
		if permit.Refused != "" {
			// Whatever was sent before was stated not to have run, or may run more
			// than once.
			x.refuse(string(permit.Refused), permit.RetryAfter)
			return
		}
		x.target = permit.Target.ID
		o := x.attempt(permit)
		if o.answer != nil {
			x.deliver(permit, o.answer)
			return
		}
		if o.arrived {
			x.attempts++
			x.exclude = append(x.exclude, permit.Target.ID)
		}
		repeat = repeat || o.arrived
		x.logAttempt(permit, o)
		if o.mayHaveRun && !idempotent {
			x.broken(o)
			return
		}
		if !x.mayTryAgain(tries) {
			x.givenUp(o)
			return
		}
	}
}

// maxTries bounds the attempts of one request, with those that reached nobody.
const maxTries = 4

// mayTryAgain reports whether another attempt makes sense.
func (x *exchange) mayTryAgain(tries int) bool {
	return x.attempts < x.route.MaxAttempts && tries+1 < maxTries && x.body.replayable() && x.ctx.Err() == nil
}

func (x *exchange) permitRequest(repeat bool) admission.Request {
	return admission.Request{
		Service: x.service.Name, Key: x.key, Class: x.route.Class(), Domain: x.handler.config.Domain,
		Priority: x.route.Priority, Aim: x.aim, Deadline: x.deadline, Repeat: repeat, Exclude: x.exclude,
		Large: x.r.ContentLength > largeBody,
	}
}

// attempt sends the request to the target of a permit. An outcome with an
// answer leaves the permit to deliver; otherwise it has been given back.
func (x *exchange) attempt(permit permits.Permit) outcome {
	view := x.handler.config.View()
	t := view.Targets[permit.Target.ID]
	if t == nil || t.Life != permit.Target || !view.Usable(t) {
		return x.lost(permit, outcome{result: admission.Canceled, cause: errStalePermit}, 0)
	}
	ctx, cancel := context.WithCancel(x.ctx)
	connection, err := x.handler.config.Pools.reserve(ctx, t)
	if err != nil {
		cancel()
		return x.lost(permit, outcome{result: dialResult(err), cause: err}, 0)
	}
	began := time.Now()
	got, err := connection.Do(ctx, x.outgoing(ctx, t), x.body.streamed())
	took := time.Since(began)
	if err != nil {
		expired := ctx.Err() != nil
		cancel()
		return x.lost(permit, x.exchangeFailed(err, expired), took)
	}
	return x.answered(permit, got, took, cancel)
}

// answered handles the answer of a target, the head of which has come.
func (x *exchange) answered(permit permits.Permit, got *target.Answer, took time.Duration, cancel context.CancelFunc) outcome {
	dialect := x.handler.config.Dialect
	load, hasLoad := dialect.Load(got.Header)
	if dialect.NotRun(got.Status, got.Header) {
		_ = got.Body.Close()
		cancel()
		return x.notRun(permit, got.Status, took, load, hasLoad)
	}
	if result, err := x.unfit(got); err != nil {
		_ = got.Body.Close()
		cancel()
		return x.lost(permit, outcome{result: result, mayHaveRun: true, arrived: true, cause: err}, took)
	}
	head, err := readUpTo(got.Body, keptBody)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = got.Body.Close()
		cancel()
		return x.lost(permit, outcome{result: admission.Broken, mayHaveRun: true, arrived: true, cause: err}, took)
	}
	return outcome{answer: &answer{
		Answer: got, cancel: cancel, took: took, load: load, hasLoad: hasLoad, head: head, complete: err != nil,
	}}
}

// unfit says why an answer must not be passed on, and what it counts for.
func (x *exchange) unfit(got *target.Answer) (admission.Result, error) {
	switch {
	case x.route.Kind != fleet.Idempotent && promisesNotRun(got.Status):
		return admission.Failed, errUnstatedRefusal
	case got.Status/100 == 2 && !x.handler.config.Dialect.Signed(got.Header):
		return admission.Broken, errUnsigned
	}
	return 0, nil
}

// promisesNotRun reports whether callers take a status for the word that the
// request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errUnstatedRefusal = errors.New("the target refused the request without stating that it did not run")

var errUnsigned = errors.New("the target's success bears no signature")

var errStalePermit = errors.New("the target of the permit takes no requests any more")

// lost gives the permit back.
func (x *exchange) lost(permit permits.Permit, o outcome, took time.Duration) outcome {
	x.handler.config.Permits.End(permit, o.result, took, fleet.Load{}, false)
	return o
}

// notRun handles an answer that states that the request did not run.
func (x *exchange) notRun(permit permits.Permit, status int, took time.Duration, load fleet.Load, hasLoad bool) outcome {
	result := admission.NotRun
	if status == http.StatusMisdirectedRequest {
		result = admission.NotOwner
	}
	x.handler.config.Permits.End(permit, result, took, load, hasLoad)
	return outcome{result: result, arrived: true, cause: errTargetRefused}
}

var errTargetRefused = errors.New("the target did not run the request")

// exchangeFailed classifies an exchange without an answer.
func (x *exchange) exchangeFailed(err error, expired bool) outcome {
	var failed *target.ExchangeError
	handed := !errors.As(err, &failed) || failed.Handed
	o := outcome{result: admission.Broken, mayHaveRun: handed, arrived: handed, cause: err}
	switch {
	case x.r.Context().Err() != nil:
		o.result = admission.Canceled
	case failed != nil && failed.Defect == target.BodyFailed:
		o.result = admission.Canceled
	case expired:
		o.result = admission.Timeout
	}
	return o
}

// dialResult classifies a connection that could not be opened.
func dialResult(err error) admission.Result {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return admission.Refused
	case errors.Is(err, context.Canceled):
		return admission.Canceled
	}
	return admission.Unreachable
}

// ended answers a request whose time is over, or whose caller has left, before
// it was sent (again).
func (x *exchange) ended(mayHaveRun bool, reason string) {
	if x.r.Context().Err() != nil {
		x.left()
		return
	}
	if mayHaveRun {
		x.answer(http.StatusGatewayTimeout, reason)
		return
	}
	x.refuse(reason, 0)
}

// broken answers a request that may have run, if its caller is still there.
func (x *exchange) broken(o outcome) {
	if x.r.Context().Err() != nil {
		x.left()
		return
	}
	status := http.StatusBadGateway
	if o.result == admission.Timeout {
		status = http.StatusGatewayTimeout
	}
	x.answer(status, "target-lost")
}

// givenUp answers a request after its last attempt.
func (x *exchange) givenUp(o outcome) {
	if o.mayHaveRun || x.r.Context().Err() != nil {
		x.broken(o)
		return
	}
	x.refuse("attempts-used", 0)
}

// left notes that the caller has gone.
func (x *exchange) left() {
	x.handler.metrics.left.Inc(1)
	x.log(events.CallerLeft).Send()
	panic(http.ErrAbortHandler)
}

// refuse answers 503: the request did not run and never will.
func (x *exchange) refuse(reason string, after time.Duration) {
	x.handler.config.Dialect.RetryAfter(x.w.Header(), after)
	x.handler.metrics.refused(reason)
	x.log(events.RequestTurnedAway).Str("reason", reason).Dur("retry_after", after).Send()
	x.write(http.StatusServiceUnavailable, reason)
}

// answer answers with a status of this VM's own.
func (x *exchange) answer(status int, reason string) {
	x.handler.metrics.failed(reason)
	x.log(events.RequestFailed).Int("status", status).Str("reason", reason).Send()
	x.write(status, reason)
}

func (x *exchange) write(status int, reason string) {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	// A caller that has left is noticed by the server.
	_, _ = io.WriteString(x.w, reason+"\n")
}

func (x *exchange) logAttempt(permit permits.Permit, o outcome) {
	x.log(events.AttemptFailed).Str("broker", permit.Broker).Uint8("result", uint8(o.result)).
		Bool("may_have_run", o.mayHaveRun).AnErr("error", o.cause).Send()
}
