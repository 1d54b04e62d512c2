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

// Answer is a target's answer to a request. Its head is complete and carries the
// ID of the request. Body returns io.EOF only at the end of a complete body.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 for a chunked body.
	ContentLength int64
	Body          io.ReadCloser
	// Incarnation is the target's incarnation as given in the answer, or "".
	Incarnation string
}

// Defect classifies the failure of an exchange that brought no answer.
type Defect uint8

const (
	// Broken means that the connection failed, the context ended, or the answer could
	// not be read as HTTP/1.
	Broken Defect = iota + 1
	// Mismatched means that the answer was for another request.
	Mismatched
	// Malformed means that the target switched protocols, or that the answer had
	// neither a length nor chunked encoding.
	Malformed
	// BodyFailed means that the request's body could not be read to its end.
	BodyFailed
)

// ExchangeError is the error of an exchange that brought no answer.
type ExchangeError struct {
	Defect Defect
	// Sent is true if the kernel accepted, or may have accepted, any byte of the
	// request. If it is false, the target did not run the request.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if !e.Sent {
		return "request was not sent to the target: " + e.Cause.Error()
	}
	return "request was sent but its answer was not received: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

const (
	// maxStrayAnswers limits how many stray answers are skipped before the answer to the
	// request.
	maxStrayAnswers = 3
	// maxStrayBodyBytes limits the body of a stray answer that is skipped, in bytes.
	// It exceeds the size of the largest answers that are held back until they are
	// complete; skipping a longer body takes more time than the request is worth.
	maxStrayBodyBytes = 1 << 20
)

var (
	errUnframedAnswer   = errors.New("answer has neither a length nor chunked encoding")
	errMismatchedAnswer = errors.New("answer is for another request")
	errUnexpectedSwitch = errors.New("target switched protocols")
	errResetAnswer      = errors.New("the connection was reset in an answer without a length")
)

// Do sends the request and returns the answer as soon as its head has been read.
// When the context ends the connection is reset, even while the body is being read; after
// a deadline, or a cancellation with context.DeadlineExceeded as its cause, an answer that
// has arrived by then is still read.
// The error is always an *ExchangeError. If streamed is true, the request's body may
// be slow: the answer is then read while the request is still being sent.
func (e *Exchange) Do(ctx context.Context, request *http.Request, streamed bool) (*Answer, error) {
	c := e.connection
	c.socket.accepted = 0
	began, readBefore := time.Now(), c.source.read
	run := &exchangeRun{pool: e.pool, connection: c, requestID: request.Header.Get(e.pool.options.RequestIDHeader), method: request.Method}
	run.stop = context.AfterFunc(ctx, func() { c.socket.giveUp(context.Cause(ctx)) })
	answer, err := run.perform(request, streamed)
	if err != nil {
		run.abandon()
		silent := c.source.read == readBefore && context.Cause(ctx) == context.DeadlineExceeded
		if silent && c.idleFor > 0 {
			e.pool.closeIdleSince(began)
		}
		return nil, err
	}
	return answer, nil
}

// exchangeRun is the state of one exchange, from the request to the end of the
// answer's body.
type exchangeRun struct {
	pool       *Pool
	connection *connection
	requestID  string
	method     string
	// stop ends the watch on the context. It returns false if the context has already
	// ended and the connection is being reset.
	stop       func() bool
	sender     *sender
	finishOnce sync.Once
}

