package peer

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// maxGathered is the maximum number of bytes queued for a stream. Messages above
// it are refused with errQueueFull; no byte of them is sent.
const maxGathered = 8 << 20

var (
	errQueueFull    = fault.New(fault.Unavailable, "add VMs or reduce the load", "the send queue to the peer is full")
	errWriterClosed = fault.New(fault.Unavailable, "send the request again; it will use a new session", "the session is closed")
)

// framePool holds buffers in which messages are encoded before they are queued.
var framePool = sync.Pool{New: func() any { return new([]byte) }}

// gatherWriter queues frames and writes all queued frames in one write.
//
// The position of a frame is its byte offset in the stream. Once the writer is
// closed, a frame was never passed to the connection if its position is equal to
// or above handed().
type gatherWriter struct {
	mu     sync.Mutex
	queued []byte
	// spare is a written buffer that take reuses; nil if there is none.
	spare []byte
	// end is the position after the last queued byte.
	end uint64
	// taken is the position after the last byte passed to the connection.
	taken  uint64
	closed bool
	wake   chan struct{}
}

func newGatherWriter() *gatherWriter {
	return &gatherWriter{wake: make(chan struct{}, 1)}
}

// add queues a message and returns its position. On an error no byte of it was queued.
func (w *gatherWriter) add(message proto.Message) (uint64, error) {
	buffer := framePool.Get().(*[]byte)
	defer releaseFrame(buffer)
	frame, err := appendFrame((*buffer)[:0], message)
	*buffer = frame
	if err != nil {
		return 0, err
	}
	return w.addFrame(frame)
}

func (w *gatherWriter) addFrame(frame []byte) (uint64, error) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, errWriterClosed
	}
	if len(w.queued)+len(frame) > maxGathered {
		w.mu.Unlock()
		return 0, errQueueFull
	}
	position := w.end
	first := len(w.queued) == 0
	w.queued = append(w.queued, frame...)
	w.end += uint64(len(frame))
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return position, nil
}

func (w *gatherWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the queued frames until a write fails or close is called.
func (w *gatherWriter) run(out io.Writer) error {
	defer w.close()
	for range w.wake {
		chunk, open := w.take()
		if !open {
			return errWriterClosed
		}
		if len(chunk) == 0 {
			continue
		}
		if _, err := out.Write(chunk); err != nil {
			return err
		}
		w.giveBack(chunk)
	}
	return nil
}

// take removes and returns all queued bytes and counts them as passed to the
// connection. It reports false once the writer is closed.
func (w *gatherWriter) take() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, false
	}
	chunk := w.queued
	w.queued, w.spare = w.spare, nil
	w.taken = w.end
	return chunk, true
}

// giveBack keeps a written buffer for reuse unless a burst has made it too large.
func (w *gatherWriter) giveBack(chunk []byte) {
	if cap(chunk) > keptBuffer {
		return
	}
	w.mu.Lock()
	if w.spare == nil {
		w.spare = chunk[:0]
	}
	w.mu.Unlock()
}

// handed returns the position up to which bytes were passed to the connection.
// The value is final once the writer is closed.
func (w *gatherWriter) handed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taken
}

// close ends run; bytes that are still queued are never written.
func (w *gatherWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
}

func releaseFrame(buffer *[]byte) {
	if cap(*buffer) <= keptBuffer {
		framePool.Put(buffer)
	}
}
