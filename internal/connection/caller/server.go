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
	"sync/atomic"
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
	// FirstRequestWait is how long a stop waits for the first request of a
	// connection.
	FirstRequestWait time.Duration

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	// accepted is closed once Serve accepts no more.
	accepted chan struct{}
	stopping atomic.Bool
}

// ErrStopped is returned by Serve after Shutdown or Close.
var ErrStopped = errors.New("the server for callers has stopped")

// Serve accepts connections until the server is stopped. It is called once.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	accepted := make(chan struct{})
	defer close(accepted)
	s.mu.Lock()
	s.conns = map[*conn]struct{}{}
	s.listener, s.accepted = listener, accepted
	s.mu.Unlock()
	if s.stopping.Load() {
		return ErrStopped
	}
	for {
		socket, err := listener.Accept()
		if err == nil {
			s.start(socket)
			continue
		}
		if s.stopping.Load() {
			for _, socket := range takeBacklog(listener) {
				s.start(socket)
			}
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Shutdown accepts no more connections than those that callers have opened
// already, closes those without requests, and waits until the others have got
// their answers or the context ends. Connections without a first request have
// FirstRequestWait for it.
func (s *Server) Shutdown(ctx context.Context) error {
	firstRequests := time.Now().Add(s.FirstRequestWait)
	s.stopAccepting()
	for {
		open := s.open()
		if len(open) == 0 {
			return nil
		}
		waits := time.Now().Before(firstRequests)
		for _, c := range open {
			c.drain(waits)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPoll):
		}
	}
}

// stopAccepting ends the accepting of connections and waits until those that it
// had to accept are known.
func (s *Server) stopAccepting() {
	s.stopping.Store(true)
	s.mu.Lock()
	listener, accepted := s.listener, s.accepted
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if waits, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || waits.SetDeadline(time.Now()) != nil {
		_ = listener.Close()
	}
	<-accepted
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
