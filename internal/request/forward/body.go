package forward

import (
	"io"
	"net/http"
	"sync"
)

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
}

func newReplayBody(r *http.Request, limit int) *replayBody {
	empty := r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
	return &replayBody{source: r.Body, limit: limit, empty: empty}
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
	if r.attempt != b.attempt {
		return 0, io.ErrClosedPipe
	}
	if r.at < len(b.kept) && !b.dropped {
		n := copy(p, b.kept[r.at:])
		r.at += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	if !b.dropped {
		if len(b.kept)+n > b.limit {
			b.dropped, b.kept = true, nil
		} else {
			b.kept = append(b.kept, p[:n]...)
		}
	}
	r.at += n
	return n, err
}

// Close implements io.Closer; the caller's body belongs to the server.
func (r *bodyReader) Close() error { return nil }
