package target

import (
	"context"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// Answer is a target's answer. Its head is complete and carries the request's
// identity; Body ends with io.EOF only if it is complete.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 for a chunked body.
	ContentLength int64
	Body          io.ReadCloser
	// Incarnation is the incarnation that the answer names, or "".
	Incarnation string
}

// Defect says what was wrong with an exchange that brought no answer.
type Defect uint8

const (
	// Broken: the connection failed or the context ended.
	Broken Defect = iota + 1
	// Crossed: the answer was for another request.
	Crossed
	// Malformed: the answer was not HTTP or had no definite length.
	Malformed
	// BodyFailed: the request's body could not be read to its end.
	BodyFailed
)

// ExchangeError tells why an exchange brought no answer.
type ExchangeError struct {
	Defect Defect
	// Handed reports whether the kernel accepted any byte of the request. If
	// false, the target certainly did not run it.
	Handed bool
	Cause  error
}

// Error describes the failure.
func (e *ExchangeError) Error() string {
	if !e.Handed {
		return "request was not sent to the target: " + e.Cause.Error()
	}
	return "request was sent and its answer lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

const (
	// maxStray bounds the stray answers that are read past before one's own.
	maxStray = 3
	// maxStrayBody bounds the body of a stray answer that is read past, in bytes.
	// More than the largest answers that are held back costs more time than the
	// request is worth.
	maxStrayBody = 1 << 20
)

var (
	errIncompleteAnswer = errors.New("answer has no definite length")
	errCrossedAnswer    = errors.New("answer names another request")
	errUnexpectedSwitch = errors.New("target switched protocols")
)

// Do sends the request and returns the head of the answer. The end of the
// context resets the connection at any point, also while the body is read. An
// error is always an *ExchangeError. streamed says that the request's body may
// be slow, so that the answer is awaited while it is sent.
func (e *Exchange) Do(ctx context.Context, request *http.Request, streamed bool) (*Answer, error) {
	c := e.connection
	c.socket.accepted = 0
	run := &exchangeRun{pool: e.pool, connection: c, requestID: request.Header.Get(e.pool.form.RequestIDHeader), method: request.Method}
	run.stop = context.AfterFunc(ctx, c.socket.reset)
	answer, err := run.perform(request, streamed)
	if err != nil {
		run.abandon()
		return nil, err
	}
	return answer, nil
}

// exchangeRun is the state of one exchange until the end of its answer.
type exchangeRun struct {
	pool       *Pool
	connection *connection
	requestID  string
	method     string
	stop       func() bool
	sender     *sender
	finishOnce sync.Once
}

// perform writes the request and reads the head of the answer.
func (r *exchangeRun) perform(request *http.Request, streamed bool) (*Answer, error) {
	r.sender = startSender(r.connection.socket, request, streamed)
	if failure := r.sender.unsent(); failure != nil {
		return nil, failure
	}
	response, err := r.readOwnHead(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			r.pool.form.Idle.dropped(r.connection.idle, time.Now())
		}
		return nil, r.sender.explain(err)
	}
	if defect, err := r.check(response); err != nil {
		return nil, &ExchangeError{Defect: defect, Handed: true, Cause: err}
	}
	if incarnation := response.Header.Get(HeaderIncarnation); incarnation != "" {
		r.connection.incarnation = incarnation
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		Body:        &answerBody{run: r, response: response},
		Incarnation: response.Header.Get(HeaderIncarnation),
	}, nil
}

// readOwnHead reads the head of the answer, past stray answers to other
// requests where the form allows them. Whether one before the answer to a HEAD
// request has a body is unknown, and the reader of one of HTTP/1.0 takes more than
// its body, so these are not read past.
func (r *exchangeRun) readOwnHead(request *http.Request) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		response, err := readHead(r.connection, request)
		if err != nil {
			return nil, err
		}
		form := r.pool.form
		own := r.owns(response)
		skips := form.SkipStray && r.method != http.MethodHead && response.ProtoAtLeast(1, 1) && skipped < maxStray
		if own || !skips || !hasLength(response, r.method) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody+1))
		if err != nil {
			return nil, err
		}
		if n > maxStrayBody {
			return response, nil
		}
	}
}

// owns reports whether an answer names this request and no other.
func (r *exchangeRun) owns(response *http.Response) bool {
	ids := response.Header.Values(r.pool.form.RequestIDHeader)
	if len(ids) == 0 {
		return r.requestID == ""
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != r.requestID })
}

// check accepts only an answer to this request with a definite length.
func (r *exchangeRun) check(response *http.Response) (Defect, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return Malformed, errUnexpectedSwitch
	}
	if !r.owns(response) {
		return Crossed, errCrossedAnswer
	}
	if !r.pool.form.Unframed && !hasLength(response, r.method) {
		return Malformed, errIncompleteAnswer
	}
	return 0, nil
}

// complete ends the exchange after the last byte of the answer. The connection
// is reused only if the request was sent in full and nothing follows the answer.
func (r *exchangeRun) complete(response *http.Response) {
	r.finishOnce.Do(func() {
		canceled := !r.stop()
		if canceled || response.Close || !r.sender.finished() || !r.connection.quiet() {
			r.connection.close()
			return
		}
		r.pool.put(r.connection)
	})
}

// abandon closes the connection; what was not delivered yet is taken back.
func (r *exchangeRun) abandon() {
	r.finishOnce.Do(func() {
		r.stop()
		r.connection.socket.reset()
		r.connection.close()
	})
}

// answerBody is the body of an answer; the exchange ends with it.
type answerBody struct {
	run      *exchangeRun
	response *http.Response
}

// Read returns io.EOF only at the complete end of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.run.complete(b.response)
		return n, io.EOF
	}
	b.run.abandon()
	return n, fault.Wrap(err, fault.UnknownOutcome, "discard what was received; the request ran", "the target's answer broke off")
}

// Close ends the exchange. A body that was not read to its end takes the
// connection with it.
func (b *answerBody) Close() error {
	b.run.abandon()
	return nil
}

// readHead reads the head of the final answer, past informational ones.
func readHead(c *connection, request *http.Request) (*http.Response, error) {
	c.source.left = maxHead
	defer func() { c.source.left = math.MaxInt64 }()
	for {
		response, err := c.readResponse(request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// hasLength reports whether the end of the answer can be told from a break.
func hasLength(response *http.Response, method string) bool {
	if response.ContentLength >= 0 || method == http.MethodHead {
		return true
	}
	encodings := response.TransferEncoding
	return len(encodings) > 0 && encodings[len(encodings)-1] == "chunked"
}

// discard reads a body to its end; one above the limit in bytes is an error.
func discard(body io.Reader, limit int64) error {
	read, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && read > limit {
		err = errors.Errorf("the answer is longer than %d bytes", limit)
	}
	return err
}
