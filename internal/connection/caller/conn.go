package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// readBufferBytes and writeBufferBytes are the buffer sizes of a connection, in bytes.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxPipelined bounds the requests in flight on one connection.
	maxPipelined = 16
	// discardBytes bounds how much of an unread body is discarded in order to reuse
	// the connection.
	discardBytes = 256 << 10
	// lingerTime is how long a connection that is being closed still reads from the
	// caller: closing a socket with unread data resets it, and the caller could
	// lose the response. It also bounds the time to discard an unread body.
	lingerTime = 300 * time.Millisecond
	// writeTimeout bounds one write, in case the caller does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds one read of a request body.
	bodyTimeout = 10 * time.Second
)

// conn is one connection of a caller. One goroutine reads its requests; each
// request runs on a goroutine of its own.
type conn struct {
	server *Server
	socket net.Conn
	// limiter limits the size of request heads. reader reads from the socket through it.
	limiter *headLimiter
	reader  *bufio.Reader
	// writer is used by the responses in turn.
	writer *bufio.Writer
	// ctx is the context of all requests. It is canceled when the caller leaves or the
	// connection is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending is the number of requests whose response is not complete.
	pending int
	// slotFreed is signaled when a request ends or the connection is closed.
	slotFreed *sync.Cond
	// closing is set when no further request will be answered.
	closing bool
	// closed is set when the socket is closed.
	closed bool
	// draining is set by drain: the connection is closed once it has no request.
	draining bool
	// used is set when the first request has begun to arrive.
	used bool
	// reading is set while a request is being read.
	reading bool

	// lastRead is set when the request that closes the connection has been read. Only
	// the reading goroutine uses it.
	lastRead bool
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, limiter: &headLimiter{source: socket}}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	c.writer = bufio.NewWriterSize(socket, writeBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.slotFreed = sync.NewCond(&c.mu)
	return c
}

// serve reads and starts requests until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.cancel()
	turn := make(chan struct{})
	close(turn)
	for {
		request, err := c.readRequest()
		if err != nil {
			c.closeAfterReadError(err, turn)
			return
		}
		next := make(chan struct{})
		bodyRead, started := c.startRequest(request, turn, next)
		if !started {
			<-turn
			c.closeGracefully()
			return
		}
		turn = next
		if bodyRead != nil {
			// The next request head follows the body.
			<-bodyRead
		}
		if !c.waitForSlot() {
			<-turn
			c.closeGracefully()
			return
		}
	}
}

// readRequest waits for a request and reads its head.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.Limits()
	c.beginWaiting(limits)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errNoRequest
	}
	if c.lastRead {
		return nil, errAfterLast
	}
	if !c.beginReading() {
		return nil, errNoRequest
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limiter.setLimit(limits.HeaderBytes)
	request, err := http.ReadRequest(c.reader)
	c.limiter.removeLimit()
	_ = c.socket.SetReadDeadline(time.Time{})
	if err != nil && c.limiter.err != nil {
		err = c.limiter.err
	}
	if err != nil {
		return nil, err
	}
	c.lastRead = request.Close || !request.ProtoAtLeast(1, 1)
	return request, checkHead(request)
}

// checkHead rejects request heads that net/http accepts although they leave the end
// of the body ambiguous: part of the body could run as another request (request
// smuggling).
func checkHead(request *http.Request) error {
	for name := range request.Header {
		if strings.Contains(name, " ") {
			return errHeaderName
		}
	}
	switch {
	case request.ProtoAtLeast(1, 1):
		if request.Host == "" {
			return errNoHost
		}
	case !isSafe(request.Method) && request.Header.Get("Content-Length") == "":
		// net/http ignores Transfer-Encoding in an HTTP/1.0 request.
		return errNoLength
	}
	return nil
}

var (
	errNoRequest  = errors.New("the connection ended before another request")
	errAfterLast  = errors.New("a previous request closes the connection")
	errNoHost     = errors.New("the request has no Host header")
	errHeaderName = errors.New("the request has a header name with a space")
	errNoLength   = errors.New("the HTTP/1.0 request has no Content-Length")
)

// beginReading records that a request is being read. It reports false if the
// connection is closing, so that no further request will be answered.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading, c.used = true, true
	return true
}

// beginWaiting records that no request is being read and sets the deadline for the
// next one. There is none while requests are in flight.
func (c *conn) beginWaiting(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.setIdleDeadline(limits)
}

