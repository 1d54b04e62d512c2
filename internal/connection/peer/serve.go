package peer

import (
	"context"
	"io"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// serve runs the handler for a request of the peer on a worker. A request that
// cannot be admitted is refused at once.
func (s *session) serve(request *peerv1.Request, body *bodyReader) {
	ctx, cancel := context.WithCancel(context.Background())
	if refusal := s.admit(request, cancel); refusal != nil {
		cancel()
		closeBody(body)
		s.reply(refusal)
		return
	}
	s.transport.workers.run(func() { s.handle(ctx, cancel, request, body) })
}

// admit records a request as being served. If that is not possible, it returns the
// response that refuses the request.
func (s *session) admit(request *peerv1.Request, cancel context.CancelFunc) *peerv1.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, duplicate := s.serving[request.Id]
	switch {
	case s.serving == nil: // the session is closed
		return refusedResponse(request.Id, outcome.PeerLost)
	case duplicate:
		return refusedResponse(request.Id, outcome.BadRequest)
	case len(s.serving) >= maxServing:
		return refusedResponse(request.Id, outcome.QueueFull)
	}
	s.serving[request.Id] = cancel
	return nil
}

// handle runs the handler for a request and sends the response.
func (s *session) handle(ctx context.Context, cancel context.CancelFunc, request *peerv1.Request, body *bodyReader) {
	defer cancel()
	defer s.endServing(request.Id)
	defer closeBody(body)
	var in io.Reader
	if body != nil {
		defer body.closeOnDone(ctx)()
		in = body
	}
	response, out := s.transport.config.Requests.Serve(ctx, s.peer, request, in)
	if out != nil {
		defer out.Close()
	}
	response = checkResponse(request, response, out)
	inlineSmallBody(response, out, s.transport.config.MaxSmallBody)
	if response.BodyFollows {
		s.sendResponseBody(ctx, response, out)
		return
	}
	s.reply(response)
}

// checkResponse returns the response with the id of its request. A response that
// is missing, belongs to another request, or announces a body that is missing is
// replaced by one with an unknown outcome.
func checkResponse(request *peerv1.Request, response *peerv1.Response, body io.Reader) *peerv1.Response {
	if response == nil || response.Id != 0 && response.Id != request.Id || response.BodyFollows && body == nil {
		return brokenResponse(request.Id)
	}
	response.Id = request.Id
	return response
}

// inlineSmallBody reads a body of known length up to limit bytes into the
// response, so that it needs no stream of its own. If the body's length is not the
// announced one or it cannot be read, the response gets an unknown outcome.
func inlineSmallBody(response *peerv1.Response, body io.Reader, limit int) {
	if !response.BodyFollows || response.ContentLength < 0 || response.ContentLength > int64(limit) {
		return
	}
	content, err := readExactly(body, response.ContentLength)
	if err != nil {
		broken := brokenResponse(response.Id)
		response.Outcome, response.Reason = broken.Outcome, broken.Reason
		response.Status, response.Headers, response.ContentLength = 0, nil, 0
		content = nil
	}
	response.Body, response.BodyFollows = content, false
}

var errContentLength = fault.New(fault.Invalid, "treat the transfer as failed", "the body's length differs from the announced length")

// readExactly reads a body. Its length must be exactly the given number of bytes.
func readExactly(body io.Reader, length int64) ([]byte, error) {
	content := make([]byte, length+1)
	n, err := io.ReadFull(body, content)
	if err != io.ErrUnexpectedEOF && err != io.EOF {
		return nil, errors.Annotate(errContentLength, "the body is longer than announced or cannot be read")
	}
	if int64(n) != length {
		return nil, errContentLength
	}
	return content[:length:length], nil
}

// sendResponseBody sends a response and its body on a new stream. It returns when
// the transfer has ended.
func (s *session) sendResponseBody(ctx context.Context, response *peerv1.Response, body io.Reader) {
	defer s.trackBody()()
	stream, err := s.openBodyStream(streamResponseBody, responseFrame(response))
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(pastDeadline)
		_ = stream.Close()
	})
	defer stop()
	if err := sendBody(stream, body, false); err != nil {
		s.transport.stats.bodiesCut.Add(1)
	}
}

// reply queues a response. If the queue is full it closes the session, because the
// peer would wait for the dropped response for ever. A response that cannot be
// encoded is replaced by one with an unknown outcome.
func (s *session) reply(response *peerv1.Response) {
	s.noteSent()
	_, err := s.requests.add(responseFrame(response))
	switch errors.Cause(err) {
	case nil, errWriterClosed:
		return
	case errQueueFull:
		s.fail(err)
		return
	}
	if _, err := s.requests.add(responseFrame(brokenResponse(response.Id))); err != nil {
		s.fail(err)
	}
}

func (s *session) endServing(id uint64) {
	s.mu.Lock()
	delete(s.serving, id)
	s.mu.Unlock()
	s.touch()
}

// cancelServing cancels the context of a request that the peer has canceled.
func (s *session) cancelServing(id uint64) {
	s.mu.Lock()
	cancel := s.serving[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func closeBody(body *bodyReader) {
	if body != nil {
		_ = body.Close()
	}
}

// refusedResponse returns the response to a request that was not run.
func refusedResponse(id uint64, reason outcome.Reason) *peerv1.Response {
	return &peerv1.Response{Id: id, Outcome: outcome.NotRun.Wire(), Reason: string(reason)}
}

// brokenResponse returns the response, of unknown outcome, that replaces one that
// cannot be sent.
func brokenResponse(id uint64) *peerv1.Response {
	return &peerv1.Response{Id: id, Outcome: outcome.Unknown.Wire(), Reason: string(outcome.TargetBroken)}
}

// refuseAll is the RequestHandler of a VM that dispatches to no target. It refuses
// every request.
type refuseAll struct{}

// Serve implements RequestHandler.
func (refuseAll) Serve(_ context.Context, _ Peer, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser) {
	return refusedResponse(request.Id, outcome.NotOwner), nil
}
