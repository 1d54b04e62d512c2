package peer

import (
	"io"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// pendingRequest is a request on a session that waits for its response.
type pendingRequest struct {
	id uint64
	// position is the request's byte offset in the shared request stream. It is
	// unused if ownStream is set: such a request is sent on the stream of its body.
	position  uint64
	ownStream bool
	// done receives the result, exactly once.
	done chan result
}

// result is the outcome of a pending request: a response, or the error that ended
// the session.
type result struct {
	response *peerv1.Response
	body     io.ReadCloser
	err      error
	// sent is meaningful only if err is set. It reports whether a byte of the
	// request may have reached the peer.
	sent bool
}

// register adds a request to the pending ones and queues its frame, unless its
// body follows: do sends such a request on a stream of its own. On an error no
// byte of the request was or will be sent.
func (s *session) register(request *peerv1.Request) (*pendingRequest, error) {
	s.touch()
	p := &pendingRequest{done: make(chan result, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sessionOpen {
		return nil, errSessionLeaving
	}
	s.nextID++
	p.id = s.nextID
	request.Id = p.id
	if request.BodyFollows {
		p.ownStream = true
	} else {
		position, err := s.requests.add(requestFrame(request))
		if err != nil {
			return nil, err
		}
		p.position = position
	}
	s.pending[p.id] = p
	return p, nil
}

// complete passes a response to its pending request. It reports false if there is
// none: the response is late, a duplicate, or has an unknown id.
func (s *session) complete(response *peerv1.Response, body io.ReadCloser) bool {
	p := s.removePending(response.Id)
	if p == nil {
		return false
	}
	p.done <- result{response: response, body: body}
	return true
}

// removePending removes and returns a request; nil if it is no longer pending.
func (s *session) removePending(id uint64) *pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending[id]
	delete(s.pending, id)
	s.acknowledgeLeaveLocked()
	return p
}

// failPending ends all pending requests after the session was closed.
func (s *session) failPending(cause error) {
	s.mu.Lock()
	failed := s.pending
	s.pending = nil
	s.mu.Unlock()
	taken := s.requests.takenPosition()
	for _, p := range failed {
		p.done <- result{err: cause, sent: p.ownStream || p.position < taken}
	}
}

func requestFrame(request *peerv1.Request) *peerv1.RequestFrame {
	return &peerv1.RequestFrame{Kind: &peerv1.RequestFrame_Request{Request: request}}
}

func responseFrame(response *peerv1.Response) *peerv1.RequestFrame {
	return &peerv1.RequestFrame{Kind: &peerv1.RequestFrame_Response{Response: response}}
}
