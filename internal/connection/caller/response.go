package caller

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// response writes one response. It implements http.ResponseWriter and http.Flusher.
// The first write waits until the previous responses are complete.
type response struct {
	conn    *conn
	request *http.Request
	header  http.Header
	// turn is closed when the previous responses are complete.
	turn chan struct{}

	wroteHead bool
	status    int
	// length is the value of Content-Length; -1 if the response has none.
	length  int64
	written int64
	chunked bool
	// err is the first error; nothing is written after it.
	err error
}

var (
	errShortResponse = errors.New("the response body is shorter than its Content-Length")
	errLongResponse  = errors.New("the response body is longer than its Content-Length")
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
	w.setFraming()
	_ = w.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, w.err = io.WriteString(w.conn.writer, "HTTP/1.1 "+statusLine(status)+"\r\n")
	if w.err == nil {
		w.err = w.header.Write(w.conn.writer)
	}
	if w.err == nil {
		_, w.err = io.WriteString(w.conn.writer, "\r\n")
	}
}

// setFraming sets the headers that tell the caller where the response ends and whether
// the connection stays open.
func (w *response) setFraming() {
	w.length = -1
	if contentLength := w.header.Get("Content-Length"); contentLength != "" {
		if length, err := strconv.ParseInt(contentLength, 10, 64); err == nil {
			w.length = length
		}
	}
	http10 := !w.request.ProtoAtLeast(1, 1)
	if w.length < 0 && w.hasBody() && !http10 {
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	closing := w.conn.decideClose(w.request.Close || http10, w.header.Get("Connection") == "close")
	w.header.Del("Connection")
	if closing {
		w.header.Set("Connection", "close")
	}
	for name, values := range w.header {
		if len(values) == 0 {
			delete(w.header, name)
		}
	}
}

// hasBody reports whether the method and the status allow a response body.
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
		w.err = errLongResponse
		return 0, w.err
	}
	_ = w.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.err = w.writeBody(p)
	if w.err != nil {
		return 0, w.err
	}
	w.written += int64(len(p))
	return len(p), nil
}

// writeBody writes a part of the body, as one chunk if the response is chunked.
func (w *response) writeBody(p []byte) error {
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

// finish completes the response after the handler has returned. After an error the
// connection must be closed.
func (w *response) finish() error {
	if !w.wroteHead {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil && w.chunked {
		_, w.err = io.WriteString(w.conn.writer, "0\r\n\r\n")
	}
	if w.err == nil && w.length >= 0 && w.hasBody() && w.written < w.length {
		w.err = errShortResponse
	}
	if w.err == nil {
		w.err = w.conn.writer.Flush()
	}
	return w.err
}

// markIncomplete makes sure that the caller can recognize an incomplete response. A
// response whose end is the end of the connection would look complete after an orderly
// close, so the connection is reset instead.
func (w *response) markIncomplete() {
	if !w.wroteHead || w.chunked || w.length >= 0 || !w.hasBody() {
		return
	}
	if tcp, ok := w.conn.socket.(*net.TCPConn); ok {
		// This fails only if the socket is already closed.
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
