package target

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// connection is one HTTP/1.1 connection to a target. It carries one exchange
// at a time. After any protocol error or failure it is closed and never reused.
type connection struct {
	socket *countingSocket
	source *boundedReader
	reader *bufio.Reader
	// incarnation is the target's incarnation from the last answer on this
	// connection that carried one. A connection never outlives the process that
	// accepted it, so the value is valid for as long as the connection works.
	incarnation string
	// openedAt is when the connection was opened, idleSince when it was last used.
	openedAt  time.Time
	idleSince time.Time
	// idleFor is how long the connection was idle before its current use; 0 for a
	// new connection.
	idleFor   time.Duration
	closeOnce sync.Once
	onClose   func()
}

// maxHeadBytes limits the head of an answer, including preceding informational (1xx)
// heads, in bytes. Common proxies accept 8 to 64 KiB.
const maxHeadBytes = 64 << 10

var (
	errHeadTooLong = errors.New("the head of the answer is too long")
	errExtraBytes  = errors.New("the target sent bytes after the end of its answer")
)

// boundedReader returns errHeadTooLong once it has returned the allowed number of bytes.
type boundedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read; read counts those that were.
	remaining, read int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	r.read += int64(n)
	return n, err
}

// countingSocket counts the bytes that the kernel has accepted for sending. Only
// one goroutine may write to it at a time.
type countingSocket struct {
	net.Conn
	accepted int64
	// mu is held during a write; writeErr is the last error of one.
	mu       sync.Mutex
	writeErr error
}

// Write passes p to the kernel and counts the bytes that it accepted.
func (s *countingSocket) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.Conn.Write(p)
	s.accepted += int64(n)
	if err != nil {
		s.writeErr = err
	}
	return n, err
}

// stopWriting ends a write that is in progress and reports whether one has failed before. A read
// that finds the end of the connection does not tell an orderly close from a reset that a write
// has noticed before it: the kernel reports a reset only once.
func (s *countingSocket) stopWriting() (failed bool) {
	// This fails only on a socket that is already closed.
	_ = s.SetWriteDeadline(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr != nil && !errors.Is(s.writeErr, os.ErrDeadlineExceeded)
}

// reset closes the socket and discards the data that the kernel has not delivered
// yet. After an orderly close the kernel would keep retransmitting it, so that an
// abandoned request could reach the target seconds later, once a network partition
// heals.
func (s *countingSocket) reset() {
	s.discardUndeliveredOnClose()
	_ = s.Close()
}

// arrivedAnswerTime is how long an answer may still be read after the deadline. It has
// arrived by then, but this process may not have had its turn, for instance because its VM
// was suspended. It is also the time for which a request that was given up may go on at the
// target.
const arrivedAnswerTime = 20 * time.Millisecond

// giveUp resets the socket because the context of its exchange has ended with an error. The
// socket is never used for another exchange.
func (s *countingSocket) giveUp(err error) {
	if err != context.DeadlineExceeded {
		s.reset()
		return
	}
	// These fail only on a socket that is already closed.
	_ = s.SetWriteDeadline(time.Now())
	_ = s.SetReadDeadline(time.Now().Add(arrivedAnswerTime))
	time.AfterFunc(arrivedAnswerTime, s.reset)
}

// discardUndeliveredOnClose makes the kernel discard undelivered data when the socket is
// closed, including when it is closed because this process ends.
func (s *countingSocket) discardUndeliveredOnClose() {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		// SetLinger fails only on a socket that is already closed.
		_ = tcp.SetLinger(0)
	}
}

// dial opens a TCP connection to address.
func dial(ctx context.Context, address string, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{Timeout: timeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	source := &boundedReader{source: socket, remaining: math.MaxInt64}
	return &connection{
		socket: &countingSocket{Conn: socket}, source: source, reader: bufio.NewReader(source), openedAt: time.Now(),
	}, nil
}

// close closes the socket. It may be called repeatedly and from any goroutine.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.socket.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
}

// reusable reports whether a connection between exchanges is open and has nothing to
// read. Bytes on such a connection belong to a delayed or duplicated answer.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// probe sends a health check on this connection to learn which incarnation of the
// target accepted it. The incarnation stays empty if the target has no health
// endpoint.
func (c *connection) probe(ctx context.Context, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	defer stop()
	request, err := newControlRequest(ctx, http.MethodGet, address, PathHealth, nil)
	if err != nil {
		return err
	}
	if err := request.Write(c.socket); err != nil {
		return err
	}
	response, err := readHead(c, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if !isFramed(response, http.MethodGet) || response.Close {
		return errUnframedAnswer
	}
	if err := discard(response.Body, maxControlReplyBytes); err != nil {
		return err
	}
	if !c.reusable() {
		return errExtraBytes
	}
	c.incarnation = response.Header.Get(HeaderIncarnation)
	c.socket.accepted = 0
	return nil
}
