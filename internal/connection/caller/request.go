package caller

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// headLimiter limits the number of bytes read while a request head is parsed.
type headLimiter struct {
	source  io.Reader
	limited bool
	// left is the number of bytes that may still be read.
	left int
	// err is the error of the last read, which http.ReadRequest hides.
	err error
}

var errHeadTooLarge = errors.New("the request head is too large")

// limit allows a head of the given size. The read buffer is added because the reader
// may read beyond the head.
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

// callerBody is the body of a request, read from the connection.
type callerBody struct {
	conn   *conn
	source io.ReadCloser
	// expects is set while the caller waits for 100 Continue before it sends the
	// body.
	expects bool
	once    sync.Once
	// done is closed when the body has been read or given up.
	done chan struct{}

	mu sync.Mutex
	// ended is set when the body has been read to its end.
	ended bool
	// err is returned by further reads.
	err error

	// readingMu guards reading, which is set during a read from the connection.
	readingMu sync.Mutex
	reading   bool
}

// wrapBody returns the body of a request. It closes done when the body has been read
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
			// The caller has closed the connection within the body.
			b.conn.cancel()
		}
	}
	return n, err
}

// readUntil records that a read with the deadline begins or, if the deadline is zero,
// that it has ended.
func (b *callerBody) readUntil(deadline time.Time) {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	b.reading = !deadline.IsZero()
	_ = b.conn.socket.SetReadDeadline(deadline)
}

// endRead makes a read in progress end within lingerTime. It sets no deadline
// otherwise, because the deadline may already be that of the next request.
func (b *callerBody) endRead() {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	if b.reading {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// Awaited reports whether the caller waits for 100 Continue before it sends the
// body.
func (b *callerBody) Awaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expects
}

// Close implements io.Closer. It leaves the connection open.
func (b *callerBody) Close() error { return nil }

func (b *callerBody) release() { b.once.Do(func() { close(b.done) }) }

// finish is called after the response. It discards the rest of the body; if that is
// too long or does not arrive in time, the connection will be closed.
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

// sayContinue sends 100 Continue, which asks the caller for its body.
func (c *conn) sayContinue() error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
