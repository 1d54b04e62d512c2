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

// exchange is one request of a caller, from its arrival to the end of its response.
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
	// aim is the time until which a response has its full value; from deadline on it
	// has none.
	aim, deadline time.Time
	body          *replayBody
	// team is the team of the caller by the configuration allowedBy, the last one that
	// allowed the request; nil if it has none.
	team      *fleet.Team
	allowedBy *fleet.Config

	// attempts counts the attempts that may have reached a target.
	attempts int
	// target is the id of the target of the latest permit.
	target string
	// exclude holds the ids of the targets that the request may have reached.
	exclude []string
	// mayHaveRun is the outcome of the last attempt that may have run; nil if there is none.
	mayHaveRun *outcome
}

// outcome is how an attempt ended.
type outcome struct {
	result admission.Result
	// mayHaveRun is set unless the target certainly did not run the request.
	mayHaveRun bool
	// arrived is set if the request may have reached the target.
	arrived bool
	// response is the response to be passed on, if any.
	response *response
	// cause is why there is no such response.
	cause error
}

// run sends the request, to one target after another, until there is a response to
// pass on or no further attempt is allowed, and responds to the caller.
func (x *exchange) run() {
	x.body = newReplayBody(x.r, keptBodyBytes)
	if x.body.streamed() {
		go x.body.readAhead()
	}
	repeatable := x.route.Kind.Repeatable()
	repeat := false
	for tries := 0; ; tries++ {
		permit, err := x.handler.config.Permits.Acquire(x.ctx, x.permitRequest(repeat))
		if err != nil {
			x.giveUpWaiting(x.mayHaveRun != nil, "no-permit")
			return
		}
		if permit.Refused == admission.QuotaSpent {
			x.refuseQuota(permit.RetryAfter)
			return
		}
		if permit.Refused != "" {
			// 503 is safe here: either each target reached before has stated that the
			// request did not run, or the request is repeatable.
			x.refuse(string(permit.Refused), permit.RetryAfter)
			return
		}
		x.target = permit.Target.ID
		o := x.attempt(permit, repeatable && tries+1 < maxTries)
		if o.cause == errUnknownKey || o.cause == errUncertainKey {
			x.respondUnidentified(o.cause)
			return
		}
		if o.response != nil {
			x.deliver(permit, o.response)
			return
		}
		if o.arrived {
			x.attempts++
			x.exclude = append(x.exclude, permit.Target.ID)
		}
		if o.mayHaveRun {
			last := o
			x.mayHaveRun = &last
		}
		repeat = repeat || o.arrived
		x.logAttempt(permit, o)
		if o.mayHaveRun && !repeatable {
			x.respondMayHaveRun(o)
			return
		}
		if !x.mayRetry(tries) {
			x.giveUp(o)
			return
		}
	}
}

// maxTries limits the attempts of one request, including those that reached no
// target.
const maxTries = 4

// mayRetry reports whether another attempt is possible and allowed, and ends the one that
// has just failed. tries is the number of attempts before that one.
func (x *exchange) mayRetry(tries int) bool {
	return x.attempts < x.route.MaxAttempts && tries+1 < maxTries && x.body.rewind() && x.ctx.Err() == nil
}

func (x *exchange) permitRequest(repeat bool) admission.Request {
	return admission.Request{
		Service: x.service.Name, Key: x.key, Class: x.route.Class(), Domain: x.handler.config.Domain,
		Team: x.teamName(), Priority: x.allowedBy.Priority(x.team, x.route), Aim: x.aim, Deadline: x.deadline, Repeat: repeat, Exclude: x.exclude,
		Large: x.r.ContentLength > largeBodyBytes,
	}
}

