package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// operatorHeaderTimeout bounds the time to read the header of a request.
const operatorHeaderTimeout = 10 * time.Second

// operatorsServer serves the operators' API on a listener.
type operatorsServer struct {
	server   http.Server
	listener net.Listener
}

func newOperatorsServer(listener net.Listener, handler http.Handler, config *tls.Config) *operatorsServer {
	return &operatorsServer{
		listener: listener,
		server:   http.Server{Handler: handler, TLSConfig: config, ReadHeaderTimeout: operatorHeaderTimeout},
	}
}

// Run serves until Close or Shutdown.
func (s *operatorsServer) Run() error {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "operators' listener failed; restart the daemon")
}

// Close closes the listener and its connections.
func (s *operatorsServer) Close() error { return s.server.Close() }

// Shutdown closes the listener and waits for the requests in flight.
func (s *operatorsServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }
