package peer

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

const (
	// monitorInterval is the interval at which sessions are checked.
	monitorInterval = 50 * time.Millisecond
	// monitorStall is the time without a check after which this process counts as having
	// stalled.
	monitorStall = 500 * time.Millisecond
	// probeAfter is how long a peer may send nothing, while something waits for it,
	// before it is probed.
	probeAfter = 150 * time.Millisecond
	// messageProbeAfter is how long a peer may send nothing after a message for which
	// nothing waits, before it is probed. It is above the longest regular pause between
	// messages of two VMs, the 0.5 s of reports in a large fleet, so that those cause no
	// probes; with redialSuspectAfter and a handshake it is below the 3 s after which a VM
	// whose connections were lost counts as reached again.
	messageProbeAfter = 700 * time.Millisecond
	// suspectAfter is how long a probe may stay unanswered, beyond twice the round
	// trip time of the session, before the peer is suspect and new requests are
	// refused as not sent. Requests in flight continue, so a wrong suspicion costs
	// little.
	suspectAfter = 100 * time.Millisecond
	// failAfter is how long a probe may stay unanswered before the session is
	// closed and its requests end with an unknown outcome.
	failAfter = 3 * time.Second
	// leaveTimeout is the time beyond the idle timeout after which an unused
	// session that is leaving is closed even if the peer has not acknowledged the
	// Leave.
	leaveTimeout = 10 * time.Second
)

// check probes the peer if needed, and closes a session whose peer does not
// answer or that is idle. The monitor calls it at every interval.
func (s *session) check(at time.Duration) {
	s.checkLiveness(at)
	s.checkIdle(at)
}

// checkLiveness probes a peer that has sent nothing for probeAfter while something
// waits for it, or for messageProbeAfter after another message, and closes the session if
// the probe is not answered within failAfter. Any byte from the peer counts as an answer.
//
// If bytes get through in one direction only, the side that hears nothing finds out.
func (s *session) checkLiveness(at time.Duration) {
	probedAt := time.Duration(s.probeSentAt.Load())
	lastRead := s.conn.lastRead()
	switch {
	case probedAt != 0 && lastRead >= probedAt:
		s.probeSentAt.Store(0)
		s.suspectLogged = false
	case probedAt != 0 && at-probedAt > failAfter:
		s.spawn(func() { s.fail(errPeerUnresponsive) })
	case probedAt == 0 && (at-lastRead > probeAfter && s.waitsForPeer() || s.unansweredFor(at) > messageProbeAfter):
		s.probeSentAt.Store(int64(at))
		s.spawn(func() { _ = s.ping() })
	case !s.suspectLogged && s.suspect(at):
		s.suspectLogged = true
		s.transport.stats.suspected.Add(1)
		events.PeerSuspect.Log(&s.transport.config.Logger).Str("vm", s.peer.VM).Str("incarnation", s.peer.Incarnation).
			Bool("dialed", s.dialed).Dur("silent", at-lastRead).Dur("unanswered", s.unansweredFor(at)).Bool("waited_for", s.waitsForPeer()).Send()
	}
}

// sendProbe probes the peer at once and returns nil once the peer has answered. Until then
// checkLiveness judges the session by the earliest probe that is unanswered.
func (s *session) sendProbe(at time.Duration) error {
	s.probeSentAt.CompareAndSwap(0, int64(at))
	return s.ping()
}

// ping waits for the peer's answer to a ping and measures the round trip time. It keeps the
// shortest: a longer one is due to a pause of either process, not to the network.
func (s *session) ping() error {
	s.transport.stats.probesSent.Add(1)
	roundTrip, err := s.mux.Ping()
	if err != nil {
		return err
	}
	shortest := s.roundTrip.Load()
	if shortest == 0 || int64(roundTrip) < shortest {
		s.roundTrip.Store(int64(roundTrip))
	}
	return nil
}

// unansweredFor returns how long ago the first message was sent (see noteSent) after which
// the peer has sent nothing; 0 if there is none.
func (s *session) unansweredFor(at time.Duration) time.Duration {
	since := time.Duration(s.unansweredSince.Load())
	if s.conn.lastRead() >= since {
		return 0
	}
	return at - since
}

// suspect reports whether a probe has been unanswered for so long (suspectAfter)
// that no new requests should be sent to the peer.
func (s *session) suspect(at time.Duration) bool {
	probedAt := time.Duration(s.probeSentAt.Load())
	allowed := suspectAfter + 2*time.Duration(s.roundTrip.Load())
	return probedAt != 0 && s.conn.lastRead() < probedAt && at-probedAt > allowed
}

// waitsForPeer reports whether a request, a body or a control call waits for data
// from the peer.
func (s *session) waitsForPeer() bool {
	s.mu.Lock()
	waits := len(s.pending) > 0 || s.bodies > 0
	s.mu.Unlock()
	return waits || s.transport.calls.hasCallOn(s)
}

// checkIdle starts the graceful close (see leave) of a session that has been unused
// for the idle timeout. It closes a leaving session on which nothing is in flight
// once the peer has acknowledged the Leave, or leaveTimeout has passed. The
// accepting side uses 1.5 times the idle timeout, so that normally the dialing
// side acts.
func (s *session) checkIdle(at time.Duration) {
	idle := at - time.Duration(s.usedAt.Load())
	limit := s.transport.config.IdleTimeout
	if !s.dialed {
		limit += limit / 2
	}
	s.mu.Lock()
	drained := s.drainedLocked()
	state := s.state
	leaveAcked := s.leaveAcked
	s.mu.Unlock()
	switch {
	case state == sessionOpen && drained && idle > limit:
		s.leave()
	case state == sessionLeaving && drained && (leaveAcked || idle > limit+leaveTimeout):
		s.spawn(func() { s.fail(errSessionIdle) })
	}
}

// drainedLocked reports whether nothing is in flight in either direction.
func (s *session) drainedLocked() bool {
	return len(s.pending) == 0 && len(s.serving) == 0 && s.bodies == 0
}

// leave starts the graceful close of the session: it tells the peer by a Leave
// that this side sends no new requests on it.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sessionOpen {
		return
	}
	s.state = sessionLeaving
	_, _ = s.requests.add(leaveFrame(false))
}

// receiveLeave handles a Leave of the peer; accepted means that it acknowledges
// the Leave of this side.
func (s *session) receiveLeave(accepted bool) {
	s.mu.Lock()
	if accepted {
		s.leaveAcked = true
		s.mu.Unlock()
		return
	}
	if s.state == sessionOpen {
		s.state = sessionLeaving
	}
	s.mu.Unlock()
	// Before the acknowledgement, after which the peer closes the session.
	s.transport.replaceLeaving(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveAckDue = true
	s.acknowledgeLeaveLocked()
}

// acknowledgeLeaveLocked acknowledges the peer's Leave once this side has no
// request or body in flight, so that the peer may close the session.
func (s *session) acknowledgeLeaveLocked() {
	if !s.leaveAckDue || len(s.pending) > 0 || s.bodies > 0 {
		return
	}
	s.leaveAckDue = false
	_, _ = s.requests.add(leaveFrame(true))
}

func leaveFrame(accepted bool) *peerv1.RequestFrame {
	return &peerv1.RequestFrame{Kind: &peerv1.RequestFrame_Leave{Leave: &peerv1.Leave{Accepted: accepted}}}
}
