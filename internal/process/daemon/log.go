package daemon

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

const (
	// logBufferBytes bounds the buffered lines. Lines that do not fit are dropped
	// and counted, because a slow log reader must not block requests.
	logBufferBytes   = 256 << 10
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter buffers log lines and writes them in batches, because writing each
// routing decision on its own would cost a system call per request. Write never
// blocks on the output. Unless the output blocks, lines are written after at most
// 100 ms. Close writes the remaining lines.
type LogWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// dropped is the number of lines dropped since the last flush.
	dropped int
	timer   *time.Timer
	// flushMu is held during a flush, so that lines are written in order.
	flushMu sync.Mutex
}

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter { return &LogWriter{out: out} }

// Write implements io.Writer. It never fails: a line that does not fit the
// buffer is dropped.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > logBufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if w.timer == nil {
		w.timer = time.AfterFunc(logFlushInterval, func() { _ = w.flush() })
	}
	return len(line), nil
}

// flush writes the buffered lines, followed by the number of dropped ones. Its
// error is reported only by Close, since there is no other log to write it to.
func (w *LogWriter) flush() error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped, w.timer = nil, 0, nil
	w.mu.Unlock()
	if dropped > 0 {
		buffer := bytes.NewBuffer(lines)
		logger := zerolog.New(buffer).With().Timestamp().Logger()
		events.LogLinesDropped.Log(&logger).Int("count", dropped).Send()
		lines = buffer.Bytes()
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.out.Write(lines)
	return err
}

// Close writes the buffered lines. It does not close the output.
func (w *LogWriter) Close() error { return w.flush() }
