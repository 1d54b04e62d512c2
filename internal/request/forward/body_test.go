package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// heldSource is a caller's body whose reads take a part from parts each. A read announces
// itself before it waits for its part.
type heldSource struct {
	begun chan struct{}
	parts chan []byte
}

func (s *heldSource) Read(p []byte) (int, error) {
	s.begun <- struct{}{}
	part, ok := <-s.parts
	if !ok {
		return 0, io.EOF
	}
	return copy(p, part), nil
}

func (s *heldSource) Close() error { return nil }

// TestRetriedBodyHasNoGap guards against a retry that sends a body without a part of it: a
// target rejects an upload while a read by its attempt is in progress, and that read exceeds
// what is kept. It ends before the retry is decided, before the next attempt begins, before
// the next attempt has read what is kept, or after that. An attempt that begins must send
// the whole body or fail, and the read that was in progress must not make it fail.
func TestRetriedBodyHasNoGap(t *testing.T) {
	const limit, partBytes, parts = 300, 100, 5
	whole := make([]byte, partBytes*parts)
	for i := range whole {
		whole[i] = byte(i / partBytes)
	}
	for _, at := range []string{"before the decision", "before the attempt", "before its reads", "during its reads"} {
		t.Run(at, func(t *testing.T) {
			source := &heldSource{begun: make(chan struct{}, parts+1), parts: make(chan []byte)}
			body := newReplayBody(&http.Request{Body: source, ContentLength: -1}, limit)
			x := &exchange{body: body, route: &fleet.Route{MaxAttempts: 2}, ctx: context.Background()}
			give := func(i int) { source.parts <- whole[i*partBytes : (i+1)*partBytes] }

			first, firstEnded := body.newReader(), make(chan struct{})
			go func() {
				defer close(firstEnded)
				for p := make([]byte, partBytes); ; {
					if _, err := first.Read(p); err != nil || body.discarded() {
						return
					}
				}
			}()
			for i := range 3 {
				<-source.begun
				give(i)
			}
			<-source.begun // The read that exceeds the limit is in progress.
			finish := func(now string) {
				if now == at {
					give(3)
					<-firstEnded
				}
			}
			finish("before the decision")
			if mayRetry := x.mayRetry(0); at == "before the decision" {
				assert.Assert(t, !mayRetry, "an attempt would begin though a part of its body is not kept")
				close(source.parts)
				_, err := io.ReadAll(body.newReader())
				assert.Assert(t, err != nil, "an attempt that began all the same ended as if its body were whole")
				return
			} else if !mayRetry {
				t.Fatal("no attempt begins though its body is kept")
			}
			finish("before the attempt")
			second, read := body.newReader(), make(chan error)
			finish("before its reads")
			got := make([]byte, partBytes)
			if at == "during its reads" {
				_, err := io.ReadFull(second, got)
				assert.NilError(t, err)
			} else {
				got = nil
			}
			go func() {
				rest, err := io.ReadAll(second)
				got = append(got, rest...)
				read <- err
			}()
			finish("during its reads")
			<-source.begun
			give(4)
			<-source.begun
			close(source.parts)
			assert.NilError(t, <-read)
			assert.Assert(t, bytes.Equal(got, whole), "the next attempt sent %d of %d bytes", len(got), len(whole))
		})
	}
}

// discarded reports whether bytes of the body are no longer kept.
func (b *replayBody) discarded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}
