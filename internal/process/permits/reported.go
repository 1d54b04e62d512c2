package permits

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// A full target may refuse and ask for a back-off, or never answer; a target that is about to
// end says so before the store does. This VM follows what it has been told itself, whoever
// permits its requests: with a broker that does not know it yet, without a broker, and
// against a view that says otherwise.

// maxStates limits the targets whose state is kept besides those of the view.
const maxStates = 1024

// Notice is what a target says of itself in a response.
type Notice struct {
	// Leaving is set if the target is leaving.
	Leaving bool
	// Rest is how long it wants no requests.
	Rest time.Duration
}

// targetState is what this VM knows at first hand of one incarnation of a target.
type targetState struct {
	leaving bool
	// leavingSince is when it said so.
	leavingSince time.Time
	// restUntil is the end of the back-off that the target has asked for, silentUntil that
	// of the one after a request that it did not answer.
	restUntil, silentUntil time.Time
	// answeredSentAt is when the latest of the requests that it has answered was sent.
	answeredSentAt time.Time
}

// active reports whether the state keeps requests from the target.
func (s *targetState) active(now time.Time) bool {
	return s.leaving || now.Before(s.restUntil) || now.Before(s.silentUntil)
}

// reported holds the state of targets. It is safe for concurrent use.
type reported struct {
	mu     sync.Mutex
	states map[fleet.Life]*targetState
	// silent holds the services of which a target left a request unanswered while it
	// answered others.
	silent map[string]bool
}

func newReported() *reported {
	return &reported{states: map[fleet.Life]*targetState{}, silent: map[string]bool{}}
}

// state returns the state of a target and creates it if necessary; known tells which targets
// are in the view. The caller holds mu.
func (r *reported) state(life fleet.Life, known map[string]*fleet.Target, now time.Time) *targetState {
	s := r.states[life]
	if s != nil {
		return s
	}
	if len(r.states) >= maxStates+len(known) {
		r.prune(known, now)
	}
	s = &targetState{}
	r.states[life] = s
	return s
}

// prune drops the states of targets that are not in the view: first those that keep no
// requests from their target, then, if this is not enough, all of them. An entry of the
// store may come back after an outage. The caller holds mu.
func (r *reported) prune(known map[string]*fleet.Target, now time.Time) {
	gone := func(life fleet.Life) bool { t := known[life.ID]; return t == nil || t.Life != life }
	maps.DeleteFunc(r.states, func(life fleet.Life, s *targetState) bool { return gone(life) && !s.active(now) })
	if len(r.states) >= maxStates+len(known) {
		maps.DeleteFunc(r.states, func(life fleet.Life, _ *targetState) bool { return gone(life) })
	}
}

// heard records a response to a request that was sent at a time. The result has what is
// news.
func (r *reported) heard(life fleet.Life, sentAt time.Time, n Notice, known map[string]*fleet.Target, now time.Time) (news Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(life, known, now)
	s.silentUntil = time.Time{}
	if sentAt.After(s.answeredSentAt) {
		s.answeredSentAt = sentAt
	}
	if n.Leaving && !s.leaving {
		s.leaving, s.leavingSince, news.Leaving = true, now, true
	}
	if n.Rest > 0 {
		if !now.Before(s.restUntil) {
			news.Rest = n.Rest
		}
		if until := now.Add(n.Rest); until.After(s.restUntil) {
			s.restUntil = until
		}
	}
	return news
}

// unanswered records that no response arrived to a request that was sent at a time, for
// patience and longer. hangs is set if targets of the service drop what they cannot queue: this
// one has answered a request that was sent after patience, which a slow target would have
// begun later, or another did the same. alive is set if it has answered any later request;
// otherwise it may have ended or be cut off.
func (r *reported) unanswered(t *fleet.Target, sentAt time.Time, patience time.Duration, known map[string]*fleet.Target, now time.Time) (hangs, alive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(t.Life, known, now)
	if s.answeredSentAt.After(sentAt.Add(patience)) {
		r.silent[t.Service] = true
	}
	if !r.silent[t.Service] {
		return false, false
	}
	s.silentUntil = now.Add(patience)
	return true, s.answeredSentAt.After(sentAt)
}

// dropped reports whether a target has probably dropped a request that was sent at a time.
func (r *reported) dropped(t *fleet.Target, sentAt time.Time, patience time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[t.Life]
	return r.silent[t.Service] && s != nil && s.answeredSentAt.After(sentAt.Add(patience))
}

// hangs reports whether targets of a service drop what they cannot queue.
func (r *reported) hangs(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[service]
}

// restriction returns what keeps requests from a target.
func (r *reported) restriction(life fleet.Life) admission.Restriction {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[life]
	if s == nil {
		return admission.Restriction{}
	}
	until := s.restUntil
	if s.silentUntil.After(until) {
		until = s.silentUntil
	}
	return admission.Restriction{Leaving: s.leaving, Since: s.leavingSince, Until: until}
}

// addTo adds what a target has said of itself to the end of a permit.
func (r *reported) addTo(end *admission.End, life fleet.Life, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[life]; s != nil {
		end.Leaving, end.Rest = s.leaving, max(s.restUntil.Sub(now), 0)
	}
}

// Heard records the response of a target to a request that was sent at a time, and returns
// what is news.
func (d *Desk) Heard(target fleet.Life, sentAt time.Time, n Notice) (news Notice) {
	return d.reported.heard(target, sentAt, n, d.config.View().Targets, time.Now())
}

// Unanswered records that a target has not answered a request that was sent at a time, for
// patience and longer. It reports whether the target probably dropped the request because it
// was full; such a target gets no requests until it has answered one or patience has passed
// again.
func (d *Desk) Unanswered(target *fleet.Target, sentAt time.Time, patience time.Duration) bool {
	now := time.Now()
	hangs, alive := d.reported.unanswered(target, sentAt, patience, d.config.View().Targets, now)
	if hangs && !alive {
		d.doubt(target.Life, now)
	}
	return hangs
}

// Hangs reports whether targets of a service are known not to answer what they cannot queue.
func (d *Desk) Hangs(service string) bool { return d.reported.hangs(service) }

// Dropped reports whether a target has probably dropped a request that was sent at a time:
// targets of its service are known to drop what they cannot queue, and this one has answered a
// request that was sent more than patience later.
func (d *Desk) Dropped(target *fleet.Target, sentAt time.Time, patience time.Duration) bool {
	return d.reported.dropped(target, sentAt, patience)
}

// MaySend reports whether requests may be sent to a target, by what it has said of itself. It
// is to be asked right before a request is sent.
func (d *Desk) MaySend(target fleet.Life) bool {
	r := d.reported.restriction(target)
	return !r.Leaving && !time.Now().Before(r.Until)
}
