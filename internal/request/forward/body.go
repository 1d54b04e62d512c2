package forward

import (
	"io"
	"net/http"
	"sync"
)

// readAheadBytes is how much of a body is read ahead at once.
const readAheadBytes = 8 << 10

// replayBody is a caller's body that can be sent more than once while it is
// small. What an attempt reads from the caller is kept for the next.
type replayBody struct {
	source io.Reader
	limit  int
	empty  bool

	mu sync.Mutex
	// kept are the bytes read so far; dropped is set once they exceed the limit.
	kept    []byte
	dropped bool
	err     error
	// attempt numbers the readers; only the last may read from the caller.
	attempt int
	// reading is set while one goroutine reads from the caller; read is signalled
	// when it has.
	reading bool
	read    sync.Cond
}

func newReplayBody(r *http.Request, limit int) *replayBody {
	empty := r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	b := &replayBody{source: r.Body, limit: limit, empty: empty}
	b.read.L = &b.mu
	return b
}

// awaited is a body that its caller does not send before it is asked for it.
type awaited interface{ Awaited() bool }

// readAhead reads what can be kept of the body until the first attempt begins.
// Only a connection that is read shows that its caller has left, and the target
// does not hold a slot for as long as the caller takes to send.
func (b *replayBody) readAhead() {
	if body, ok := b.source.(awaited); ok && body.Awaited() {
		return
	}
	buffer := make([]byte, readAheadBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.attempt == 0 && !b.reading && b.err == nil && len(b.kept) < b.limit {
		n := b.readSource(buffer[:min(len(buffer), b.limit-len(b.kept))])
		b.kept = append(b.kept, buffer[:n]...)
	}
}

// readSource reads from the caller, without the lock, which is held before and
// after.
func (b *replayBody) readSource(p []byte) int {
	b.reading = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	b.reading, b.err = false, err
	b.read.Broadcast()
	return n
}

// streamed reports whether the answer is to be awaited while the body is sent.
func (b *replayBody) streamed() bool { return !b.empty }

// replayable reports whether the body can be sent again.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped && (b.err == nil || b.err == io.EOF)
}

// next returns the body for one more attempt; readers of earlier ones end.
func (b *replayBody) next() io.ReadCloser {
	if b.empty {
		return http.NoBody
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	b.read.Broadcast()
	return &bodyReader{body: b, attempt: b.attempt}
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	body    *replayBody
	attempt int
	at      int
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
		case r.at < len(b.kept) && !b.dropped:
			n := copy(p, b.kept[r.at:])
			r.at += n
			return n, nil
		case b.err != nil:
			return 0, b.err
		case b.reading:
			b.read.Wait()
		default:
			return r.readOn(p)
		}
	}
}

// readOn reads what has not been read yet; the lock is held.
func (r *bodyReader) readOn(p []byte) (int, error) {
	b := r.body
	n := b.readSource(p)
	if !b.dropped {
		if len(b.kept)+n > b.limit {
			b.dropped, b.kept = true, nil
		} else {
			b.kept = append(b.kept, p[:n]...)
		}
	}
	if r.attempt != b.attempt {
		return 0, io.ErrClosedPipe
	}
	r.at += n
	return n, b.err
}

// Close implements io.Closer; the caller's body belongs to the server.
func (r *bodyReader) Close() error { return nil }
