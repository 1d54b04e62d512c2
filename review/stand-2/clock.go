//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

const (
	// clockStep is how far the time of day of a server's machine is ahead until it jumps back.
	clockStep = 2 * time.Second
	// lifetime is how long the server's first process runs, downtime the time until the next.
	lifetime = 800 * time.Millisecond
	downtime = 200 * time.Millisecond
	// otherServers is the number of servers that nothing happens to: one of eight crashes.
	otherServers = 7
	// drainBound is the bound of the rule, servesOn how long the server serves after its
	// `draining` has been accepted.
	drainBound = 2 * time.Second
	servesOn   = 8 * time.Second
)

// clockBack plays a server whose process starts twice, and whose machine's time of day jumps
// back in between. Later the server drains.
func clockBack() {
	s := newSite()
	s.configure(1, []route{{prefix: "/book/", kind: "non_idempotent", service: "seatdesk"}})
	settings := fencetarget.Settings{Work: 50 * time.Millisecond, Slots: 2}
	for i := range otherServers {
		s.addServer(fmt.Sprintf("i-%d", i), "seatdesk", zones[i%len(zones)], settings)
	}
	s.startDaemons(smallMachine)
	s.waitReady()
	time.Sleep(5 * time.Second)
	step := clockStep
	if !trouble() {
		step = 0
	}
	x := s.startServer("i-x", "seatdesk", "north-a", settings, time.Now().Add(step))
	record("%s starts; its time of day is %s ahead: born %d", x.id, step, x.born)
	time.Sleep(lifetime)
	x.end()
	record("%s ends", x.id)
	time.Sleep(downtime)
	x = s.startAgain(x, time.Now())
	record("%s starts again under its id at its address; its time of day is right: born %d", x.id, x.born)
	time.Sleep(3 * time.Second)
	stop := s.load("POST", "/book/x", 7)
	time.Sleep(5 * time.Second)
	s.enter(x, "draining")
	drained := time.Now()
	record("the store has accepted that %s is draining", x.id)
	time.Sleep(servesOn)
	stop()
	late := 0
	for _, a := range x.Arrivals() {
		if after := a.At.Sub(drained); after > drainBound {
			record("%s: arrival of %s, %.3f s after its draining was accepted", x.id, a.Attempt, after.Seconds())
			late++
		}
	}
	verdict(late > 0, "%d requests reached %s later than %s after its draining was accepted, of %d since its last start", late, x.id, drainBound, len(x.Arrivals()))
}

// requestPause is the pause of a client between an answer and its next request.
const requestPause = 10 * time.Millisecond

// load sends requests through all machines until the result is called.
func (s *site) load(method, path string, clientsPerMachine int) (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, d := range s.daemons {
		for range clientsPerMachine {
			clients.Go(func() {
				c := &client{address: d.callers}
				defer c.close()
				for {
					select {
					case <-done:
						return
					case <-time.After(requestPause):
						note(c.send(method, path, 0, ""), d)
					}
				}
			})
		}
	}
	return func() {
		close(done)
		clients.Wait()
	}
}
