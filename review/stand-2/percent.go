//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// pipelinedPercent sends, on kept connections, a request and behind it another one whose path
// has a percent sign that begins no escape.
func pipelinedPercent() {
	const connections = 10
	const serverWork = 100 * time.Millisecond
	s := newSite()
	s.configure(1, []route{{prefix: "/slots/", kind: "idempotent", service: "benchlist"}})
	t := s.addServer("i-0", "benchlist", "north-a", fencetarget.Settings{Work: serverWork})
	d := s.addDaemon("edge-north-a-1", "north-a", smallMachine)
	s.waitReady()
	time.Sleep(time.Second)
	behind := "/slots/discount-10%25"
	if trouble() {
		behind = "/slots/discount-10%"
	}
	lost := 0
	for range connections {
		conn, err := net.Dial("tcp", d.callers)
		if err != nil {
			cannotRun("no connection: %v", err)
		}
		reader := bufio.NewReader(conn)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		// The first request makes the connection a kept one.
		receive(reader, transmit(conn, "/slots/a"))
		first := transmit(conn, "/slots/b")
		// The server is at work on the first one when the second arrives.
		time.Sleep(serverWork / 3)
		second := transmit(conn, behind)
		answered := receive(reader, first)
		receive(reader, second)
		_ = conn.Close()
		if ran := runsOf(t, first); !answered && ran > 0 {
			record("the server ran %s, and the connection ended without an answer to it", first)
			lost++
		}
	}
	verdict(lost > 3, "%d of %d kept connections ended without an answer to a request that was passed on", lost, connections)
}

// transmit sends a request and returns its attempt.
func transmit(conn net.Conn, path string) string {
	attempt := fmt.Sprintf("%016x", attempts.Add(1))
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 2000\r\n\r\n", path, host, attempt)
	record("sent %s: GET %s, error %v", attempt, path, err)
	return attempt
}

// receive reads the answer to an attempt and reports whether it is whole.
func receive(reader *bufio.Reader, attempt string) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		record("no answer to %s: %v", attempt, err)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	record("answer to %s: status %d of %q, error %v", attempt, response.StatusCode, response.Header.Get("Attempt-Id"), err)
	return err == nil
}

// runsOf returns how often a server ran an attempt.
func runsOf(t *server, attempt string) (n int) {
	for _, r := range t.Runs() {
		if r.Attempt == attempt {
			n++
		}
	}
	return n
}
