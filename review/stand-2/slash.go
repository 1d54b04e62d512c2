//go:build review

package main

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// doubleSlash sends requests whose path begins with two slashes to a route for all paths.
func doubleSlash() {
	s := newSite()
	s.configure(1, []route{{prefix: "/", kind: "non_idempotent", service: "seatdesk"}})
	t := s.addServer("i-0", "seatdesk", "north-a", fencetarget.Settings{Work: 5 * time.Millisecond})
	d := s.addDaemon("edge-north-a-1", "north-a", "1")
	s.waitReady()
	time.Sleep(time.Second)
	target := "/cancel/booking?seat=7"
	if trouble() {
		target = "//cancel/booking?seat=7"
	}
	c := &client{address: d.callers}
	sent := map[string]bool{}
	for range 5 {
		a := c.send("POST", target, 0, "x")
		sent[a.attempt] = true
		record("sent %s: POST %s; status %d, served %v, error %v", a.attempt, target, a.status, a.served, a.err)
	}
	changed := 0
	for _, r := range t.Runs() {
		record("server ran %s: %s %s, host %s", r.Attempt, r.Method, r.Path, r.Header.Get("Host"))
		if r.Path != target {
			changed++
		}
	}
	verdict(changed > 0, "%d of %d requests ran with another path", changed, len(t.Runs()))
}
