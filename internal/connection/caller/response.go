package caller

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// response writes one answer. It implements http.ResponseWriter and
// http.Flusher. Its first byte waits for the answers before it.
type response struct {
	conn    *conn
	request *http.Request
	header  http.Header
	// turn is closed once the answers before this one are written.
	turn chan struct{}

	wroteHead bool
	status    int
	// length is the announced length; -1 for an answer in chunks.
	length  int64
	written int64
	chunked bool
	err     error
}

var (
	errShortAnswer = errors.New("the answer is shorter than announced")
	errLongAnswer  = errors.New("the answer is longer than announced")
)

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.wroteHead {
		return
	}
	w.wroteHead = true
	w.status = status
	<-w.turn
	w.frame()
	_ = w.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, w.err = io.WriteString(w.conn.writer, "HTTP/1.1 "+statusLine(status)+"\r\n")
	if w.err == nil {
		w.err = w.header.Write(w.conn.writer)
	}
	if w.err == nil {
		_, w.err = io.WriteString(w.conn.writer, "\r\n")
	}
}

// frame decides how the caller finds the end of the answer.
func (w *response) frame() {
	w.length = -1
	if announced := w.header.Get("Content-Length"); announced != "" {
		if length, err := strconv.ParseInt(announced, 10, 64); err == nil {
			w.length = length
		}
	}
	http10 := !w.request.ProtoAtLeast(1, 1)
	if w.length < 0 && w.hasBody() && !http10 {
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	closes := w.conn.endWith(w.request.Close || http10, w.header.Get("Connection") == "close")
	w.header.Del("Connection")
	if closes {
		w.header.Set("Connection", "close")
	}
	for name, values := range w.header {
		if len(values) == 0 {
			delete(w.header, name)
		}
	}
}

// hasBody reports whether an answer to the request with the status has a body.
func (w *response) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status >= 200 &&
		w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if !w.wroteHead {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	if len(p) == 0 || !w.hasBody() {
		return len(p), nil
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		w.err = errLongAnswer
		return 0, w.err
	}
	_ = w.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.err = w.writePart(p)
	if w.err != nil {
		return 0, w.err
	}
	w.written += int64(len(p))
	return len(p), nil
}

func (w *response) writePart(p []byte) error {
	if w.chunked {
		if _, err := io.WriteString(w.conn.writer, strconv.FormatInt(int64(len(p)), 16)+"\r\n"); err != nil {
			return err
		}
	}
	if _, err := w.conn.writer.Write(p); err != nil {
		return err
	}
	if w.chunked {
		_, err := io.WriteString(w.conn.writer, "\r\n")
		return err
	}
	return nil
}

// Flush implements http.Flusher.
func (w *response) Flush() {
	if w.err == nil && w.wroteHead {
		w.err = w.conn.writer.Flush()
	}
}

// finish completes the answer after the handler has returned. The connection
// cannot be used any more after an error.
func (w *response) finish() error {
	if !w.wroteHead {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil && w.chunked {
		_, w.err = io.WriteString(w.conn.writer, "0\r\n\r\n")
	}
	if w.err == nil && w.length >= 0 && w.hasBody() && w.written < w.length {
		w.err = errShortAnswer
	}
	if w.err == nil {
		w.err = w.conn.writer.Flush()
	}
	return w.err
}

// breakOff makes an incomplete answer look so. One that ends with its connection
// takes a reset for that.
func (w *response) breakOff() {
	if !w.wroteHead || w.chunked || w.length >= 0 || !w.hasBody() {
		return
	}
	if tcp, ok := w.conn.socket.(*net.TCPConn); ok {
		// It fails only on a socket that is closed already.
		_ = tcp.SetLinger(0)
	}
}

func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "status " + strconv.Itoa(status)
	}
	return strconv.Itoa(status) + " " + text
}
