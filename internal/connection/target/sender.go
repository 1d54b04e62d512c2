package target

import "net/http"

// sender writes one request to a connection, at once or, for a body that may
// be slow, on a goroutine of its own.
type sender struct {
	socket *countingSocket
	done   chan struct{}
	// err and accepted are set before done is closed.
	err      error
	accepted int64
	// bodyFailed is set if the request's body ended early or with an error,
	// which tells a broken caller from a broken target.
	bodyFailed bool
}

// startSender begins to write a request.
func startSender(socket *countingSocket, request *http.Request, streamed bool) *sender {
	s := &sender{socket: socket, done: make(chan struct{})}
	if streamed {
		go s.write(request)
	} else {
		s.write(request)
	}
	return s
}

func (s *sender) write(request *http.Request) {
	s.err = request.Write(s.socket)
	s.accepted = s.socket.accepted
	s.bodyFailed = s.err != nil && s.socket.writeErr == nil
	close(s.done)
	if s.bodyFailed {
		// The target would wait for a rest that never comes.
		s.socket.reset()
	}
}

// finished reports whether the request has been written in full.
func (s *sender) finished() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// unsent returns the error of a write that ended without the kernel accepting
// any byte, or nil.
func (s *sender) unsent() *ExchangeError {
	select {
	case <-s.done:
	default:
		return nil
	}
	if s.err == nil || s.accepted > 0 {
		return nil
	}
	if s.bodyFailed {
		return &ExchangeError{Defect: BodyFailed, Cause: s.err}
	}
	return &ExchangeError{Defect: Broken, Cause: s.err}
}

// explain builds the error of an exchange whose answer could not be read.
func (s *sender) explain(cause error) *ExchangeError {
	select {
	case <-s.done:
	default:
		// The writer waits for its body; what the kernel has accepted by now
		// is not known here, so the request counts as sent.
		return &ExchangeError{Defect: Broken, Handed: true, Cause: cause}
	}
	failure := &ExchangeError{Defect: Broken, Handed: s.accepted > 0, Cause: cause}
	if s.bodyFailed {
		failure.Defect, failure.Cause = BodyFailed, s.err
	}
	return failure
}
