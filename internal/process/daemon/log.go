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
	// logBufferBytes bounds the lines that wait to be written. Above it new lines
	// are dropped and counted: a slow reader of the log must not hold up requests.
	logBufferBytes   = 256 << 10
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter gathers log lines and writes them together, since a line for each
// routing decision would otherwise cost a system call per request. Write never
// waits for the output. Lines wait at most 100 ms while the output takes them;
// Close writes the rest.
type LogWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// dropped counts the lines that did not fit since the last report of it.
	dropped int
	timer   *time.Timer
	// writing is held while bytes are written, so that lines stay in order.
	writing sync.Mutex
}

// NewLogWriter returns a writer in front of out.
func NewLogWriter(out io.Writer) *LogWriter { return &LogWriter{out: out} }

// Write implements io.Writer.
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

// flush writes what is pending. A log that cannot be written has nowhere to be
// reported but in the result of Close.
func (w *LogWriter) flush() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped, w.timer = nil, 0, nil
	w.mu.Unlock()
	if dropped > 0 {
		report := bytes.NewBuffer(lines)
		logger := zerolog.New(report).With().Timestamp().Logger()
		events.LogLinesDropped.Log(&logger).Int("count", dropped).Send()
		lines = report.Bytes()
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.out.Write(lines)
	return err
}

// Close writes the gathered lines.
func (w *LogWriter) Close() error { return w.flush() }
