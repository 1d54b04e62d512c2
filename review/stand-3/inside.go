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
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// insideClients is the number of clients that upload to a VM at once: the clients of a zone.
	insideClients = 62
	// insideRounds is the number of uploads of a client, roundTime the time from one to the next.
	insideRounds = 20
	roundTime    = 1500 * time.Millisecond
	// firstRecords is the number of records that an upload begins with, and later that of the
	// records that follow one by one. An upload has 60,000 bytes, as the users' have.
	firstRecords = 450
	laterRecords = 4
	// recordInterval is the pause before each of the later records.
	recordInterval = 220 * time.Millisecond
	// freezeAfter is when in a round the VM stands still, freezeFor for how long.
	freezeAfter = 120 * time.Millisecond
	freezeFor   = 400 * time.Millisecond
	// readers is the number of clients that send usual requests meanwhile, readerPause the pause
	// between two of them.
	readers     = 20
	readerPause = 5 * time.Millisecond
	// recordedPrefix begins the ids of the requests within uploads, which no client sends.
	recordedPrefix = "recorded-"
)

// playInside has clients upload recordings of requests to servers that answer before they have
// read all of them. The client that records writes one request after the other.
func playInside(s *site, trouble bool) (int, error) {
	s.configure([]route{
		{"/recordings/", "upload", "vault", 400 * time.Millisecond, 4 * time.Second},
		{"/board/", "idempotent", "vault", 400 * time.Millisecond, 4 * time.Second},
		{"/orders/", "non_idempotent", "vault", 400 * time.Millisecond, 4 * time.Second},
	}, map[string]bool{"vault": false})
	var smuggled atomic.Int64
	for _, id := range []string{"i-vault1", "i-vault2", "i-vault3"} {
		if err := s.startEarlyServer(id, &smuggled); err != nil {
			return couldNot, err
		}
	}
	for range 3 {
		if _, err := s.startDaemon(); err != nil {
			return couldNot, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	frozen := s.daemons[0]
	for _, d := range s.daemons {
		if d.name == s.leader() {
			frozen = d
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for range readers {
		go s.sendReads(frozen.front, stop)
	}
	for n := range insideRounds {
		began := time.Now()
		var uploads sync.WaitGroup
		var whole atomic.Int64
		for range insideClients {
			uploads.Go(func() { s.upload(frozen.front, &whole) })
		}
		if trouble {
			time.Sleep(freezeAfter)
			_ = frozen.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			_ = frozen.command.Process.Signal(syscall.SIGCONT)
		}
		uploads.Wait()
		s.note("round %d: %d of %d uploads answered whole, %d requests smuggled so far", n+1, whole.Load(), insideClients, smuggled.Load())
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	if smuggled.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// startEarlyServer starts a server that answers a request when it has read its head, and reads the
// body after that.
func (s *site) startEarlyServer(id string, smuggled *atomic.Int64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.servers = append(s.servers, &server{id: id, listener: listener})
	s.store.Set("servers", id, map[string]any{
		"address": listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info": map[string]any{"service": "vault", "version": "v1", "zone": "a", "maxConcurrency": 100},
	}, map[string]any{"state": "in_service", "sequence": 1, "warmupLeft": "0ms"})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answerEarly(id, conn, smuggled)
		}
	}()
	return nil
}

func (s *site) answerEarly(id string, conn net.Conn, smuggled *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if strings.HasPrefix(attempt, recordedPrefix) {
			smuggled.Add(1)
			s.note("server %s runs %s %s %s, which no client has sent", id, r.Method, r.URL.Path, attempt)
		}
		if _, err := io.WriteString(conn, head(attempt, itemBytes)+body(attempt, itemBytes)); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// sendReads sends usual requests until stop is closed.
func (s *site) sendReads(front string, stop chan struct{}) {
	for {
		c, err := connect(front)
		for err == nil {
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(readerPause):
			}
			attempt := newAttempt()
			_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
			if _, err = io.WriteString(c.conn, get("/board/one", attempt, 2*time.Second)); err == nil {
				_, _, err = c.answer(attempt, itemBytes)
			}
		}
		if c != nil {
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(readerPause):
		}
	}
}

// recordNumber numbers the recorded requests.
var recordNumber atomic.Int64

// record returns one recorded request.
func record() string {
	return fmt.Sprintf("POST /orders/one HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s%08d\r\nRequest-Deadline: 2500\r\nContent-Length: 0\r\n\r\n",
		host, recordedPrefix, recordNumber.Add(1))
}

// upload sends one recording, and reads its answer meanwhile.
func (s *site) upload(front string, whole *atomic.Int64) {
	c, err := connect(front)
	if err != nil {
		return
	}
	defer c.close()
	attempt := newAttempt()
	var first strings.Builder
	for range firstRecords {
		first.WriteString(record())
	}
	length := first.Len() / firstRecords * (firstRecords + laterRecords)
	text := fmt.Sprintf("POST /recordings/one HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 4000\r\nContent-Length: %d\r\n\r\n", host, attempt, length)
	if _, err := io.WriteString(c.conn, text+first.String()); err != nil {
		return
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_ = c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		if _, ok, err := c.answer(attempt, itemBytes); err == nil && ok {
			whole.Add(1)
		}
	}()
	for range laterRecords {
		time.Sleep(recordInterval)
		if _, err := io.WriteString(c.conn, record()); err != nil {
			break
		}
	}
	<-answered
}
