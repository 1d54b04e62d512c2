// Package caller serves callers' connections over HTTP/1.1.
//
// Guarantees: answers leave in the order of the requests of a connection;
// requests without a body that were sent behind one another run side by side;
// a caller that closes its connection cancels what it asked for at once, also
// while it has requests waiting; an answer that breaks off ends its connection;
// a stop cuts no request that has been read.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// acceptRetry is the pause after a connection could not be accepted, e.g. for
	// want of descriptors.
	acceptRetry = 20 * time.Millisecond
	// shutdownPoll is the interval at which a stop looks for open connections.
	shutdownPoll = 10 * time.Millisecond
)

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout closes a connection without requests.
	IdleTimeout time.Duration
}

// Server serves callers.
type Server struct {
	Handler http.Handler
	// Limits returns the limits in force; they count from the next request.
	Limits func() Limits

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	stopping bool
}

// ErrStopped is returned by Serve after Shutdown or Close.
var ErrStopped = errors.New("the server for callers has stopped")

// Serve accepts connections until the server is stopped.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.listener = listener
	s.mu.Unlock()
	for {
		socket, err := listener.Accept()
		if err == nil {
			s.start(socket)
			continue
		}
		if s.isStopping() {
			return ErrStopped
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "the listener for callers was closed; restart the daemon")
		}
		time.Sleep(acceptRetry)
	}
}

func (s *Server) start(socket net.Conn) {
	c := newConn(s, socket)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Shutdown accepts no more connections, closes those without requests, and
// waits until the others have got their answers or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	for {
		open := s.open()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.closeIfIdle()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPoll):
		}
	}
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.stopAccepting()
	for _, c := range s.open() {
		c.abort()
	}
}
