package faketarget

import (
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the arrival of a request's head in the fake server.
const headerTimeout = 10 * time.Second

// Server is a fake target on a listener of its own.
type Server struct {
	*Target
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Listen starts a fake target on a loopback address; port 0 picks a free port.
func Listen(address string, settings Settings) (*Server, error) {
	t, err := New(settings)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Target: t, listener: listener, done: make(chan struct{}),
		server: &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout},
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Wait returns when the server has been closed.
func (s *Server) Wait() { <-s.done }

// Close resets all connections, as a crash would.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
