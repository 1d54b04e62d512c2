package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/hopbyhop"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// response is a target's response. A small one has been read to its end, so that the
// request can be retried if the response breaks off.
type response struct {
	*target.Answer
	cancel  context.CancelFunc
	took    time.Duration
	load    fleet.Load
	hasLoad bool
	// prefix is the beginning of the body; complete is set if it is the whole body.
	prefix   []byte
	complete bool
	// endOnce guards the return of the permit, because the deadline and the end of the
	// body may both give it back.
	endOnce sync.Once
}

// copyHeaders copies all headers but the hop-by-hop ones.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !hopbyhop.Header(name, from["Connection"]) {
			to[name] = values
		}
	}
}

// outgoingRequest returns the request to be sent to a target.
func (x *exchange) outgoingRequest(ctx context.Context, t *fleet.Target) *http.Request {
	header := make(http.Header, len(x.r.Header)+3)
	copyHeaders(header, x.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	if x.allowedBy.HasTeams() {
		x.handler.config.Dialect.SetTeam(header, x.teamName())
	}
	x.handler.config.Dialect.Address(header, t.ID, time.Until(x.deadline)-fleet.TransitAllowance)
	request := &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: header, ContentLength: x.r.ContentLength,
		URL: targetURL(t.Address, x.r), Body: x.body.newReader(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return request.WithContext(ctx)
}

// targetURL returns the URL with which net/http sends the path and the query of a caller's
// request unchanged (see isForwardable).
func targetURL(address string, r *http.Request) *url.URL {
	to := &url.URL{Scheme: "http", Host: address, Opaque: r.RequestURI}
	if strings.HasPrefix(r.RequestURI, "//") {
		// net/http would write an opaque part like this as an absolute URL, with the first
		// segment as the host.
		to.Opaque, to.Path, to.RawPath, to.RawQuery, to.ForceQuery = "", r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.ForceQuery
	}
	return to
}

// isForwardable reports whether a request can be sent with its path and query unchanged. A path
// that begins with two slashes and has characters that must be escaped in a URL cannot.
func isForwardable(r *http.Request) bool { return targetURL("", r).RequestURI() == r.RequestURI }

// deliver passes a response on to the caller and gives the permit back.
func (x *exchange) deliver(permit permits.Permit, resp *response) {
	defer resp.cancel()
	if resp.complete {
		x.endPermit(permit, resp, x.completeResult(resp))
	} else {
		// Gives the permit back at the deadline even if the caller does not read.
		defer context.AfterFunc(x.ctx, func() { x.endPermit(permit, resp, x.cutResult()) })()
	}
	x.writeHeader(resp)
	if _, err := x.w.Write(resp.prefix); err != nil {
		x.abortDelivery(permit, resp)
		return
	}
	if !resp.complete {
		x.stream(permit, resp)
	}
	x.recordDelivered(resp)
}

// completeResult returns the result that a complete response counts as.
func (x *exchange) completeResult(resp *response) admission.Result {
	if resp.Status >= http.StatusInternalServerError {
		return admission.Failed
	}
	return admission.Answered
}

// cutResult returns the result that an incomplete response counts as.
func (x *exchange) cutResult() admission.Result {
	if x.r.Context().Err() != nil {
		return admission.Canceled
	}
	return admission.Broken
}

// endPermit gives the permit of a response back. Further calls do nothing.
func (x *exchange) endPermit(permit permits.Permit, resp *response, result admission.Result) {
	resp.endOnce.Do(func() { x.handler.config.Permits.End(permit, result, resp.took, resp.load, resp.hasLoad) })
}

// writeHeader writes the target's status and headers.
func (x *exchange) writeHeader(resp *response) {
	header := x.w.Header()
	connectionHeader := header.Get("Connection")
	copyHeaders(header, resp.Header)
	if connectionHeader != "" {
		header.Set("Connection", connectionHeader)
	}
	switch {
	case resp.complete && x.r.Method != http.MethodHead && bodyAllowed(resp.Status):
		header.Set("Content-Length", strconv.Itoa(len(resp.prefix)))
	case resp.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	x.w.WriteHeader(resp.Status)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes the rest of a large response on as it arrives.
func (x *exchange) stream(permit permits.Permit, resp *response) {
	controller := http.NewResponseController(x.w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := x.w.Write(buffer[:n]); writeErr != nil {
				x.abortDelivery(permit, resp)
				return
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			x.endPermit(permit, resp, x.completeResult(resp))
			return
		}
		if err != nil {
			x.endPermit(permit, resp, x.cutResult())
			x.handler.metrics.failed("answer-cut")
			x.countTeam("failed")
			x.log(events.ResponseCut).Err(err).Send()
			// The caller must see a broken transfer, not a complete shorter response.
			panic(http.ErrAbortHandler)
		}
	}
}

// abortDelivery ends an exchange whose response could not be written to the caller.
func (x *exchange) abortDelivery(permit permits.Permit, resp *response) {
	_ = resp.Body.Close()
	if !resp.complete {
		x.endPermit(permit, resp, admission.Canceled)
	}
	x.callerLeft()
}

// recordDelivered counts and logs a response that has been passed on.
func (x *exchange) recordDelivered(resp *response) {
	x.handler.metrics.answered(x.route, time.Since(x.began), resp.Status)
	x.countTeam(resultOf(resp.Status))
	x.log(events.RequestAnswered).Int("status", resp.Status).Dur("service_time", resp.took).Send()
}

// readUpTo reads at most limit bytes. The error is io.EOF if it reached the end of the
// body, and nil if it stopped at the limit.
func readUpTo(body io.Reader, limit int) ([]byte, error) {
	content := make([]byte, 0, 2<<10)
	for len(content) < limit {
		if len(content) == cap(content) {
			content = append(content, 0)[:len(content)]
		}
		n, err := body.Read(content[len(content):min(cap(content), limit)])
		content = content[:len(content)+n]
		if err != nil {
			return content, err
		}
	}
	return content, nil
}
