//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// listBytes is the length of the answers that break off, of the size that the users'
	// downloads have.
	listBytes = 200_000
	// pairs is the number of pairs of requests of a client.
	pairs = 100
	// pairClients is the number of clients that send them.
	pairClients = 6
	// listServers and itemServers are the numbers of servers, faultyServers that of the servers
	// of lists that break off answers: 0.6 of them.
	listServers, itemServers, faultyServers = 5, 2, 3
	// spoiledShare is the share of the answers of the faulty server that break off.
	spoiledShare = 0.05
	// lostBound is the number of requests that may be lost.
	lostBound = 3
)

// playBehind sends pairs of idempotent requests on kept connections, the second one before the
// first is answered. The first ones go to a service whose servers in part break off
// a part of their answers, the second ones to a service whose servers are sound.
func playBehind(s *site, trouble bool) (int, error) {
	s.configure([]route{
		{"/lists/", "idempotent", "lists", 300 * time.Millisecond, 2 * time.Second},
		{"/items/", "idempotent", "items", 300 * time.Millisecond, 2 * time.Second},
	}, map[string]bool{"lists": false, "items": false})
	var count atomic.Int64
	answers := func(length int, faulty bool) func(*server) func(net.Conn, *http.Request) bool {
		return func(v *server) func(net.Conn, *http.Request) bool {
			return func(conn net.Conn, r *http.Request) bool {
				attempt := r.Header.Get("Attempt-Id")
				time.Sleep(20 * time.Millisecond)
				text := head(attempt, length) + body(attempt, length)
				spoiled := faulty && count.Add(1)%int64(1/spoiledShare) == 0
				if spoiled {
					text = text[:len(text)*9/10]
					s.note("server %s breaks off its answer to %s", v.id, attempt)
				}
				_, err := io.WriteString(conn, text)
				return err == nil && !spoiled
			}
		}
	}
	for i := range listServers {
		if _, err := s.startServer(fmt.Sprintf("i-list%d", i+1), "lists", 2, answers(listBytes, trouble && i < faultyServers)); err != nil {
			return couldNot, err
		}
	}
	for i := range itemServers {
		if _, err := s.startServer(fmt.Sprintf("i-item%d", i+1), "items", 4, answers(itemBytes, false)); err != nil {
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
	// Out of the time in which servers count as started.
	time.Sleep(4 * time.Second)

	var clients sync.WaitGroup
	var lost, served atomic.Int64
	var failed atomic.Pointer[error]
	for i := range pairClients {
		clients.Go(func() {
			if err := sendPairs(s, s.daemons[i%len(s.daemons)].front, &lost, &served); err != nil {
				failed.Store(&err)
			}
		})
	}
	clients.Wait()
	if err := failed.Load(); err != nil {
		return couldNot, *err
	}
	s.note("%d pairs, %d served, %d requests lost that a sound server had answered; more than %d break LOST",
		pairClients*pairs, served.Load(), lost.Load(), lostBound)
	if lost.Load() > lostBound {
		return broken, nil
	}
	return held, nil
}

// sendPairs sends the pairs of one client.
func sendPairs(s *site, front string, lost, served *atomic.Int64) error {
	var c *client
	for range pairs {
		if c == nil {
			var err error
			if c, err = connect(front); err != nil {
				return err
			}
			attempt := newAttempt()
			if _, err := io.WriteString(c.conn, get("/items/first", attempt, 2*time.Second)); err != nil {
				return err
			}
			// From here on the connection is a kept one.
			if _, _, err := c.answer(attempt, itemBytes); err != nil {
				return err
			}
		}
		list, item := newAttempt(), newAttempt()
		if _, err := io.WriteString(c.conn, get("/lists/all", list, 2*time.Second)+get("/items/one", item, 2*time.Second)); err != nil {
			return err
		}
		status, whole, err := c.answer(list, listBytes)
		s.note("client: %s of /lists/ answered %d, whole %t, error %v", list, status, whole, err)
		if err == nil {
			status, whole, err = c.answer(item, itemBytes)
		}
		s.note("client: %s of /items/ answered %d, whole %t, error %v", item, status, whole, err)
		if err == nil {
			served.Add(1)
			continue
		}
		c.close()
		c = nil
		for _, v := range s.servers {
			if ran, done := v.ran(item); ran && !done.IsZero() {
				lost.Add(1)
				s.note("lost: %s was passed on to the sound server %s, which answered it, and its connection was closed without an answer", item, v.id)
			}
		}
	}
	return nil
}
