package entry

import (
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// replayLimit is how many bytes of a streamed body are kept so that a request
// that was not run can be sent again.
const replayLimit = 32 << 10

var (
	errBodyReleased = fault.New(fault.Unavailable, "read the body of the current attempt", "the attempt is over")
	errBodyTooLarge = fault.New(fault.Refused, "send a smaller body", "the body exceeds the service's limit")
)

// bodySource is a caller's request body. It serves one attempt at a time and
// can begin anew as long as all that was read is still kept.
//
// A small body of known length is read at once; any other is read by the
// attempts and kept up to replayLimit.
type bodySource struct {
	in io.Reader
	// length is the announced length, -1 if unknown.
	length int64
	// whole is set if kept is the whole body, which then travels in the message.
	whole bool

	mu   sync.Mutex
	idle sync.Cond // signalled when a read ends
	kept []byte
	// lost is set once bytes were read that are not kept.
	lost bool
	// reading is set while a read of the caller's connection is under way.
	reading bool
	// end is the error, io.EOF included, after the last byte read.
	end error
	// left is how many bytes may still come; -1 if there is no limit.
	left    int64
	current *attemptBody
}

// newBodySource returns the body of a request, of which nothing is read yet.
func newBodySource(r *http.Request) *bodySource {
	b := &bodySource{in: r.Body, length: r.ContentLength, left: -1}
	b.idle.L = &b.mu
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.whole, b.length = true, 0
	}
	return b
}

// limit sets the largest length in bytes; 0 means none. It reports false with
// the reason of a refusal if a larger one is announced.
func (b *bodySource) limit(most int64) (outcome.Reason, bool) {
	if most == 0 {
		return "", true
	}
	if b.length > most {
		return outcome.TooLarge, false
	}
	b.left = most
	return "", true
}

// small reports whether the body travels inside the message.
func (b *bodySource) small() bool { return b.length >= 0 && b.length <= peer.DefaultMaxSmallBody }

// readWhole reads a small body. It reports false with the reason of a refusal.
func (b *bodySource) readWhole() (outcome.Reason, bool) {
	content := make([]byte, b.length)
	_, err := io.ReadFull(b.in, content)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.DeadlinePassed, false
	}
	if err != nil {
		return outcome.BadRequest, false
	}
	b.kept, b.whole = content, true
	return "", true
}

// inline returns a whole body, as it travels in the message.
func (b *bodySource) inline() []byte {
	if b.whole {
		return b.kept
	}
	return nil
}

// open begins an attempt. The reader is nil if the body is whole.
func (b *bodySource) open() io.Reader {
	if b.whole {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &attemptBody{source: b}
	return b.current
}

// replayable reports whether another attempt can send the body from its start.
func (b *bodySource) replayable() bool {
	if b.whole {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost && !b.reading
}

// atEnd reports whether the whole body has been read from the caller.
func (b *bodySource) atEnd() bool {
	if b.whole {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == io.EOF
}

// tooLarge reports whether the body was cut because it exceeds the limit.
func (b *bodySource) tooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == errBodyTooLarge
}

// release ends the current attempt's use of the body. It waits for the end of a
// read that is under way.
func (b *bodySource) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	for b.reading {
		b.idle.Wait()
	}
}

// attemptBody is the body as one attempt reads it.
type attemptBody struct {
	source *bodySource
	offset int
}

// Read returns kept bytes first, then reads on.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.source
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, errBodyReleased
	}
	if a.offset < len(b.kept) {
		n := copy(p, b.kept[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.readLocked(p)
	a.offset += n
	if b.current != a {
		return 0, errBodyReleased
	}
	return n, err
}

// readLocked reads from the caller. It gives up the lock meanwhile.
func (b *bodySource) readLocked(p []byte) (int, error) {
	b.reading = true
	b.mu.Unlock()
	n, err := b.in.Read(p)
	b.mu.Lock()
	b.reading = false
	b.idle.Broadcast()
	if b.left >= 0 {
		if b.left -= int64(n); b.left < 0 {
			n, err = 0, errBodyTooLarge
		}
	}
	b.keep(p[:n])
	if err != nil {
		b.end = err
	}
	return n, err
}

// keep remembers read bytes for a further attempt while they fit.
func (b *bodySource) keep(read []byte) {
	if b.lost || len(b.kept)+len(read) > replayLimit {
		b.lost = b.lost || len(read) > 0
		b.kept = nil
		return
	}
	b.kept = append(b.kept, read...)
}
