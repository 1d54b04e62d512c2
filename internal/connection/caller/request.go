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
	// remaining is the number of bytes that may still be read.
	remaining int
	// err is the error of the last read, which http.ReadRequest hides.
	err error
}

var errHeadTooLarge = errors.New("the request head is too large")

// setLimit allows a head of the given size. The read buffer is added because the reader
// may read beyond the head.
func (l *headLimiter) setLimit(bytes int) { l.limited, l.remaining = true, bytes+readBufferBytes }

func (l *headLimiter) removeLimit() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.limited && l.remaining <= 0 {
		l.err = errHeadTooLarge
		return 0, l.err
	}
	if l.limited {
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	l.remaining -= n
	l.err = err
	return n, err
}

// callerBody is the body of a request, read from the connection.
type callerBody struct {
	conn   *conn
	source io.ReadCloser
	// expectsContinue is set while the caller waits for 100 Continue before it sends the
	// body.
	expectsContinue bool
	doneOnce        sync.Once
	// done is closed when the body has been read or given up.
	done chan struct{}

	mu sync.Mutex
	// readToEnd is set when the body has been read to its end.
	readToEnd bool
	// err is returned by further reads.
	err error

	// readingMu guards reading, which is set during a read from the connection.
	readingMu sync.Mutex
	reading   bool
}

// wrapBody returns the body of a request. It closes done when the body has been read
// to its end or given up.
func (c *conn) wrapBody(request *http.Request, done chan struct{}) *callerBody {
	expectsContinue := strings.EqualFold(request.Header.Get("Expect"), "100-continue")
	request.Header.Del("Expect")
	return &callerBody{conn: c, source: request.Body, expectsContinue: expectsContinue, done: done}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.conn.sendContinue(); err != nil {
			return 0, err
		}
	}
	b.setReadDeadline(time.Now().Add(bodyTimeout))
	n, err := b.source.Read(p)
	b.setReadDeadline(time.Time{})
	if err != nil {
		b.err = err
		b.readToEnd = err == io.EOF
		b.signalDone()
		if !b.readToEnd {
			// The caller has closed the connection within the body.
			b.conn.cancel()
		}
	}
	return n, err
}

// setReadDeadline records that a read with the deadline begins or, if the deadline is
// zero, that the read has ended.
func (b *callerBody) setReadDeadline(deadline time.Time) {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	b.reading = !deadline.IsZero()
	_ = b.conn.socket.SetReadDeadline(deadline)
}

// interruptRead makes a read in progress end within lingerTime. It sets no deadline
// otherwise, because the deadline may already be that of the next request.
func (b *callerBody) interruptRead() {
	b.readingMu.Lock()
	defer b.readingMu.Unlock()
	if b.reading {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// Awaited reports whether the caller waits for 100 Continue before it sends the
// body. Package forward finds this method by a type assertion.
func (b *callerBody) Awaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expectsContinue
}

// Close implements io.Closer. It leaves the connection open.
func (b *callerBody) Close() error { return nil }

func (b *callerBody) signalDone() { b.doneOnce.Do(func() { close(b.done) }) }

// finish is called after the response. It discards the rest of the body; if that is
// too long or does not arrive in time, the connection will be closed.
func (b *callerBody) finish() {
	b.interruptRead()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil && !b.expectsContinue {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(lingerTime))
		n, err := io.Copy(io.Discard, io.LimitReader(b.source, discardBytes))
		_ = b.conn.socket.SetReadDeadline(time.Time{})
		b.readToEnd = err == nil && n < discardBytes
	}
	if !b.readToEnd {
		b.conn.mu.Lock()
		b.conn.closing = true
		b.conn.mu.Unlock()
	}
	b.err = io.ErrClosedPipe
	b.signalDone()
}

// sendContinue sends 100 Continue, which asks the caller for its body.
func (c *conn) sendContinue() error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
