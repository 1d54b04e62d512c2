package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// The kinds of streams. The first byte on a stream gives its kind.
const (
	streamControl      = 'C'
	streamRequests     = 'R'
	streamRequestBody  = 'Q'
	streamResponseBody = 'P'
)

const (
	// controlReadBuffer and requestReadBuffer are the sizes in bytes of the read
	// buffers of the long-lived streams.
	controlReadBuffer = 1 << 10
	requestReadBuffer = 4 << 10
	// bodyReadBuffer is the size in bytes of the read buffer of a body stream.
	bodyReadBuffer = 4 << 10
	// maxServing is the maximum number of requests that one session serves at once.
	maxServing = 8192
	// streamHeadTimeout bounds the wait for the kind of a new stream, and for its
	// first message.
	streamHeadTimeout = 10 * time.Second
	// connectionWriteTimeout bounds a write to the connection; after it the session
	// is closed.
	connectionWriteTimeout = 10 * time.Second
	// streamCloseTimeout is the time after which a closed stream that the peer has
	// not closed is released.
	streamCloseTimeout = time.Minute
)

var (
	errSessionLeaving   = fault.New(fault.Unavailable, "send again; that opens another session", "the session is closing")
	errSessionIdle      = fault.New(fault.Unavailable, "send again; that opens another session", "the session was idle and has been closed")
	errPeerUnresponsive = fault.New(fault.UnknownOutcome, "check the peer's VM and the network", "the peer no longer answers")
)

// sessionState is the state of a session. It only advances, in the order below.
type sessionState uint8

const (
	// sessionOpen means that both sides may send new requests.
	sessionOpen sessionState = iota
	// sessionLeaving means that no new requests are sent; those in flight continue.
	sessionLeaving
	// sessionClosed means that the connection is closed.
	sessionClosed
)

// session is one connection to a peer, multiplexed by yamux, with its two
// long-lived streams. Its times are those of now; atomic ones are in nanoseconds.
type session struct {
	transport *Transport
	peer      Peer
	// dialed is set on the side that opened the connection.
	dialed   bool
	mux      *yamux.Session
	conn     *countedConn
	requests *batchWriter
	control  *controlQueue
	// probeSentAt is when the unanswered probe was sent; 0 if there is none.
	probeSentAt atomic.Int64
	// unansweredSince is when the first control message or response was sent after the peer
	// was last heard from; 0 before any. suspectLogged is set once the present probe has been
	// logged as unanswered; it belongs to the monitor.
	unansweredSince atomic.Int64
	suspectLogged   bool
	// roundTrip is the shortest measured round trip time in nanoseconds; 0 before
	// the first measurement.
	roundTrip atomic.Int64
	// usedAt is when the session last carried a request, a response, a body or a
	// control message; probes do not count.
	usedAt atomic.Int64

	mu    sync.Mutex
	state sessionState
	// cause is why the session was closed; nil before.
	cause  error
	nextID uint64
	// pending holds the requests to the peer that await a response, serving the
	// requests of the peer that are being handled, both by request ID.
	pending map[uint64]*pendingRequest
	serving map[uint64]context.CancelFunc
	// bodies counts the bodies that are still being read or written.
	bodies int
	// leaveAckDue is set while a Leave of the peer is still to be acknowledged.
	leaveAckDue bool
	// leaveAcked is set once the peer has acknowledged the Leave of this side.
	leaveAcked bool

	openedAt time.Duration
}

// yamuxConfig returns the yamux settings of a session. Keepalives are off so that
// an idle session causes no traffic: the transport probes a peer only while
// something waits for it or a message to it is unanswered.
func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = connectionWriteTimeout
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}