// attempt sends the request to the target of a permit. If the outcome has a
// response, the permit is left to deliver; otherwise it has been given back. another is set
// if the request may be sent once more if no response arrives.
func (x *exchange) attempt(permit permits.Permit, another bool) outcome {
	view := x.handler.config.View()
	t := view.Targets[permit.Target.ID]
	if t == nil || t.Life != permit.Target || !view.Usable(t) {
		return x.endAttempt(permit, outcome{result: admission.Canceled, cause: errStalePermit}, 0)
	}
	ctx, cancelCause := context.WithCancelCause(x.ctx)
	cancel := func() { cancelCause(nil) }
	connection, err := x.handler.config.Pools.reserve(ctx, t)
	if err != nil {
		cancel()
		return x.endAttempt(permit, outcome{result: dialResult(err), cause: err}, 0)
	}
	// The key may have been withdrawn while the request waited for the permit or the
	// connection.
	if err := x.identify(); err != nil {
		connection.Return()
		cancel()
		return x.endAttempt(permit, outcome{result: admission.Canceled, cause: err}, 0)
	}
	if !x.handler.config.Permits.MaySend(t.Life) {
		connection.Return()
		cancel()
		return x.endAttempt(permit, outcome{result: admission.Canceled, cause: errRestricted}, 0)
	}
	began := time.Now()
	stopWait := x.limitWait(t, began, another, cancelCause)
	got, err := connection.Do(ctx, x.outgoingRequest(ctx, t), x.body.streamed())
	stopWait()
	took := time.Since(began)
	if err != nil {
		expired, late := ctx.Err() != nil, context.Cause(ctx) == context.DeadlineExceeded
		cancel()
		o := x.failureOutcome(err, expired)
		if o.result == admission.Timeout && late && x.unanswered(t, began, took) {
			o.result = admission.Unanswered
		}
		return x.endAttempt(permit, o, took)
	}
	x.recordNotice(t, began, got)
	return x.handleResponse(permit, got, took, cancel)
}

// handleResponse handles a target's response whose status and headers have arrived.
// It reads the beginning of the body.
func (x *exchange) handleResponse(permit permits.Permit, got *target.Answer, took time.Duration, cancel context.CancelFunc) outcome {
	dialect := x.handler.config.Dialect
	load, hasLoad := dialect.Load(got.Header)
	if dialect.NotRun(got.Status, got.Header) {
		_ = got.Body.Close()
		cancel()
		return x.handleNotRun(permit, got.Status, took, load, hasLoad)
	}
	if result, err := x.checkResponse(got); err != nil {
		_ = got.Body.Close()
		cancel()
		return x.endAttempt(permit, outcome{result: result, mayHaveRun: true, arrived: true, cause: err}, took)
	}
	prefix, err := readUpTo(got.Body, keptBodyBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		_ = got.Body.Close()
		cancel()
		return x.endAttempt(permit, outcome{result: admission.Broken, mayHaveRun: true, arrived: true, cause: err}, took)
	}
	return outcome{response: &response{
		Answer: got, cancel: cancel, took: took, load: load, hasLoad: hasLoad, prefix: prefix, complete: err != nil,
	}}
}

// checkResponse returns an error if a response must not be passed on, and the result
// that the attempt then counts as.
func (x *exchange) checkResponse(got *target.Answer) (admission.Result, error) {
	switch {
	case !x.route.Kind.Repeatable() && promisesNotRun(got.Status):
		return admission.Failed, errUnstatedRefusal
	case got.Status/100 == 2 && !x.handler.config.Dialect.Signed(got.Header):
		return admission.Broken, errUnsigned
	}
	return 0, nil
}

// promisesNotRun reports whether callers interpret a status as a promise that the request
// did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errUnstatedRefusal = errors.New("the target refused the request without stating that it did not run")

var errUnsigned = errors.New("the target's success response is not signed")

var errRestricted = errors.New("the target of the permit has said that it takes no requests")

var errStalePermit = errors.New("the target of the permit no longer accepts requests")

// endAttempt gives back the permit of an attempt without a response to pass on.
func (x *exchange) endAttempt(permit permits.Permit, o outcome, took time.Duration) outcome {
	x.handler.config.Permits.End(permit, o.result, took, fleet.Load{}, false)
	return o
}

// handleNotRun handles a response that states that the request did not run.
func (x *exchange) handleNotRun(permit permits.Permit, status int, took time.Duration, load fleet.Load, hasLoad bool) outcome {
	result := admission.NotRun
	if status == http.StatusMisdirectedRequest {
		result = admission.NotOwner
	}
	x.handler.config.Permits.End(permit, result, took, load, hasLoad)
	return outcome{result: result, arrived: true, cause: errTargetRefused}
}

