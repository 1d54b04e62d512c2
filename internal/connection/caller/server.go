// Package caller serves callers' connections over HTTP/1.1.
//
// Guarantees: responses on a connection are written in the order of the requests;
// pipelined GET and HEAD requests without a body run concurrently, requests with
// other methods wait for the previous responses; when a caller closes its
// connection, all its requests are canceled immediately, pipelined ones included;
// an incomplete response closes its connection; a graceful shutdown interrupts no
// request that has been read, and ends although callers send on without a pause once
// RefuseNew has been called.
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
	// acceptRetryDelay is the pause after a failed accept, e.g. when the process has
	// run out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for open connections.
	shutdownPollInterval = 10 * time.Millisecond
)

// Limits bound the size of a caller's request heads and the time to send them.
type Limits struct {
	// HeaderBytes bounds the request line and the headers of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a request
	// head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
}

// Server is an HTTP/1.1 server for callers.
type Server struct {
	Handler http.Handler
	// Panicked, if set, is called when Handler has panicked, other than with
	// http.ErrAbortHandler. The connection of the request is closed, the others go on.
	Panicked func(request *http.Request, reason any)
	// Limits returns the limits in force. It is called for each request, so changes
	// apply from the next request on.
	Limits func() Limits
	// FirstRequestWait is how long Shutdown waits for the first request on a
	// connection that has had none.
	FirstRequestWait time.Duration
	// Refusal answers the requests that are read after RefuseNew. It must not read their
	// bodies.
	Refusal http.Handler

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	// acceptDone is closed when Serve accepts no more connections.
	acceptDone chan struct{}
	stopping   atomic.Bool
	refusing   atomic.Bool
}

// ErrStopped is returned by Serve after Shutdown or Close.
var ErrStopped = errors.New("the caller server is stopped")

// Serve accepts connections until Shutdown or Close is called, and then returns
// ErrStopped. It may be called only once.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	acceptDone := make(chan struct{})
	defer close(acceptDone)
	s.mu.Lock()
	s.conns = map[*conn]struct{}{}
	s.listener, s.acceptDone = listener, acceptDone
	s.mu.Unlock()
	if s.stopping.Load() {
		return ErrStopped
	}
	for {
		socket, err := listener.Accept()
		if err == nil {
			s.startConn(socket)
			continue
		}
		if s.stopping.Load() {
			for _, socket := range takeBacklog(listener) {
				s.startConn(socket)
			}
			return ErrStopped
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "the listener for callers was closed; restart the daemon")
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (s *Server) startConn(socket net.Conn) {
	c := newConn(s, socket)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Shutdown stops listening, accepts the connections that are already in the
// backlog, closes idle connections, and waits until the requests in flight are
// answered or the context ends. A connection that has had no request yet stays
// open for FirstRequestWait.
func (s *Server) Shutdown(ctx context.Context) error {
	firstRequestDeadline := time.Now().Add(s.FirstRequestWait)
	s.stopAccepting()
	for {
		conns := s.openConns()
		if len(conns) == 0 {
			return nil
		}
		keepUnused := time.Now().Before(firstRequestDeadline)
		for _, c := range conns {
			c.drain(keepUnused)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// RefuseNew passes the requests that are read from now on to Refusal instead of Handler.
// Each closes its connection, and what was sent behind it is not read. Without it, a
// caller that sends on without a pause keeps a shutdown from ending.
func (s *Server) RefuseNew() { s.refusing.Store(true) }

// stopAccepting makes Serve stop accepting connections and waits until it has, so
// that all accepted connections are known.
func (s *Server) stopAccepting() {
	s.stopping.Store(true)
	s.mu.Lock()
	listener, acceptDone := s.listener, s.acceptDone
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if deadliner, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || deadliner.SetDeadline(time.Now()) != nil {
		_ = listener.Close()
	}
	<-acceptDone
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.stopAccepting()
	for _, c := range s.openConns() {
		c.abort()
	}
}
