package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
)

const hangUp = syscall.SIGHUP

// startServer returns the address of a server that ends with the test.
func startServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}
