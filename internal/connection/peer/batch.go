package peer

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// maxQueuedBytes is the maximum number of bytes queued for a stream. A message that
// would exceed it is refused with errQueueFull; no byte of it is sent.
const maxQueuedBytes = 8 << 20

var (
	errQueueFull    = fault.New(fault.Unavailable, "add VMs or reduce the load", "the send queue to the peer is full")
	errWriterClosed = fault.New(fault.Unavailable, "send the request again; it will use a new session", "the session is closed")
)

// framePool holds buffers in which messages are encoded before they are queued.
var framePool = sync.Pool{New: func() any { return new([]byte) }}

// batchWriter queues frames and writes all queued frames in one write.
//
// The position of a frame is its byte offset in the stream. Once the writer is
// closed, a frame was never passed to the connection if its position is equal to
// or above takenPosition().
type batchWriter struct {
	mu     sync.Mutex
	queued []byte
	// spare is a written buffer that takeAll reuses; nil if there is none.
	spare []byte
	// queuedEnd is the position after the last queued byte.
	queuedEnd uint64
	// takenEnd is the position after the last byte passed to the connection.
	takenEnd uint64
	closed   bool
	// notify wakes run after a frame was queued or the writer was closed.
	notify chan struct{}
}

func newBatchWriter() *batchWriter {
	return &batchWriter{notify: make(chan struct{}, 1)}
}

// add queues a message and returns its position. On an error no byte of it was queued.
func (w *batchWriter) add(message proto.Message) (uint64, error) {
	buffer := framePool.Get().(*[]byte)
	defer releaseFrame(buffer)
	frame, err := appendFrame((*buffer)[:0], message)
	*buffer = frame
	if err != nil {
		return 0, err
	}
	return w.addFrame(frame)
}

func (w *batchWriter) addFrame(frame []byte) (uint64, error) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, errWriterClosed
	}
	if len(w.queued)+len(frame) > maxQueuedBytes {
		w.mu.Unlock()
		return 0, errQueueFull
	}
	position := w.queuedEnd
	first := len(w.queued) == 0
	w.queued = append(w.queued, frame...)
	w.queuedEnd += uint64(len(frame))
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return position, nil
}

func (w *batchWriter) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// run writes the queued frames until a write fails or close is called.
func (w *batchWriter) run(out io.Writer) error {
	defer w.close()
	for range w.notify {
		batch, open := w.takeAll()
		if !open {
			return errWriterClosed
		}
		if len(batch) == 0 {
			continue
		}
		if _, err := out.Write(batch); err != nil {
			return err
		}
		w.recycle(batch)
	}
	return nil
}

// takeAll removes and returns all queued bytes and counts them as passed to the
// connection. It returns false once the writer is closed.
func (w *batchWriter) takeAll() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, false
	}
	batch := w.queued
	w.queued, w.spare = w.spare, nil
	w.takenEnd = w.queuedEnd
	return batch, true
}

// recycle keeps a written buffer for reuse unless a burst has made it too large.
func (w *batchWriter) recycle(batch []byte) {
	if cap(batch) > maxReusedBuffer {
		return
	}
	w.mu.Lock()
	if w.spare == nil {
		w.spare = batch[:0]
	}
	w.mu.Unlock()
}

// takenPosition returns the position up to which bytes were passed to the
// connection. The value is final once the writer is closed.
func (w *batchWriter) takenPosition() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takenEnd
}

// close ends run; bytes that are still queued are never written.
func (w *batchWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
}

func releaseFrame(buffer *[]byte) {
	if cap(*buffer) <= maxReusedBuffer {
		framePool.Put(buffer)
	}
}
