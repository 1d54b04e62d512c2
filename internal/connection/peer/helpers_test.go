package peer

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// failingReader fails every Read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("the source broke") }

// countingReader counts its reads and never ends.
type countingReader struct{ reads atomic.Int64 }

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return len(p), nil
}

// openBodies counts the bodies in transfer on all sessions.
func (t *Transport) openBodies() int {
	total := 0
	for _, s := range t.allSessions() {
		s.mu.Lock()
		total += s.bodies
		s.mu.Unlock()
	}
	return total
}
