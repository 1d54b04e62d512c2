package peer

import (
	"context"
	"io"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// Do implements RequestSender. It sets request.Id, so concurrent calls must not
// share a request. A body of known length up to MaxSmallBody is read at once.
// Any other body for another VM is read only after its dispatcher has asked for
// it, and may still be read after Do has returned, until the context ends or the
// dispatcher closes the body.
func (t *Transport) Do(ctx context.Context, vm string, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error) {
	if t.isSelf(vm) {
		return t.doLocal(ctx, request, body)
	}
	if err := inlineRequestBody(request, body, t.config.MaxSmallBody); err != nil {
		return nil, nil, &SendError{VM: vm, Cause: err}
	}
	s, p, err := t.registerRequest(ctx, vm, request)
	if err != nil {
		return nil, nil, &SendError{VM: vm, Cause: err}
	}
	return s.do(ctx, p, request, body)
}

// registerRequest registers a request on a session to a VM. If the session has
// begun to close meanwhile, it tries another.
func (t *Transport) registerRequest(ctx context.Context, vm string, request *peerv1.Request) (*session, *pendingRequest, error) {
	for range maxSessionAttempts {
		s, err := t.sessionTo(ctx, vm)
		if err != nil {
			return nil, nil, err
		}
		p, err := s.register(request)
		if err != errSessionLeaving {
			return s, p, err
		}
	}
	return nil, nil, errSessionLeaving
}

// doLocal serves a request to this VM itself, without a session.
func (t *Transport) doLocal(ctx context.Context, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error) {
	request.Id = t.localID.Add(1)
	response, out := t.config.Requests.Serve(ctx, t.config.Self, request, body)
	if out != nil && (response == nil || !response.BodyFollows) {
		_ = out.Close()
		out = nil
	}
	return checkResponse(request, response, out), out, nil
}

// inlineRequestBody reads a body of known length up to limit bytes into the
// request, so that it needs no stream of its own.
func inlineRequestBody(request *peerv1.Request, body io.Reader, limit int) error {
	if !request.BodyFollows || request.ContentLength < 0 || request.ContentLength > int64(limit) {
		return nil
	}
	content, err := readExactly(body, request.ContentLength)
	if err != nil {
		return errors.Annotate(err, "cannot read the request's body")
	}
	request.Body, request.BodyFollows = content, false
	return nil
}

// do sends a request with a stream of its own (register has queued any other), and
// waits for the response.
func (s *session) do(ctx context.Context, p *pendingRequest, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error) {
	if p.ownStream {
		if sent, err := s.sendRequestWithBody(ctx, request, body); err != nil {
			s.removePending(p.id)
			return nil, nil, &SendError{VM: s.peer.VM, Sent: sent, Cause: err}
		}
	}
	select {
	case r := <-p.done:
		return s.finish(ctx, r)
	case <-ctx.Done():
		return s.cancelPending(ctx, p)
	}
}

// finish converts a result into the return values of Do.
func (s *session) finish(ctx context.Context, r result) (*peerv1.Response, io.ReadCloser, error) {
	if r.err != nil {
		return nil, nil, &SendError{VM: s.peer.VM, Sent: r.sent, Cause: r.err}
	}
	if r.body == nil {
		if r.response.BodyFollows {
			return nil, nil, &SendError{VM: s.peer.VM, Sent: true, Cause: errBodyTruncated}
		}
		return r.response, nil, nil
	}
	return r.response, newBoundBody(ctx, r.body.(*bodyReader)), nil
}

// cancelPending removes a request whose context has ended and cancels it on the peer.
func (s *session) cancelPending(ctx context.Context, p *pendingRequest) (*peerv1.Response, io.ReadCloser, error) {
	if s.removePending(p.id) == nil {
		// The result arrived concurrently; its body has to be closed.
		if r := <-p.done; r.body != nil {
			_ = r.body.Close()
		}
	} else {
		_, _ = s.requests.add(cancelFrame(p.id))
	}
	return nil, nil, &SendError{VM: s.peer.VM, Sent: true, Cause: context.Cause(ctx)}
}

// sendRequestWithBody opens a stream for a request with a body, writes the request
// and starts to send the body in the background. sent reports whether a byte of
// the request may have reached the peer.
func (s *session) sendRequestWithBody(ctx context.Context, request *peerv1.Request, body io.Reader) (sent bool, err error) {
	if !s.transport.startTask() {
		return false, errClosed
	}
	release := s.trackBody()
	stream, err := s.openBodyStream(streamRequestBody, requestFrame(request))
	if err != nil {
		release()
		s.transport.tasks.Done()
		return stream != nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(pastDeadline)
		_ = stream.Close()
	})
	go func() {
		defer s.transport.tasks.Done()
		defer release()
		defer stop()
		if err := sendBody(stream, body, true); err != nil {
			s.transport.stats.bodiesCut.Add(1)
		}
	}()
	return true, nil
}

// openBodyStream opens a stream and writes its kind and head in one write. On an
// error the stream is non-nil if a part of the head may have been sent.
func (s *session) openBodyStream(kind byte, head *peerv1.RequestFrame) (*yamux.Stream, error) {
	frame, err := appendFrame([]byte{kind}, head)
	if err != nil {
		return nil, err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(frame); err != nil {
		_ = stream.Close()
		return stream, err
	}
	return stream, nil
}

func cancelFrame(id uint64) *peerv1.RequestFrame {
	return &peerv1.RequestFrame{Kind: &peerv1.RequestFrame_Cancel{Cancel: &peerv1.Cancel{Id: id}}}
}

// boundBody is a response's body that is closed when the context of its request ends.
type boundBody struct {
	*bodyReader
	unbind func() bool
}

func newBoundBody(ctx context.Context, body *bodyReader) *boundBody {
	return &boundBody{bodyReader: body, unbind: body.closeOnDone(ctx)}
}

// Close detaches the body from the context and closes it.
func (b *boundBody) Close() error {
	b.unbind()
	return b.bodyReader.Close()
}
