//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("attempt-%04d", attempts.Add(1)) }

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(front string) (*client, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

func newClient(conn net.Conn) *client { return &client{conn: conn, reader: bufio.NewReader(conn)} }

func (c *client) close() { _ = c.conn.Close() }

// get returns the bytes of a request.
func get(path, attempt string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\n\r\n", path, host, attempt, deadline.Milliseconds())
}

// answer reads one answer. whole is set if it is the server's whole answer to the attempt, of a
// length.
func (c *client) answer(attempt string, length int) (status int, whole bool, err error) {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, false, err
	}
	defer r.Body.Close()
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return r.StatusCode, false, err
	}
	whole = r.StatusCode == http.StatusOK && r.Header.Get("Server-Seal") == "seal."+attempt && string(content) == body(attempt, length)
	return r.StatusCode, whole, nil
}

// post returns the bytes of a request with a small body.
func post(path, attempt string, deadline time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, attempt, deadline.Milliseconds(), len(attempt), attempt)
}
