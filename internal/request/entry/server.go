package entry

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

const (
	// headerTimeout bounds the arrival of a request's headers. Bodies have no
	// bound but the request's deadline: uploads take minutes.
	headerTimeout = 10 * time.Second
	// connectionIdle is how long a caller's connection is kept without a request.
	connectionIdle = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// Server serves callers over HTTP/1.1 and HTTP/2, the latter also without TLS.
type Server struct {
	server   http.Server
	listener net.Listener
	handler  *Handler
}

// NewServer returns a server of the handler; a nil TLS configuration means
// plain connections.
func NewServer(listener net.Listener, handler *Handler, config *tls.Config) *Server {
	s := &Server{listener: listener, handler: handler}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = http.Server{
		Handler: handler, Protocols: protocols, TLSConfig: config,
		ErrorLog:          log.New(&errorLog{handler: handler}, "", 0),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: connectionIdle, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// Run serves until Shutdown or Close; it returns nil after either.
func (s *Server) Run() error {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return errors.Annotate(err, "callers' listener failed; restart the daemon")
}

// Shutdown stops accepting and returns once the last request in flight has
// ended, or with the context's error.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close ends everything at once and cuts requests in flight.
func (s *Server) Close() error { return s.server.Close() }

// InFlight returns the number of requests that have begun and not ended.
func (s *Server) InFlight() int { return s.handler.InFlight() }

// errorLog writes what net/http logs as events.
type errorLog struct{ handler *Handler }

// Write logs one message.
func (l *errorLog) Write(message []byte) (int, error) {
	events.CallerFailed.Log(&l.handler.config.Logger).Str("error", strings.TrimSpace(string(message))).Send()
	return len(message), nil
}
