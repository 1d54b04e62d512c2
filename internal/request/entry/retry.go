package entry

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// maxRedirectsFollowed bounds the redirects that one request follows.
	maxRedirectsFollowed = 4
	// maxRetries bounds the retries of one request that count against the budget.
	maxRetries = 3
	// retryDelayMin and retryDelayMax bound the delay before such a retry.
	retryDelayMin = 10 * time.Millisecond
	retryDelayMax = 500 * time.Millisecond
	// repairTime is how long a request waits for its key to be served again. A
	// takeover takes about 0.7 s.
	repairTime = 2 * time.Second
	// repairDelayMin and repairDelayMax bound the delay between its attempts.
	repairDelayMin = 10 * time.Millisecond
	repairDelayMax = 80 * time.Millisecond
	// maxAttemptsARound bounds the attempts between two waits of a repair: both holders
	// of the owner and of the next owner.
	maxAttemptsARound = 4
)

// run sends the request until it is answered, its outcome is unknown, or
// nothing more may be tried. There is one attempt at a time. If the deadline passes
// between two attempts, the reason why the former one was not run is the result.
func (x *exchange) run() result {
	x.state.retries.earn(retryPercent(x.service.Declared))
	history := &history{}
	defer x.endRepair(history)
	var former result
	for {
		d, r := x.next(history)
		if former.kind == outcome.NotRun && r.kind == outcome.NotRun && r.reason == outcome.DeadlinePassed {
			return former
		}
		former = r
		if r.kind != outcome.NotRun || !x.body.replayable() || !x.again(history, d, r) {
			return r
		}
		x.snapshot, x.service = x.refresh()
	}
}

// next makes the next attempt.
func (x *exchange) next(history *history) (destination, result) {
	d, ok := x.destination(history)
	if !ok {
		return d, notRun(outcome.NoRoute)
	}
	if first := (holder{d.route.Target, d.vm}); first != history.first {
		history.first, history.useOther = first, false
	}
	if history.useOther && d.other != "" {
		d.vm, d.other = d.other, d.vm
	}
	x.logRouted(d, history)
	if x.hedgeable() {
		return d, x.attemptHedged(d, history)
	}
	return d, x.attempt(x.ctx, d)
}

// again decides whether a request that was not run is sent once more, and waits
// for the right moment.
func (x *exchange) again(history *history, d destination, r result) bool {
	if x.ctx.Err() != nil {
		return false
	}
	// A redirect is followed at once only if it is newer than what has been
	// followed: the next owner may not have taken the key over yet, and may still
	// name the one to which it released the key in an earlier move. The next owner's
	// dispatcher may have changed meanwhile; its redirect has a later epoch.
	if d.route.Recency().Before(r.redirect) && history.followed.Before(r.redirect) {
		history.redirects++
		history.followed = r.redirect
		history.useOther = false
		x.logEvent(events.RequestRedirected, r.reason)
		return history.redirects <= maxRedirectsFollowed
	}
	if d.by == byRedirect && r.reason == outcome.NotOwner && (history.useOther || d.other == "") {
		// Neither holder of the next owner has the key; the record or its dispatcher knows more.
		x.handler.redirects.forget(x.params.key, d.route.Cell, d.route.Recency())
	}
	if x.free() && d.route.Target != "" {
		history.targets = append(history.targets, d.route.Target)
		x.handler.noteRefusal(d, r.reason)
	}
	switch r.reason {
	case outcome.LeaseLapsed, outcome.NotOwner, outcome.PeerUnreachable, outcome.NoRoute,
		outcome.TargetFenced, outcome.TargetUnreachable, outcome.Draining:
		return x.repair(history, d, r)
	case outcome.QueueFull, outcome.TargetShed:
		return x.retry(history, r)
	case outcome.WouldBeLate:
		// A keyed service has no other target, and waiting only makes it later.
		return x.free() && x.retry(history, r)
	}
	return false
}

func (x *exchange) free() bool { return x.service.Declared.Placement == manifest.Free }

// retry waits before a retry that counts against the service's budget.
func (x *exchange) retry(history *history, r result) bool {
	if history.retries >= maxRetries || !x.state.retries.spend() {
		return false
	}
	history.retries++
	delay := delayWithJitter(retryDelayMin, retryDelayMax, history.retries)
	if !x.wait(max(delay, r.retryAfter)) {
		return false
	}
	x.logEvent(events.RequestRetried, r.reason)
	return true
}

// repair waits while a key's dispatcher or owner is being replaced. A round asks the
// holders of the owner, and of the next owner if a redirect names one, without a pause;
// then it waits. Attempts that find nobody cost a refusal each, and the number of
// requests in repair is bounded per service.
func (x *exchange) repair(history *history, d destination, r result) bool {
	if history.repairUntil.IsZero() {
		if !x.state.beginRepairWait() {
			return false
		}
		history.waiting = true
		history.repairUntil = time.Now().Add(repairTime)
	}
	if time.Now().After(history.repairUntil) {
		return false
	}
	if !x.alternative(history, d) {
		history.repairs++
		history.redirects, history.attempts = 0, 0
		if !x.wait(delayWithJitter(repairDelayMin, repairDelayMax, history.repairs)) {
			return false
		}
	}
	x.logEvent(events.RequestRetried, r.reason)
	return true
}

// alternative reports whether another VM or target can be tried at once. If
// not, the next round begins anew.
func (x *exchange) alternative(history *history, d destination) bool {
	if !x.free() {
		history.attempts++
		history.useOther = !history.useOther && d.other != ""
		return history.useOther && history.attempts < maxAttemptsARound
	}
	if len(history.targets) < len(x.candidates()) {
		return true
	}
	history.targets = history.targets[:0]
	return false
}

func (x *exchange) endRepair(history *history) {
	if history.waiting {
		x.state.endRepairWait()
	}
}

// wait pauses and reports whether the deadline leaves time for another attempt.
func (x *exchange) wait(delay time.Duration) bool {
	if time.Until(x.deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// delayWithJitter returns an exponential delay for the n-th try, counted from 1,
// reduced at random by up to half.
func delayWithJitter(low, high time.Duration, n int) time.Duration {
	delay := min(low<<min(n-1, 16), high)
	return delay/2 + rand.N(delay/2)
}

// refresh returns the newest snapshot and the service in it. If the service has
// been removed meanwhile the request goes on with what it began with.
func (x *exchange) refresh() (*routing.Snapshot, *routing.Service) {
	snapshot := x.handler.config.Snapshot()
	if snapshot == nil {
		return x.snapshot, x.service
	}
	service := snapshot.Services[x.service.Declared.Name]
	if service == nil {
		return x.snapshot, x.service
	}
	return snapshot, service
}
