package target

import "net/http"

// sender writes one request to a connection. A request whose body may be slow is
// written by a separate goroutine.
type sender struct {
	socket *countingSocket
	done   chan struct{}
	// err, accepted and bodyFailed are set before done is closed.
	err error
	// accepted is the number of bytes that the kernel has accepted.
	accepted int64
	// bodyFailed is set if the request's body ended early or with an error. The
	// fault is then the caller's and not the target's.
	bodyFailed bool
}

// startSender starts to write a request. Unless streamed is set, the request has been
// written, or has failed, when it returns.
func startSender(socket *countingSocket, request *http.Request, streamed bool) *sender {
	s := &sender{socket: socket, done: make(chan struct{})}
	if streamed {
		go s.write(request)
	} else {
		s.write(request)
	}
	return s
}

// write writes the request and closes done.
func (s *sender) write(request *http.Request) {
	s.err = request.Write(s.socket)
	s.accepted = s.socket.accepted
	s.bodyFailed = s.err != nil && s.socket.writeErr == nil
	close(s.done)
	if s.bodyFailed {
		// Without the reset the target would wait for the rest of the body.
		s.socket.reset()
	}
}

// sentInFull reports whether the request has been written in full.
func (s *sender) sentInFull() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// unsentError returns an error if the write has failed before the kernel accepted any byte
// of the request, and nil otherwise.
func (s *sender) unsentError() *ExchangeError {
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

// exchangeError returns the error of an exchange whose answer could not be read because of
// cause.
func (s *sender) exchangeError(cause error) *ExchangeError {
	select {
	case <-s.done:
	default:
		// The request is still being written. How much of it the kernel has accepted
		// is not known here, so it counts as sent.
		return &ExchangeError{Defect: Broken, Sent: true, Cause: cause}
	}
	failure := &ExchangeError{Defect: Broken, Sent: s.accepted > 0, Cause: cause}
	if s.bodyFailed {
		failure.Defect, failure.Cause = BodyFailed, s.err
	}
	return failure
}
