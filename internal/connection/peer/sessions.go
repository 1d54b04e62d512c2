package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

var errCallLost = fault.New(fault.UnknownOutcome, "repeat the call", "the session was lost before the reply")

// accept opens a session on an incoming connection.
func (t *Transport) accept(conn net.Conn) {
	defer t.tasks.Done()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(false)
	}
	unbind := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer unbind()
	if t.config.TLS != nil {
		conn = tls.Server(conn, t.config.TLS)
	}
	s, err := openSession(t, conn, false, t.refuseSelf)
	if err == nil {
		err = t.register(s, nil)
	}
	if err != nil && t.ctx.Err() == nil {
		events.PeerSessionRefused.Log(&t.config.Logger).Str("address", conn.RemoteAddr().String()).Err(err).Send()
	}
}

// refuseSelf refuses a peer with the name of this VM, as in a session of this VM
// with itself.
func (t *Transport) refuseSelf(peer Peer) error {
	if peer.VM == t.config.Self.VM {
		return errSelf
	}
	return nil
}

// secureClient sets up TLS on a dialed connection if it is configured.
func (t *Transport) secureClient(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	if t.config.TLS == nil {
		return conn, nil
	}
	config := t.config.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Annotate(err, "TLS handshake failed; check the certificates in the settings")
	}
	return secured, nil
}

// register adds an open session to the link of its peer. dialed is the link that
// the session was dialed for, nil for an accepted session; if that is the link of
// an address, the peer's current session is added to it as well.
func (t *Transport) register(s *session, dialed *link) error {
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		s.fail(errClosed)
		return errClosed
	}
	t.sessions[s] = struct{}{}
	t.mu.Unlock()
	peerLink := t.link(s.peer.VM)
	earlier := peerLink.addSession(s)
	if dialed != nil && dialed != peerLink {
		dialed.addSession(s)
	}
	if s.currentState() == sessionClosed {
		// The session may have closed before it was added: unlink did not find it then.
		t.unlink(s)
	}
	for _, other := range earlier {
		t.keepOne(other, s)
	}
	events.PeerSessionOpened.Log(&t.config.Logger).Str("vm", s.peer.VM).Str("incarnation", s.peer.Incarnation).Bool("dialed", s.dialed).Send()
	return nil
}

// keepOne closes one of two sessions to a peer, gracefully, if both are alive. Nothing else
// tells a session that has gone silent from one that is quiet, so the earlier one has to
// prove that it is alive, by bytes that have just arrived or by the answer to a probe.
// Without the answer it ends as every suspect session does, and the later one stays.
//
// Both sides keep the same session because one of them decides: the VM whose name sorts
// first keeps the session that it has dialed; if one VM has dialed both, that VM keeps the
// earlier one. The other VM uses the later session until it gets a Leave.
func (t *Transport) keepOne(earlier, later *session) {
	if earlier.currentState() != sessionOpen {
		return
	}
	at := now()
	if earlier.peer == later.peer && at-earlier.conn.lastRead() <= probeAfter {
		t.settle(earlier, later)
		return
	}
	earlier.spawn(func() {
		if earlier.sendProbe(at) == nil && earlier.peer == later.peer {
			t.settle(earlier, later)
		}
	})
}

// settle closes one of two live sessions to a peer if this VM is the one that decides (see
// keepOne). Then it has dialed at least one of them.
func (t *Transport) settle(earlier, later *session) {
	decides := later.dialed
	if earlier.dialed != later.dialed {
		decides = t.config.Self.VM < later.peer.VM
	}
	kept, extra := earlier, later
	if !earlier.dialed {
		kept, extra = later, earlier
	}
	if !decides || kept.currentState() != sessionOpen || extra.currentState() != sessionOpen {
		return
	}
	t.replaceSession(extra, kept)
	extra.leave()
}

// replaceLeaving makes the links of a session that the peer leaves use another one to that
// peer, if there is one.
func (t *Transport) replaceLeaving(s *session) {
	if kept := t.link(s.peer.VM).reselect(); kept != nil && kept.peer == s.peer {
		t.replaceSession(s, kept)
	}
}

// replaceSession makes all links that use extra, those of addresses too, use kept.
func (t *Transport) replaceSession(extra, kept *session) {
	t.links.Range(func(_, l any) bool {
		l.(*link).replaceSession(extra, kept)
		return true
	})
	if kept.currentState() == sessionClosed {
		// As in register.
		t.unlink(kept)
	}
}

// onSessionClosed is called once by each session, after it has closed.
func (t *Transport) onSessionClosed(s *session, cause error) {
	t.unlink(s)
	events.PeerSessionClosed.Log(&t.config.Logger).Str("vm", s.peer.VM).Str("incarnation", s.peer.Incarnation).Str("cause", cause.Error()).Send()
}

// unlink removes a closed session from all links and fails the control calls that
// may have been sent on it.
func (t *Transport) unlink(s *session) {
	t.mu.Lock()
	delete(t.sessions, s)
	t.mu.Unlock()
	t.links.Range(func(_, value any) bool {
		l := value.(*link)
		if l.hasSession(s) {
			l.removeSession(s)
		}
		return true
	})
	t.calls.failOn(s, errCallLost)
}

func (t *Transport) logDialFailed(key string, cause error) {
	if t.ctx.Err() == nil {
		events.PeerUnreachable.Log(&t.config.Logger).Str("peer", key).Err(cause).Send()
	}
}
