package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// dialTimeout bounds the opening of a session, including the handshake: for a
	// frozen daemon the kernel still accepts connections. It leaves time to try
	// another VM within a second.
	dialTimeout = 500 * time.Millisecond
	// redialMin and redialMax are the shortest and the longest backoff after a
	// failed dial, before jitter.
	redialMin = 50 * time.Millisecond
	redialMax = 1 * time.Second
	// linkIdleTimeout is the time after which the link of an unused destination is
	// removed. VMs are replaced continually and their names are not reused, so
	// links would accumulate otherwise.
	linkIdleTimeout = 10 * time.Minute
	// redialSuspectAfter is how long a probe may stay unanswered before another session to
	// the peer is tried: a shorter pause is most often the peer's, and every VM would dial it.
	redialSuspectAfter = 500 * time.Millisecond
	// minSessionLifetime is the age below which the loss of a session counts as a
	// failed dial, so that a peer that closes every session is dialed with backoff.
	minSessionLifetime = 1 * time.Second
	// maxSessionAttempts bounds the sessions that one request tries when the
	// session that was selected for it starts to close.
	maxSessionAttempts = 4
)

var (
	errNoAddress   = fault.New(fault.Unavailable, "wait until the VM has announced itself", "no address is known")
	errClosed      = fault.New(fault.Unavailable, "send to another VM", "the daemon is stopping")
	errPeerSuspect = fault.New(fault.Unavailable, "try its backup", "the peer does not answer at the moment")
	errSelf        = fault.New(fault.Refused, "remove this VM's address from the seed peers", "the address belongs to this VM")
)

// link is the state of one destination: its sessions, the dial in progress, and
// the control messages that wait for a session.
type link struct {
	// key is a VM name, or an address (host:port) if the name of the VM there is
	// not known yet.
	key string
	// isOwnAddress is set once the address has been found to be this VM's own.
	isOwnAddress atomic.Bool
	// current is the session that new messages are sent on; nil if there is none.
	current atomic.Pointer[session]

	mu       sync.Mutex
	sessions []*session
	// dialing is closed when the dial in progress has ended; nil if there is none.
	dialing chan struct{}
	// failures counts the dials that have failed in a row; lastErr is the error of
	// the last one, and no dial starts before retryAt.
	failures int
	retryAt  time.Duration
	lastErr  error
	// queue holds control messages until a session opens.
	queue []*peerv1.Control
	// changedAt is when a session was last opened or lost, or a dial failed.
	changedAt time.Duration
}

// idle reports whether the link has no session, dial or queued message and has
// not changed for longer than linkIdleTimeout.
func (l *link) idle(at time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions) == 0 && l.dialing == nil && len(l.queue) == 0 && at-l.changedAt > linkIdleTimeout
}

// usableSession returns the current session if new requests may be sent on it,
// or nil.
func (l *link) usableSession() *session {
	if s := l.current.Load(); s != nil && s.usable() {
		return s
	}
	return nil
}

// addSession adds a session that has just opened, makes it the current one and sends
// the queued control messages on it. It returns the sessions that the link already had.
//
// The new session is current at once because its handshake has shown that the peer is
// there. The earlier ones may have gone silent without an error.
func (l *link) addSession(s *session) (earlier []*session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier = slices.Clone(l.sessions)
	l.sessions = append(l.sessions, s)
	l.changedAt = now()
	l.failures, l.retryAt, l.lastErr = 0, 0, nil
	l.current.Store(s)
	for _, message := range l.queue {
		s.sendControl(message)
	}
	l.queue = nil
	return earlier
}

// replaceSession makes the link use kept where it uses extra.
func (l *link) replaceSession(extra, kept *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.sessions, extra) {
		return
	}
	if !slices.Contains(l.sessions, kept) {
		l.sessions = append(l.sessions, kept)
	}
	if l.current.Load() == extra {
		l.current.Store(kept)
	}
}

// removeSession removes a closed session and, if it was the current one, replaces
// it by another usable one. If there is none, the loss of a session younger than
// minSessionLifetime counts as a failed dial unless the session was closed as idle.
func (l *link) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var next *session
	kept := l.sessions[:0]
	for _, other := range l.sessions {
		if other == s {
			continue
		}
		kept = append(kept, other)
		if other.usable() {
			next = other
		}
	}
	if cause := s.closeCause(); next == nil && cause != errSessionIdle && now()-s.openedAt < minSessionLifetime {
		l.recordFailureLocked(cause)
	}
	clear(l.sessions[len(kept):])
	l.sessions = kept
	l.changedAt = now()
	if l.current.Load() == s {
		l.current.Store(next)
	}
}

// reselect makes another usable session current, the one that opened last, and returns
// it, or nil if there is none.
func (l *link) reselect() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range slices.Backward(l.sessions) {
		if s.usable() {
			l.current.Store(s)
			return s
		}
	}
	return nil
}

