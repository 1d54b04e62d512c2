package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// readAheadBytes is the size of a single read when a body is read ahead.
const readAheadBytes = 8 << 10

// errBodyDiscarded is the error of an attempt whose part of the body is no longer kept.
var errBodyDiscarded = errors.New("a part of the request's body is no longer kept")

// replayBody is the body of a caller's request. It can be sent more than once as
// long as it is within a size limit: what one attempt reads from the caller is kept
// for the next. Each attempt gets the body from its beginning and without a gap, or an
// error.
type replayBody struct {
	source io.Reader
	limit  int
	empty  bool

	mu sync.Mutex
	// buffered holds the bytes read so far; dropped is set once they exceeded the
	// limit and were discarded.
	buffered []byte
	dropped  bool
	// taken is the number of bytes read from the caller so far.
	taken int
	// err is the error of the last read from the caller, io.EOF at the end.
	err error
	// attempt is the number of the latest reader; only that one may read on.
	attempt int
	// reading is set while a goroutine reads from the caller; readDone is signaled
	// when the read ends or a new attempt begins.
	reading  bool
	readDone sync.Cond
}

// newReplayBody returns the body of a request; up to limit bytes of it are kept.
func newReplayBody(r *http.Request, limit int) *replayBody {
	empty := r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	b := &replayBody{source: r.Body, limit: limit, empty: empty}
	b.readDone.L = &b.mu
	return b
}

// continueWaiter is implemented by bodies whose caller may wait for 100 Continue
// before it sends them.
type continueWaiter interface{ Awaited() bool }

// readAhead reads the body, as far as it can be kept, until the first attempt
// begins. There are two reasons: a caller's disconnect is noticed only while its
// connection is being read, and a slow caller must not occupy a slot of a target while
// it sends.
func (b *replayBody) readAhead() {
	if body, ok := b.source.(continueWaiter); ok && body.Awaited() {
		return
	}
	buffer := make([]byte, readAheadBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.attempt == 0 && !b.reading && b.err == nil && len(b.buffered) < b.limit {
		n := b.readSource(buffer[:min(len(buffer), b.limit-len(b.buffered))])
		b.buffered = append(b.buffered, buffer[:n]...)
	}
}

// readSource reads from the caller. The lock must be held and is released during
// the read.
func (b *replayBody) readSource(p []byte) int {
	b.reading = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	b.reading, b.err = false, err
	b.taken += n
	b.readDone.Broadcast()
	return n
}

// streamed reports whether there is a body, so that the response may arrive while it
// is still being sent.
func (b *replayBody) streamed() bool { return !b.empty }

// rewind ends the latest attempt and reports whether the body can be sent again from its
// beginning. If so, it stays so until the next attempt reads beyond the limit: both must be
// one step, because a read of the latest attempt may still be in progress.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attempt > 0 {
		b.attempt++
		b.readDone.Broadcast()
	}
	return !b.dropped && (b.err == nil || b.err == io.EOF)
}

// read reports whether the whole body has been read from the caller.
func (b *replayBody) read() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.empty || b.err == io.EOF
}

// newReader returns the body for the next attempt. Readers of earlier attempts fail
// from then on.
func (b *replayBody) newReader() io.ReadCloser {
	if b.empty {
		return http.NoBody
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	b.readDone.Broadcast()
	return &bodyReader{body: b, attempt: b.attempt}
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	body    *replayBody
	attempt int
	offset  int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case r.attempt != b.attempt:
			return 0, io.ErrClosedPipe
		case r.offset < len(b.buffered) && !b.dropped:
			n := copy(p, b.buffered[r.offset:])
			r.offset += n
			return n, nil
		case b.dropped && r.offset < b.taken:
			return 0, errBodyDiscarded
		case b.err != nil:
			return 0, b.err
		case b.reading:
			b.readDone.Wait()
		default:
			return r.readMore(p)
		}
	}
}

// readMore reads from the caller beyond what has been read before. The lock must be
// held. If the attempt has ended during the read, its bytes are kept for the next one even
// beyond the limit: the next attempt may have begun, and they are no more than one read.
func (r *bodyReader) readMore(p []byte) (int, error) {
	b := r.body
	n := b.readSource(p)
	ended := r.attempt != b.attempt
	switch {
	case b.dropped:
	case len(b.buffered)+n > b.limit && !ended:
		b.dropped, b.buffered = true, nil
	default:
		b.buffered = append(b.buffered, p[:n]...)
	}
	if ended {
		return 0, io.ErrClosedPipe
	}
	r.offset += n
	return n, b.err
}

// Close implements io.Closer. It does nothing: the server closes the caller's body.
func (r *bodyReader) Close() error { return nil }
