//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

// answer is what a client got to one attempt.
type answer struct {
	attempt, request string
	status           int
	// served is set if the answer is a server's whole success.
	served bool
	err    error
	sentAt time.Time
}

// client is a client with one kept connection at a time.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends one request and waits for its answer. A failed connection is replaced with the next
// request.
func (c *client) send(method, target string, key int, body string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", attempts.Add(1)), request: method + " " + target, sentAt: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 2000\r\nShard-Key: %d\r\n", method, target, host, a.attempt, key)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+body); a.err != nil {
		c.close()
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	content, err := io.ReadAll(response.Body)
	a.status, a.err = response.StatusCode, err
	a.served = err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Server-Seal") == fencetarget.Seal(a.attempt) &&
		strings.HasPrefix(string(content), "answer of ") && strings.HasSuffix(string(content), " to "+a.attempt)
	if err != nil || response.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// note records an answer and reports whether the request was served.
func note(a answer, d *daemon) bool {
	record("client of %s: %s %s, status %d, served %v, error %v", d.name, a.request, a.attempt, a.status, a.served, a.err)
	return a.served
}
