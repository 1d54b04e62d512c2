package admission

import "time"

// A target may say that it is leaving, or for how long it wants no requests, and a full one
// may leave requests unanswered. All of this comes with the ends of permits, before any other
// word of it. Such a target has no capacity: it is not chosen, and its slots count neither for
// queues nor for estimates of waits. This answers full targets and planned shutdowns under
// load; the end of a back-off is known, so requests wait for it if they can be in time.

// recordNotice records what the end of a permit says of its target.
func (p *pool) recordNotice(t *target, end End, now time.Time) {
	if until := now.Add(end.Rest); end.Rest > 0 && until.After(t.restUntil) {
		t.restUntil = until
	}
	if end.Leaving && !t.leaving {
		t.leaving, t.leavingSince = true, now
		if p.broker.config.Leaving != nil {
			p.broker.config.Leaving(t.Life)
		}
	}
	switch end.Result {
	case Answered, NotRun, NotOwner, Failed:
		t.silent, t.silentUntil = false, time.Time{}
	}
}

// fallSilent records that the target has not answered a request; it gets none for a time.
func (t *target) fallSilent(backoff time.Duration, now time.Time) {
	if !t.silent {
		t.silentSince = now
	}
	t.silent, t.silentUntil = true, now.Add(backoff)
}

// restriction returns what keeps requests from a target.
func (p *pool) restriction(t *target) Restriction {
	r := Restriction{Leaving: t.leaving, Since: t.leavingSince, Until: t.restUntil}
	if p.broker.config.Restricted != nil {
		own := p.broker.config.Restricted(t.Life)
		if !r.Leaving {
			r.Leaving, r.Since = own.Leaving, own.Since
		}
		r.Until = later(r.Until, own.Until)
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leaving reports whether a target has said that it is leaving.
func (p *pool) leaving(t *target) bool { return p.restriction(t).Leaving }

// open reports whether a target takes requests as far as is known, whether or not it has a
// free slot.
func (p *pool) open(t *target, now time.Time) bool {
	if !t.usable || now.Before(t.backoffUntil) || now.Before(t.silentUntil) {
		return false
	}
	r := p.restriction(t)
	return !r.Leaving && !now.Before(r.Until)
}

// restLeft returns how long a request has to wait until a back-off of its target ends, or the
// first back-off of any target of a service without keys; 0 if a target takes requests, or if
// none has asked for a back-off.
func (p *pool) restLeft(r *Request, now time.Time) time.Duration {
	if p.service.Keyed {
		if t := p.owner(r.Key); t != nil {
			return max(p.restriction(t).Until.Sub(now), 0)
		}
		return 0
	}
	var first time.Duration
	for _, t := range p.sortedTargets {
		if p.open(t, now) {
			return 0
		}
		if left := p.restriction(t).Until.Sub(now); t.usable && left > 0 && !p.leaving(t) && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