// openSession performs the handshake on a new connection, passes the peer to
// check before anything else is sent, and opens the long-lived streams. On an
// error it closes the connection.
func openSession(t *Transport, conn net.Conn, dialed bool, check func(Peer) error) (*session, error) {
	peer, err := exchangeHello(conn, t.config.Self, t.config.Deployment)
	if err == nil {
		err = check(peer)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &session{
		transport: t, peer: peer, dialed: dialed,
		conn:     newCountedConn(conn, &t.stats.bytesSent, &t.stats.bytesReceived),
		requests: newBatchWriter(),
		control:  newControlQueue(&t.stats.controlDropped),
		pending:  make(map[uint64]*pendingRequest),
		serving:  make(map[uint64]context.CancelFunc),
		openedAt: now(),
	}
	s.touch()
	if err := s.start(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// start starts yamux on the connection, sets up the two long-lived streams and
// starts the goroutines of the session. The dialing side opens the streams, in a
// fixed order.
func (s *session) start() (err error) {
	newMux := yamux.Server
	if s.dialed {
		newMux = yamux.Client
	}
	if s.mux, err = newMux(s.conn, yamuxConfig()); err != nil {
		return err
	}
	control, err := s.sharedStream(streamControl)
	if err != nil {
		_ = s.mux.Close()
		return err
	}
	requests, err := s.sharedStream(streamRequests)
	if err != nil {
		_ = s.mux.Close()
		return err
	}
	s.run(func() error { return s.control.run(control, &s.transport.stats.controlBytesSent) })
	s.run(func() error { return s.requests.run(requests) })
	s.run(func() error { return s.readControl(control) })
	s.run(func() error { return s.readRequests(requests) })
	s.run(s.acceptBodies)
	s.spawn(func() { _ = s.ping() })
	return nil
}

// sharedStream opens a long-lived stream on the dialing side, and accepts it on
// the other.
func (s *session) sharedStream(kind byte) (*yamux.Stream, error) {
	if s.dialed {
		stream, err := s.mux.OpenStream()
		if err != nil {
			return nil, err
		}
		_, err = stream.Write([]byte{kind})
		return stream, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	got, err := readKind(stream, helloTimeout)
	if err == nil && got != kind {
		err = fault.New(fault.Invalid, "run daemons of one version", "peer opened a stream of kind %q where %q was expected", got, kind)
	}
	return stream, err
}

// readKind reads the first byte of a stream.
func readKind(stream *yamux.Stream, timeout time.Duration) (byte, error) {
	if err := stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return 0, err
	}
	return kind[0], stream.SetReadDeadline(time.Time{})
}

// run starts a task in a goroutine; the session is closed when the first of its
// tasks returns.
func (s *session) run(task func() error) {
	s.spawn(func() { s.fail(task()) })
}

// spawn starts a goroutine that Transport.Close waits for. It may be called only
// from such a goroutine: Close cannot have returned while that one runs.
func (s *session) spawn(task func()) {
	s.transport.tasks.Go(task)
}

// fail closes the session and ends all its requests: those to the peer fail with
// cause, the handlers of those from the peer are canceled. Only the first call
// has an effect.
func (s *session) fail(cause error) {
	s.mu.Lock()
	if s.state == sessionClosed {
		s.mu.Unlock()
		return
	}
	s.state = sessionClosed
	s.cause = cause
	serving := s.serving
	s.serving = nil
	s.mu.Unlock()

	_ = s.mux.Close()
	s.requests.close()
	s.transport.stats.controlDropped.Add(int64(len(s.control.close())))
	s.failPending(cause)
	for _, cancel := range serving {
		cancel()
	}
	s.transport.onSessionClosed(s, cause)
}

// usable reports whether new requests may be sent: the session is open and the
// peer is not suspect.
func (s *session) usable() bool {
	return !s.suspect(now()) && s.currentState() == sessionOpen
}

func (s *session) currentState() sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// closeCause returns why the session was closed; nil while it is open.
func (s *session) closeCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// touch records that the session is in use.
func (s *session) touch() { s.usedAt.Store(int64(now())) }

// sendControl queues a control message.
func (s *session) sendControl(message *peerv1.Control) {
	s.noteSent()
	s.control.add(message)
}

// noteSent records that a message was sent for which nothing on this side waits. Only a
// probe shows that such a message went nowhere.
func (s *session) noteSent() {
	s.touch()
	if s.conn.lastRead() >= time.Duration(s.unansweredSince.Load()) {
		s.unansweredSince.Store(int64(now()))
	}
}

// trackBody counts a body as in transfer until the returned function is called.
func (s *session) trackBody() func() {
	s.mu.Lock()
	s.bodies++
	s.mu.Unlock()
	return func() {
		s.touch()
		s.mu.Lock()
		s.bodies--
		s.acknowledgeLeaveLocked()
		s.mu.Unlock()
	}
}

// readControl handles the messages of the control stream one after the other, so
// they are delivered in the order in which they were sent.
func (s *session) readControl(stream *yamux.Stream) error {
	reader := newFrameReader(stream, controlReadBuffer)
	for {
		message := &peerv1.Control{}
		size, err := reader.next(message)
		if err != nil {
			return err
		}
		s.touch()
		s.transport.stats.controlBytesReceived.Add(int64(size))
		if reply := s.transport.receiveControl(s.peer, message); reply != nil {
			s.sendControl(reply)
		}
	}
}

// readRequests handles the frames of the shared request stream.
func (s *session) readRequests(stream *yamux.Stream) error {
	reader := newFrameReader(stream, requestReadBuffer)
	for {
		frame := &peerv1.RequestFrame{}
		if _, err := reader.next(frame); err != nil {
			return err
		}
		s.touch()
		switch kind := frame.Kind.(type) {
		case *peerv1.RequestFrame_Request:
			s.serve(kind.Request, nil)
		case *peerv1.RequestFrame_Response:
			if !s.complete(kind.Response, nil) {
				s.transport.stats.unmatched.Add(1)
			}
		case *peerv1.RequestFrame_Cancel:
			s.cancelServing(kind.Cancel.Id)
		case *peerv1.RequestFrame_Leave:
			s.receiveLeave(kind.Leave.Accepted)
		}
	}
}

// acceptBodies accepts the streams that carry bodies.
func (s *session) acceptBodies() error {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return err
		}
		s.spawn(func() { s.receiveBody(stream) })
	}
}

// receiveBody reads the request or response at the head of a body stream and
// passes it on with the body. A stream whose head cannot be read is closed; a
// request that waits for it ends by its own deadline or with the session.
func (s *session) receiveBody(stream *yamux.Stream) {
	kind, err := readKind(stream, streamHeadTimeout)
	if err != nil {
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Now().Add(streamHeadTimeout))
	reader := newFrameReader(stream, bodyReadBuffer)
	frame := &peerv1.RequestFrame{}
	if _, err := reader.next(frame); err != nil {
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.touch()
	switch {
	case kind == streamRequestBody && frame.GetRequest() != nil:
		body := newBodyReader(reader.in, stream, true, s.trackBody())
		s.serve(frame.GetRequest(), body)
	case kind == streamResponseBody && frame.GetResponse() != nil:
		body := newBodyReader(reader.in, stream, false, s.trackBody())
		if !s.complete(frame.GetResponse(), body) {
			s.transport.stats.unmatched.Add(1)
			_ = body.Close()
		}
	default:
		_ = stream.Close()
	}
}
