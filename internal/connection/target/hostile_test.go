package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
)

// strayForm is the form of targets whose stray answers are read past.
var strayForm = target.Form{
	RequestIDHeader: target.HeaderRequestID, Unframed: true, SkipStray: true, DialTimeout: testTimeout, MaxIdle: testTimeout,
}

// listenRaw serves each connection with a function that writes what it likes. It
// returns the address.
func listenRaw(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				serve(socket.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func strayPool(t *testing.T, serve func(*net.TCPConn)) *target.Pool {
	pool := target.NewPoolOf(listenRaw(t, serve), 4, strayForm)
	t.Cleanup(pool.Close)
	return pool
}

// readRequest reads a request with its body and returns its id.
func readRequest(in *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get(target.HeaderRequestID), err
}

// head is the beginning of an answer to a request.
func head(id string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\n" + target.HeaderRequestID + ": " + id + "\r\n" + strings.Join(headers, "\r\n")
}

// whole is a complete answer with the id as its body.
func whole(id string) string {
	return head(id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id))
}

// handedWithoutAnswer asserts that the request counts as one that may have run.
func handedWithoutAnswer(t *testing.T, err error) {
	t.Helper()
	var failed *target.ExchangeError
	assert.Assert(t, errors.As(err, &failed) && failed.Handed, "%v", err)
}