// setIdleDeadline sets the read deadline of a connection without requests, and
// removes it from one with requests. The caller holds c.mu.
func (c *conn) setIdleDeadline(limits Limits) {
	if c.pending > 0 || c.reading {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	if c.draining {
		// Interrupts the reading goroutine.
		_ = c.socket.SetReadDeadline(time.Now())
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
}

// startRequest starts the handler of a request. turn is closed when the previous
// response is complete, next when this one is. It returns a channel that is closed
// when the body has been read or given up, or nil if there is no body. It reports
// false if a response has meanwhile announced that the connection closes.
func (c *conn) startRequest(request *http.Request, turn, next chan struct{}) (bodyRead chan struct{}, started bool) {
	c.mu.Lock()
	c.reading = false
	if c.closing {
		c.mu.Unlock()
		return nil, false
	}
	c.pending++
	handler := c.server.Handler
	if c.server.refusing.Load() {
		handler = c.server.Refusal
		// Its response closes the connection.
		c.closing = true
	}
	c.mu.Unlock()
	w := &response{conn: c, request: request, header: http.Header{}, turn: turn}
	var done chan struct{}
	if request.Body != nil && request.Body != http.NoBody {
		done = make(chan struct{})
		request.Body = c.wrapBody(request, done)
	}
	request = request.WithContext(c.ctx)
	request.RemoteAddr = c.socket.RemoteAddr().String()
	w.request = request
	if !isSafe(request.Method) {
		// Requests with side effects run only after all previous ones.
		<-turn
	}
	go c.run(handler, request, w, next, done)
	return done, true
}

// isSafe reports whether requests with the method have no side effects and may run
// concurrently.
func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// run calls the handler and completes its response.
func (c *conn) run(handler http.Handler, request *http.Request, w *response, next, bodyRead chan struct{}) {
	aborted := true
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler && c.server.Panicked != nil {
			c.server.Panicked(request, reason)
		}
		if aborted || w.finish() != nil {
			w.markIncomplete()
			c.abort()
		}
		if bodyRead != nil {
			request.Body.(*callerBody).finish()
		}
		c.requestDone(w)
		close(next)
	}()
	handler.ServeHTTP(w, request)
	aborted = false
}

// requestDone records the end of a request.
func (c *conn) requestDone(w *response) {
	limits := c.server.Limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.closing && c.pending == 0 {
		// Interrupts the reading goroutine.
		_ = c.socket.SetReadDeadline(time.Now())
	} else if !c.reading {
		c.setIdleDeadline(limits)
	}
	c.slotFreed.Broadcast()
}

// waitForSlot waits while maxPipelined requests are in flight. It reports false if
// no further request is to be read.
func (c *conn) waitForSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending >= maxPipelined && !c.closing {
		c.slotFreed.Wait()
	}
	return !c.closing
}

// closeAfterReadError closes the connection after readRequest has failed. An invalid
// request is answered first.
func (c *conn) closeAfterReadError(err error, turn chan struct{}) {
	var status int
	switch {
	case errors.Is(err, errNoRequest), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		if c.isClosing() {
			<-turn
			c.closeGracefully()
			return
		}
		// The caller has closed the connection: cancel its requests.
		c.abort()
		return
	case errors.Is(err, errAfterLast):
		<-turn
		c.closeGracefully()
		return
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	default:
		status = http.StatusBadRequest
	}
	<-turn
	_, _ = io.WriteString(c.writer, "HTTP/1.1 "+statusLine(status)+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.writer.Flush()
	c.closeGracefully()
}

// isNetError reports whether an error is one of the connection. The error of a malformed URL
// implements net.Error as well.
func isNetError(err error) bool {
	var netError net.Error
	var urlError *url.Error
	return errors.As(err, &netError) && !errors.As(err, &urlError)
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.draining
}

// drain closes the connection if it is idle, or makes it close after the responses
// to its requests. If keepUnused is set, a connection that has had no request yet stays
// open. It does nothing while a request is being read; Shutdown calls it again.
func (c *conn) drain(keepUnused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reading, keepUnused && !c.used:
	case c.pending > 0:
		c.closing = true
	default:
		// closing stays unset, so that a request is still answered if its first byte
		// has already arrived.
		c.draining = true
		_ = c.socket.SetReadDeadline(time.Now())
	}
}

// decideClose decides whether the connection closes after the response that is about
// to be written. It must if required is set, i.e. the caller has asked for it. If the
// handler (wanted) or a shutdown asks for it, the connection closes only if no other
// request is in flight or being read.
func (c *conn) decideClose(required, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if required || (wanted || c.closing || c.server.stopping.Load()) && c.pending == 1 && !c.reading {
		c.closing = true
		return true
	}
	return false
}

// closeGracefully closes the connection after its last response. It first closes the
// write side and reads on for up to lingerTime, so that the caller gets the response.
func (c *conn) closeGracefully() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, discardBytes))
	}
	c.abort()
}

// abort closes the connection immediately and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	wasClosed := c.closed
	c.closed = true
	c.slotFreed.Broadcast()
	c.mu.Unlock()
	if !wasClosed {
		c.cancel()
		_ = c.socket.Close()
	}
}
