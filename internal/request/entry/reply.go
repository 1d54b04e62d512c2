package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// copyBufferSize is the size in bytes of a read of an answer's body.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// reply tells the caller how the request ended. It does not return if an
// answer breaks off: the panic makes the server cut the transfer.
func (x *exchange) reply(r result) {
	if r.kind == outcome.Unknown && x.body != nil && x.body.tooLarge() {
		r.reason = outcome.TooLarge
	}
	x.report(r)
	header := x.w.Header()
	header[outcome.Header] = []string{r.kind.String()}
	header[RequestIDHeader] = []string{x.id}
	if x.r.ProtoMajor == 1 && x.body != nil && !x.body.atEnd() {
		// What is left of the body must not be read as the next request, and the
		// server cannot read it away beside an attempt that still does.
		header["Connection"] = []string{"close"}
	}
	if r.kind != outcome.Answered {
		x.refuse(r)
		return
	}
	defer r.answer.close()
	copyResponseHeaders(header, r.answer.response.Headers)
	if !x.writeAnswer(r.answer) {
		x.logEvent(events.ResponseCut, "")
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer passes the target's answer on. It reports false if the body is
// not complete.
func (x *exchange) writeAnswer(a *answer) bool {
	response := a.response
	status := int(response.Status)
	if !bodyAllowed(x.r.Method, status) {
		if x.r.Method == http.MethodHead && response.ContentLength >= 0 {
			x.setLength(response.ContentLength)
		}
		x.w.WriteHeader(status)
		return true
	}
	if a.body == nil {
		x.setLength(int64(len(response.Body)))
		x.w.WriteHeader(status)
		_, _ = x.w.Write(response.Body)
		return true
	}
	if response.ContentLength >= 0 {
		x.setLength(response.ContentLength)
	}
	x.w.WriteHeader(status)
	return x.copyBody(a.body, response.ContentLength)
}

func (x *exchange) setLength(length int64) {
	x.w.Header()["Content-Length"] = []string{strconv.FormatInt(length, 10)}
}

// copyBody passes a body on as it arrives. It reports false if the body broke
// or differs from its announced length; -1 means that none was announced.
func (x *exchange) copyBody(body io.Reader, length int64) bool {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	control := http.NewResponseController(x.w)
	copied := int64(0)
	for {
		n, err := body.Read(buffer)
		copied += int64(n)
		if length >= 0 && copied > length {
			return false
		}
		if n > 0 {
			if _, err := x.w.Write(buffer[:n]); err != nil {
				return false
			}
			if length < 0 {
				// The caller may wait for this part before it goes on.
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return length < 0 || copied == length
		}
		if err != nil {
			return false
		}
	}
}

// refuse writes the response to a request that was not answered.
func (x *exchange) refuse(r result) {
	header := x.w.Header()
	header[outcome.ReasonHeader] = []string{string(r.reason)}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	status := statusOf(r)
	if status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{strconv.FormatInt(retryAfterSeconds(r.retryAfter), 10)}
	}
	text := r.kind.String() + ": " + string(r.reason) + "; " + remedyOf(r) + "\n"
	x.setLength(int64(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}

// statusOf returns the HTTP status of a request that was not answered.
func statusOf(r result) int {
	switch r.reason {
	case outcome.NoService:
		return http.StatusNotFound
	case outcome.NoKey, outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	if r.kind == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// retryAfterSeconds rounds an advised delay up to whole seconds, at least one.
func retryAfterSeconds(advice time.Duration) int64 {
	return max(1, int64((advice+time.Second-1)/time.Second))
}

// remedyOf says what the caller can do.
func remedyOf(r result) string {
	switch r.reason {
	case outcome.NoService:
		return "check host and path against the services in the manifest"
	case outcome.NoKey:
		return "send the key where the manifest expects it"
	case outcome.BadRequest:
		return "correct the request's headers, key or body"
	case outcome.TooLarge:
		return "send a smaller body"
	}
	if r.kind == outcome.NotRun {
		return "the request did not run and may be sent again"
	}
	return "the request may have run; send it again only if it is idempotent"
}