// perform sends the request and reads the head of the answer.
func (r *exchangeRun) perform(request *http.Request, streamed bool) (*Answer, error) {
	r.sender = startSender(r.connection.socket, request, streamed)
	if failure := r.sender.unsentError(); failure != nil {
		return nil, failure
	}
	response, err := r.readMatchingHead(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			r.pool.options.IdleLimit.recordReset(r.pool, r.connection.idleFor, time.Now())
		}
		return nil, r.sender.exchangeError(err)
	}
	if defect, err := r.validate(response); err != nil {
		return nil, &ExchangeError{Defect: defect, Sent: true, Cause: err}
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

// readMatchingHead reads the head of the answer. Stray answers to other requests that
// precede it are skipped if SkipStray is set, except in two cases: if this is a HEAD
// request, it is unknown whether a stray answer has a body; and an HTTP/1.0 answer is
// parsed through a buffer that reads beyond its body.
func (r *exchangeRun) readMatchingHead(request *http.Request) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		response, err := readHead(r.connection, request)
		if err != nil {
			return nil, err
		}
		options := r.pool.options
		matches := r.matches(response)
		maySkip := options.SkipStray && r.method != http.MethodHead && response.ProtoAtLeast(1, 1) && skipped < maxStrayAnswers
		if matches || !maySkip || !isFramed(response, r.method) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBodyBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxStrayBodyBytes {
			return response, nil
		}
	}
}

// matches reports whether an answer carries the ID of this request and of no other.
func (r *exchangeRun) matches(response *http.Response) bool {
	ids := response.Header.Values(r.pool.options.RequestIDHeader)
	if len(ids) == 0 {
		return r.requestID == ""
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != r.requestID })
}

// validate returns an error unless the answer is for this request and, unless
// PoolOptions.Unframed is set, its end does not depend on the end of the connection.
func (r *exchangeRun) validate(response *http.Response) (Defect, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return Malformed, errUnexpectedSwitch
	}
	if !r.matches(response) {
		return Mismatched, errMismatchedAnswer
	}
	if !r.pool.options.Unframed && !isFramed(response, r.method) {
		return Malformed, errUnframedAnswer
	}
	return 0, nil
}

// complete ends the exchange after the last byte of the answer. The connection is
// reused only if the request was sent in full and no bytes follow the answer.
func (r *exchangeRun) complete(response *http.Response) {
	r.finishOnce.Do(func() {
		canceled := !r.stop()
		if canceled || response.Close || !r.sender.sentInFull() || !r.connection.reusable() {
			r.connection.close()
			return
		}
		r.pool.put(r.connection)
	})
}

// abandon resets the connection, which discards the part of the request that has
// not been delivered yet.
func (r *exchangeRun) abandon() {
	r.finishOnce.Do(func() {
		r.stop()
		r.connection.socket.reset()
		r.connection.close()
	})
}

// answerBody is the body of an answer. The exchange ends when the body has been read
// to its end, fails or is closed.
type answerBody struct {
	run      *exchangeRun
	response *http.Response
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF && !isFramed(b.response, b.run.method) && b.run.connection.socket.stopWriting() {
		err = errResetAnswer
	}
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.run.complete(b.response)
		return n, io.EOF
	}
	b.run.abandon()
	return n, fault.Wrap(err, fault.UnknownOutcome, "discard what was received; the request ran", "the target's answer is incomplete")
}

// Close ends the exchange. If the body has not been read to its end, the connection
// is reset.
func (b *answerBody) Close() error {
	b.run.abandon()
	return nil
}

// readHead reads the head of the next final answer and skips informational (1xx)
// answers before it.
func readHead(c *connection, request *http.Request) (*http.Response, error) {
	c.source.remaining = maxHeadBytes
	defer func() { c.source.remaining = math.MaxInt64 }()
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

// isFramed reports whether a complete answer can be told from one that is cut off by
// the end of its connection.
func isFramed(response *http.Response, method string) bool {
	if response.ContentLength >= 0 || method == http.MethodHead {
		return true
	}
	encodings := response.TransferEncoding
	return len(encodings) > 0 && encodings[len(encodings)-1] == "chunked"
}

// discard reads a body to its end. It returns an error if the body is longer than
// limit bytes.
func discard(body io.Reader, limit int64) error {
	read, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && read > limit {
		err = errors.Errorf("the answer is longer than %d bytes", limit)
	}
	return err
}
