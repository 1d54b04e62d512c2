package daemon

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCloseWritesGatheredLines(t *testing.T) {
	var out bytes.Buffer
	writer := NewLogWriter(&out)
	for range 3 {
		_, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.NilError(t, writer.Close())
	assert.Equal(t, out.String(), "line\nline\nline\n")
}

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStuckOutputHoldsNobodyUp checks that Write does not block while the output
// does: lines that do not fit the buffer are dropped and counted.
func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	writer := NewLogWriter(out)
	line := bytes.Repeat([]byte("x"), 1<<10)
	done := make(chan struct{})
	go func() {
		for range 4 * logBufferBytes / len(line) {
			_, _ = writer.Write(line)
		}
		time.Sleep(2 * logFlushInterval)
		for range 4 * logBufferBytes / len(line) {
			_, _ = writer.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	writer.mu.Lock()
	assert.Assert(t, writer.dropped > 0 && len(writer.pending) <= logBufferBytes)
	writer.mu.Unlock()
	close(out.release)
	assert.NilError(t, writer.Close())
}