// suspectForLocked returns for how long a probe has been unanswered on the suspect session of
// the link that has waited longest; 0 if no open session is suspect (see session.suspect).
func (l *link) suspectForLocked() time.Duration {
	at, longest := now(), time.Duration(0)
	for _, s := range l.sessions {
		if s.currentState() == sessionOpen && s.suspect(at) {
			longest = max(longest, at-time.Duration(s.probeSentAt.Load()))
		}
	}
	return longest
}

// recordFailureLocked records a failed dial and starts the backoff before the next
// one.
func (l *link) recordFailureLocked(cause error) {
	l.failures++
	l.lastErr = cause
	l.changedAt = now()
	l.retryAt = l.changedAt + redialDelay(l.failures)
}

// sessionTo returns a usable session to a VM or address, and dials if there is
// none.
func (t *Transport) sessionTo(ctx context.Context, key string) (*session, error) {
	l := t.link(key)
	if s := l.usableSession(); s != nil {
		return s, nil
	}
	for range maxSessionAttempts {
		if s := l.reselect(); s != nil {
			return s, nil
		}
		dialing, err := t.dial(l)
		if err != nil {
			return nil, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		if s := l.usableSession(); s != nil {
			return s, nil
		}
		if err := l.dialError(); err != nil {
			return nil, err
		}
	}
	return nil, errSessionLeaving
}

// dialError returns why the last dial failed; nil after a successful one.
func (l *link) dialError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
}

// dial starts a dial unless one is in progress, and returns a channel that is closed
// when the dial has ended. If an open session is suspect, no caller waits for the dial,
// which begins after redialSuspectAfter: it fails if the peer is paused or cut off, and
// replaces the session if only that has gone silent.
func (t *Transport) dial(l *link) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if suspectFor := l.suspectForLocked(); suspectFor > 0 {
		if suspectFor > redialSuspectAfter {
			_, _ = t.startDialLocked(l)
		}
		return nil, errPeerSuspect
	}
	return t.startDialLocked(l)
}

// startDialLocked starts a dial unless one is in progress or the next has to wait for its
// backoff.
func (t *Transport) startDialLocked(l *link) (<-chan struct{}, error) {
	if l.dialing != nil {
		return l.dialing, nil
	}
	if now() < l.retryAt {
		return nil, errors.Annotate(l.lastErr, "the last dial failed and the next one waits for its backoff")
	}
	if !t.startTask() {
		return nil, errClosed
	}
	l.dialing = make(chan struct{})
	go t.runDial(l, l.dialing)
	return l.dialing, nil
}

// runDial opens a session for the link and closes done. If the dial fails, it drops the
// queued control messages of the link.
func (t *Transport) runDial(l *link, done chan struct{}) {
	defer t.tasks.Done()
	s, err := t.dialSession(l.key)
	if err == nil {
		err = t.register(s, l)
	}
	l.mu.Lock()
	l.dialing = nil
	if err != nil {
		l.recordFailureLocked(err)
		t.stats.controlDropped.Add(int64(len(l.queue)))
		l.queue = nil
	}
	l.mu.Unlock()
	if err != nil {
		t.logDialFailed(l.key, err)
	}
	close(done)
}

// redialDelay returns the backoff after a number of failed dials in a row. It
// doubles from redialMin up to redialMax; its second half is jitter.
func redialDelay(failures int) time.Duration {
	delay := min(redialMin<<min(failures-1, 10), redialMax)
	return delay/2 + rand.N(delay/2)
}

// dialSession opens a session to a VM or address and checks the identity of the
// peer.
func (t *Transport) dialSession(key string) (*session, error) {
	address := key
	if !isAddress(key) {
		known, ok := t.config.AddressOf(key)
		if !ok {
			return nil, errNoAddress
		}
		address = known
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "cannot connect; check that the daemon runs and that the network lets peers through")
	}
	conn, err = t.secureClient(ctx, conn, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	s, err := openSession(t, conn, true, func(peer Peer) error { return t.checkPeer(peer, key, address) })
	if !stop() && err == nil {
		s.fail(errPeerUnresponsive)
		err = errPeerUnresponsive
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// checkPeer checks that the VM that answered is the one that was dialed.
func (t *Transport) checkPeer(peer Peer, key, address string) error {
	switch {
	case peer == t.config.Self:
		t.link(key).isOwnAddress.Store(true)
		return errSelf
	case peer.VM == t.config.Self.VM:
		return fault.New(fault.Refused, "give each VM a name of its own", "the daemon at %s uses this VM's name %q", address, peer.VM)
	case !isAddress(key) && peer.VM != key:
		return fault.New(fault.Refused, "correct the address that the VM announces", "address %s belongs to VM %q, not to %q", address, peer.VM, key)
	}
	return nil
}

// hasSession reports whether a session belongs to the link.
func (l *link) hasSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.sessions, s)
}
