package forward

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// recordNotice records what a target says of itself with its response to a request that was
// sent at a time.
func (x *exchange) recordNotice(t *fleet.Target, sentAt time.Time, got *target.Answer) {
	dialect := x.handler.config.Dialect
	notice := permits.Notice{Leaving: dialect.Leaving(got.Header), Rest: dialect.Rest(got.Status, got.Header)}
	news := x.handler.config.Permits.Heard(t.Life, sentAt, notice)
	if news.Leaving {
		x.handler.metrics.leaving.Inc(1)
		x.log(events.TargetLeaving).Send()
	}
	if news.Rest > 0 {
		x.handler.metrics.resting.Inc(1)
		x.log(events.TargetBackoff).Dur("backoff", news.Rest).Send()
	}
}

// maxAims is how many times the aim a response may take before it may count as one that will
// never arrive.
const maxAims = 2

// limitWait gives up an attempt that began at a time when its response will probably never
// arrive (see Permits.Dropped), while there is time for another attempt to answer within the
// length of the aim. It does nothing for the owner of a key, which has no substitute, and while
// this VM stops: the target may be at work, and callers must get its response. The result ends
// the limit.
func (x *exchange) limitWait(t *fleet.Target, began time.Time, another bool, giveUp context.CancelCauseFunc) (stop func()) {
	aim := x.route.Aim
	due := began.Add(maxAims * aim)
	if latest := x.deadline.Add(-aim); latest.Before(due) {
		due = latest
	}
	if !another || x.service.Keyed || x.attempts+1 >= x.route.MaxAttempts || due.Before(began.Add(aim)) {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(due), func() {
		// No response is due before the body is sent.
		if x.handler.config.StopBy().IsZero() && x.body.read() && x.handler.config.Permits.Dropped(t, began, aim) {
			giveUp(context.DeadlineExceeded)
		}
	})
	return func() { timer.Stop() }
}

// unanswered records that no response arrived in time to a request that was sent at a time.
// It reports whether the target probably dropped the request because it was full.
func (x *exchange) unanswered(t *fleet.Target, sentAt time.Time, took time.Duration) bool {
	aim := x.route.Aim
	if took < aim || !x.body.read() || !x.handler.config.Permits.Unanswered(t, sentAt, aim) {
		return false
	}
	x.handler.metrics.silent.Inc(1)
	x.log(events.TargetSilent).Dur("waited", took).Send()
	return true
}
