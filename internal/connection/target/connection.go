package target

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// connection is one HTTP/1.1 connection to a target. It carries one exchange
// at a time and is closed, never reused, after any irregularity.
type connection struct {
	socket *countingSocket
	source *boundedReader
	reader *bufio.Reader
	// incarnation is the target's incarnation as last answered on this
	// connection. A connection never outlives the process that accepted it, so
	// the value holds for as long as the connection works.
	incarnation string
	idleSince   time.Time
	// idle is how long the connection was idle before its present use; 0 for a
	// new one.
	idle      time.Duration
	closeOnce sync.Once
	onClose   func()
}

// maxHead bounds the head of an answer with the informational ones before it, in
// bytes. Common proxies take 8 to 64 KiB.
const maxHead = 64 << 10

var (
	errLongHead   = errors.New("the head of the answer does not end")
	errLongAnswer = errors.New("the target sent more than its answer")
)

// boundedReader fails after a number of bytes.
type boundedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// countingSocket counts the bytes that the kernel has accepted for sending. One
// goroutine at a time writes to it.
type countingSocket struct {
	net.Conn
	accepted int64
	writeErr error
}

// Write passes bytes to the kernel and counts those that it accepted.
func (s *countingSocket) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.accepted += int64(n)
	if err != nil {
		s.writeErr = err
	}
	return n, err
}

// reset closes the socket and drops what the kernel has not delivered yet. An
// orderly close would go on delivering it: a request that was given up would
// reach its target through a healed partition seconds later.
func (s *countingSocket) reset() {
	s.dropUndelivered()
	_ = s.Close()
}

// dropUndelivered lets the kernel deliver nothing more once the socket is closed, also
// by the end of this process.
func (s *countingSocket) dropUndelivered() {
	if tcp, ok := s.Conn.(*net.TCPConn); ok {
		// It fails only on a socket that is closed already.
		_ = tcp.SetLinger(0)
	}
}

// dial opens a connection.
func dial(ctx context.Context, address string, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{Timeout: timeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	source := &boundedReader{source: socket, left: math.MaxInt64}
	return &connection{socket: &countingSocket{Conn: socket}, source: source, reader: bufio.NewReader(source)}, nil
}

// close closes the socket; it may be called from any goroutine, repeatedly.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.socket.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
}

// quiet reports whether an idle connection is open with nothing to read. Bytes
// on an idle connection belong to a late or doubled answer.
func (c *connection) quiet() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// probe asks for the target's health on this connection, to learn which
// incarnation accepted it. A target without a health endpoint leaves the
// incarnation empty.
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
	if !hasLength(response, http.MethodGet) || response.Close {
		return errIncompleteAnswer
	}
	if err := discard(response.Body, maxControlReply); err != nil {
		return err
	}
	if !c.quiet() {
		return errLongAnswer
	}
	c.incarnation = response.Header.Get(HeaderIncarnation)
	c.socket.accepted = 0
	return nil
}
