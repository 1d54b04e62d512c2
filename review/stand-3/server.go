//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// itemBytes is the length of a usual answer.
const itemBytes = 400

// server is a stand-in of one of the users' servers. It serves one request at a time on a
// connection and notes each request that it runs.
type server struct {
	id, service string
	site        *site
	listener    net.Listener
	// respond writes the answer to a request that has been read whole. It reports whether the
	// connection goes on.
	respond func(conn net.Conn, r *http.Request) (goesOn bool)

	mu   sync.Mutex
	runs map[string]int
	// done are the attempts whose answer has been written whole.
	done map[string]time.Time
}

// startServer starts a server without keys and registers it.
func (s *site) startServer(id, service string, slots int, respond func(*server) func(net.Conn, *http.Request) bool) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{id: id, service: service, site: s, listener: listener, runs: map[string]int{}, done: map[string]time.Time{}}
	v.respond = respond(v)
	s.servers = append(s.servers, v)
	go v.accept()
	s.store.Set("servers", id, map[string]any{
		"address": listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info": map[string]any{"service": service, "version": "v1", "zone": "a", "maxConcurrency": slots},
	}, map[string]any{"state": "in_service", "sequence": 1, "warmupLeft": "0ms"})
	return v, nil
}

func (v *server) close() { _ = v.listener.Close() }

func (v *server) accept() {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.serve(conn)
	}
}

func (v *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != v.id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt); err != nil {
				return
			}
			continue
		}
		v.mu.Lock()
		v.runs[attempt]++
		v.mu.Unlock()
		v.site.note("server %s runs %s %s", v.id, attempt, r.URL.Path)
		if !v.respond(conn, r) {
			return
		}
		v.mu.Lock()
		v.done[attempt] = time.Now()
		v.mu.Unlock()
	}
}

// ran reports whether the server has run an attempt, and when it had written its whole answer;
// zero if it has not.
func (v *server) ran(attempt string) (bool, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[attempt] > 0, v.done[attempt]
}

// head returns the head of a success with a body of a length.
func head(attempt string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n", attempt, attempt, length)
}

// body returns the body of a length that answers an attempt.
func body(attempt string, length int) string {
	return strings.Repeat(attempt+" ", length/(len(attempt)+1)+1)[:length]
}
