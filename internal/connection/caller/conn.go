package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// readBuffer and writeBuffer are the buffers of a connection in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxPipelined bounds the requests of a connection that are under way.
	maxPipelined = 16
	// discardBytes bounds what is read of a body that its handler did not want,
	// to keep the connection.
	discardBytes = 256 << 10
	// lingerTime is how long a closed connection still takes what the caller
	// sends, since closing with unread bytes would destroy the answer.
	lingerTime = 300 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the wait for the next part of a body.
	bodyTimeout = 10 * time.Second
)

// conn is one connection of a caller. One goroutine reads its requests; each
// request runs on a goroutine of its own.
type conn struct {
	server *Server
	socket net.Conn
	source *headLimiter
	reader *bufio.Reader
	writer *bufio.Writer
	// ctx ends when the caller closes the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts requests that were read and not answered in full.
	pending int
	// slots is signalled when a request ends.
	slots *sync.Cond
	// closing is set once no further request will be answered.
	closing bool
	closed  bool
	// draining is set by a stop: the connection ends as soon as it has no request.
	draining bool
	// used is set once a request has begun.
	used bool
	// reading is set while a request is being read.
	reading bool

	// last is set by the reading goroutine once it has read the last request.
	last bool
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, source: &headLimiter{source: socket}}
	c.reader = bufio.NewReaderSize(c.source, readBuffer)
	c.writer = bufio.NewWriterSize(socket, writeBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.slots = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.cancel()
	turn := make(chan struct{})
	close(turn)
	for {
		request, err := c.readRequest()
		if err != nil {
			c.readFailed(err, turn)
			return
		}
		next := make(chan struct{})
		body, started := c.startRequest(request, turn, next)
		if !started {
			<-turn
			c.finish()
			return
		}
		turn = next
		if body != nil {
			// The next head stands behind the body.
			<-body
		}
		if !c.waitForSlot() {
			<-turn
			c.finish()
			return
		}
	}
}

// readRequest waits for a request and reads its head.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.Limits()
	c.waitIdle(limits)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errIdle
	}
	if c.last {
		return nil, errLast
	}
	if !c.beginReading() {
		return nil, errIdle
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.source.limit(limits.HeaderBytes)
	request, err := http.ReadRequest(c.reader)
	c.source.unlimited()
	_ = c.socket.SetReadDeadline(time.Time{})
	if err != nil && c.source.err != nil {
		err = c.source.err
	}
	if err != nil {
		return nil, err
	}
	c.last = request.Close || !request.ProtoAtLeast(1, 1)
	return request, checkHead(request)
}

// checkHead rejects heads that net/http reads although the end of the body cannot be
// told: what follows would run as a request of its own.
func checkHead(request *http.Request) error {
	for name := range request.Header {
		if strings.Contains(name, " ") {
			return errName
		}
	}
	switch {
	case request.ProtoAtLeast(1, 1):
		if request.Host == "" {
			return errNoHost
		}
	case !safe(request.Method) && request.Header.Get("Content-Length") == "":
		// net/http drops the encoding of an HTTP/1.0 body.
		return errNoLength
	}
	return nil
}

var (
	errIdle     = errors.New("the connection ended between requests")
	errLast     = errors.New("the request before was to be the last")
	errNoHost   = errors.New("the request names no host")
	errName     = errors.New("the request has a header with a space in its name")
	errNoLength = errors.New("the request of HTTP/1.0 has no length")
)

// beginReading notes that a request is being read. It reports false if none will be
// answered any more.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading, c.used = true, true
	return true
}

// waitIdle sets the deadline for the next request; none while answers are due.
func (c *conn) waitIdle(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.setIdleDeadline(limits)
}

// setIdleDeadline bounds the wait for a request on a connection without any;
// the lock is held.
func (c *conn) setIdleDeadline(limits Limits) {
	if c.pending > 0 || c.reading {
		_ = c.socket.SetReadDeadline(time.Time{})
		return
	}
	if c.draining {
		// Wakes the reader.
		_ = c.socket.SetReadDeadline(time.Now())
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
}

// startRequest runs a request. It returns a channel that is closed once the
// body has been read, or nil if there is none. It reports false if an answer
// has announced the end of the connection meanwhile.
func (c *conn) startRequest(request *http.Request, turn, next chan struct{}) (body chan struct{}, started bool) {
	c.mu.Lock()
	c.reading = false
	if c.closing {
		c.mu.Unlock()
		return nil, false
	}
	c.pending++
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
	if !safe(request.Method) {
		// What is not safe to run beside others waits for them.
		<-turn
	}
	go c.run(request, w, next, done)
	return done, true
}

func safe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// run calls the handler and completes its answer.
func (c *conn) run(request *http.Request, w *response, next, body chan struct{}) {
	aborted := true
	defer func() {
		if problem := recover(); problem != nil && problem != http.ErrAbortHandler {
			panic(problem)
		}
		if aborted || w.finish() != nil {
			w.breakOff()
			c.abort()
		}
		if body != nil {
			request.Body.(*callerBody).finish()
		}
		c.requestDone(w)
		close(next)
	}()
	c.server.Handler.ServeHTTP(w, request)
	aborted = false
}

// requestDone counts the end of a request.
func (c *conn) requestDone(w *response) {
	limits := c.server.Limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.closing && c.pending == 0 {
		// Wakes the reader.
		_ = c.socket.SetReadDeadline(time.Now())
	} else if !c.reading {
		c.setIdleDeadline(limits)
	}
	c.slots.Broadcast()
}

// waitForSlot waits while too many requests are under way. It reports false
// once no further request is to be read.
func (c *conn) waitForSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending >= maxPipelined && !c.closing {
		c.slots.Wait()
	}
	return !c.closing
}

// readFailed ends a connection on which no further request can be read.
func (c *conn) readFailed(err error, turn chan struct{}) {
	var status int
	switch {
	case errors.Is(err, errIdle), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetwork(err):
		if c.isClosing() {
			<-turn
			c.finish()
			return
		}
		// The caller has left: what it asked for is not wanted any more.
		c.abort()
		return
	case errors.Is(err, errLast):
		<-turn
		c.finish()
		return
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	default:
		status = http.StatusBadRequest
	}
	<-turn
	_, _ = io.WriteString(c.writer, "HTTP/1.1 "+statusLine(status)+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.writer.Flush()
	c.finish()
}

func isNetwork(err error) bool {
	var network net.Error
	return errors.As(err, &network)
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.draining
}

// drain closes a connection without requests, and makes one with requests end
// after their answers. If waits is set, one that has had no request stays open.
func (c *conn) drain(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reading, waits && !c.used:
	case c.pending > 0:
		c.closing = true
	default:
		// Not closing: a request whose first byte is there already is answered.
		c.draining = true
		_ = c.socket.SetReadDeadline(time.Now())
	}
}

// endWith decides whether the connection ends with an answer. It must, if the
// caller asked for it. It may, if this VM wants it to end and no other request
// has been read behind this one.
func (c *conn) endWith(must, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if must || (wanted || c.closing || c.server.stopping.Load()) && c.pending == 1 && !c.reading {
		c.closing = true
		return true
	}
	return false
}

// finish closes the connection after its last answer.
func (c *conn) finish() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, discardBytes))
	}
	c.abort()
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	already := c.closed
	c.closed = true
	c.slots.Broadcast()
	c.mu.Unlock()
	if !already {
		c.cancel()
		_ = c.socket.Close()
	}
}
