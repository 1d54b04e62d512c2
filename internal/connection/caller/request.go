package caller

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// headLimiter bounds the bytes that are read while a head is parsed.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int
	// err is what the last read returned; the parser of heads hides it.
	err error
}

var errHeadTooLarge = errors.New("the head of the request is too large")

func (l *headLimiter) limit(bytes int) { l.limited, l.left = true, bytes+readBuffer }

func (l *headLimiter) unlimited() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.limited && l.left <= 0 {
		l.err = errHeadTooLarge
		return 0, l.err
	}
	if l.limited {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.source.Read(p)
	l.left -= n
	l.err = err
	return n, err
}

// callerBody reads a request's body from the connection.
type callerBody struct {
	conn   *conn
	source io.ReadCloser
	// expects is set while the caller waits for a word before it sends the body.
	expects bool
	once    sync.Once
	done    chan struct{}

	mu    sync.Mutex
	ended bool
	err   error

	// readingMu guards reading, which is set during a read from the connection.
	readingMu sync.Mutex
	reading   bool
}

// wrapBody returns the body of a request; done is closed once it has been read
// to its end or given up.
func (c *conn) wrapBody(request *http.Request, done chan struct{}) *callerBody {
	expects := strings.EqualFold(request.Header.Get("Expect"), "100-continue")
	request.Header.Del("Expect")
	return &callerBody{conn: c, source: request.Body, expects: expects, done: done}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.expects {
		b.expects = false
		if err := b.conn.sayContinue(); err != nil {
			return 0, err
		}
	}
	b.readUntil(time.Now().Add(bodyTimeout))
	n, err := b.source.Read(p)
	b.readUntil(time.Time{})
	if err != nil {
		b.err = err
		b.ended = err == io.EOF
		b.release()
		if !b.ended {
			// The caller has left midway.
			b.conn.cancel()
		}
	}
	return n, err
}

// readUntil notes that a read begins, with its deadline, or with none that it has ended.
func (b *callerBody) readUntil(deadline time.Time) {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	b.reading = !deadline.IsZero()
	_ = b.conn.socket.SetReadDeadline(deadline)
}

// endRead lets a read that is under way end soon. Without one, the deadline is
// that of the next request.
func (b *callerBody) endRead() {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	if b.reading {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// Awaited reports whether the caller waits to be asked for the body.
func (b *callerBody) Awaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expects
}

// Close implements io.Closer; the connection goes on.
func (b *callerBody) Close() error { return nil }

func (b *callerBody) release() { b.once.Do(func() { close(b.done) }) }

// finish is called after the answer: what is left of the body is read past, or
// the connection is closed if that is too much.
func (b *callerBody) finish() {
	b.endRead()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil && !b.expects {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
		n, err := io.Copy(io.Discard, io.LimitReader(b.source, discardBytes))
		_ = b.conn.socket.SetReadDeadline(time.Time{})
		b.ended = err == nil && n < discardBytes
	}
	if !b.ended {
		b.conn.mu.Lock()
		b.conn.closing = true
		b.conn.mu.Unlock()
	}
	b.err = io.ErrClosedPipe
	b.release()
}

// sayContinue tells a caller to send its body.
func (c *conn) sayContinue() error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