var errTargetRefused = errors.New("the target did not run the request")

// failureOutcome returns the outcome of an attempt that failed without a response.
// expired is set if the attempt's context had ended.
func (x *exchange) failureOutcome(err error, expired bool) outcome {
	var failed *target.ExchangeError
	sent := !errors.As(err, &failed) || failed.Sent
	o := outcome{result: admission.Broken, mayHaveRun: sent, arrived: sent, cause: err}
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

// dialResult returns the result that a failure to open a connection counts as.
func dialResult(err error) admission.Result {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return admission.Refused
	case errors.Is(err, context.Canceled):
		return admission.Canceled
	}
	return admission.Unreachable
}

// giveUpWaiting responds to a request whose deadline has passed, or whose caller has
// left, while it waited for a permit. If an earlier attempt may have run, the response does
// not promise that the request did not run.
func (x *exchange) giveUpWaiting(mayHaveRun bool, reason string) {
	if x.r.Context().Err() != nil {
		x.callerLeft()
		return
	}
	if mayHaveRun {
		x.respondError(http.StatusGatewayTimeout, reason)
		return
	}
	x.refuse(reason, 0)
}

// respondMayHaveRun responds to a request that may have run, unless the caller has
// left.
func (x *exchange) respondMayHaveRun(o outcome) {
	if x.r.Context().Err() != nil {
		x.callerLeft()
		return
	}
	status := http.StatusBadGateway
	if o.result == admission.Timeout || o.result == admission.Unanswered {
		status = http.StatusGatewayTimeout
	}
	x.respondError(status, "target-lost")
}

// giveUp responds to a request after its last attempt has failed.
func (x *exchange) giveUp(o outcome) {
	if o.mayHaveRun || x.r.Context().Err() != nil {
		x.respondMayHaveRun(o)
		return
	}
	x.refuse("attempts-used", 0)
}

// callerLeft records that the caller has left and aborts the handler.
func (x *exchange) callerLeft() {
	x.handler.metrics.callersLeft.Inc(1)
	x.countTeam("left")
	x.log(events.CallerLeft).Send()
	panic(http.ErrAbortHandler)
}

// refuse responds with 503: the request did not run and never will. after is the
// suggested delay before a retry.
func (x *exchange) refuse(reason string, after time.Duration) {
	x.handler.config.Dialect.RetryAfter(x.w.Header(), after)
	x.handler.metrics.refused(reason)
	x.countTeam("refused")
	x.log(events.RequestTurnedAway).Str("reason", reason).Dur("retry_after", after).Send()
	x.writeStatus(http.StatusServiceUnavailable, reason)
}

// refuseQuota responds with 429: the team has reached its limit. The request did not run
// and never will. after is the time until the team has room for it.
func (x *exchange) refuseQuota(after time.Duration) {
	reason := string(admission.QuotaSpent)
	x.handler.config.Dialect.RetryAfter(x.w.Header(), after)
	x.handler.metrics.refused(reason)
	x.handler.metrics.quotaSpent(x.allowedBy, x.team)
	x.countTeam("refused")
	x.log(events.RequestTurnedAway).Str("reason", reason).Dur("retry_after", after).Send()
	x.writeStatus(http.StatusTooManyRequests, reason)
}

// respondError responds with an error status that comes from this VM and not from a
// target.
func (x *exchange) respondError(status int, reason string) {
	x.handler.metrics.failed(reason)
	x.countTeam("failed")
	x.log(events.RequestFailed).Int("status", status).Str("reason", reason).Send()
	x.writeStatus(status, reason)
}

func (x *exchange) writeStatus(status int, reason string) {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	// A write error means that the caller has left, which the server handles.
	_, _ = io.WriteString(x.w, reason+"\n")
}

func (x *exchange) logAttempt(permit permits.Permit, o outcome) {
	x.log(events.AttemptFailed).Str("broker", permit.Broker).Uint8("result", uint8(o.result)).
		Bool("may_have_run", o.mayHaveRun).AnErr("error", o.cause).Send()
}
