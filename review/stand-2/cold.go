//go:build review

package main

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

const (
	// warmup is how long a server is cold after its start. While it is, it may get coldBound
	// requests in a second: warmupPerS x coldOver + coldSlack.
	warmup    = 3 * time.Second
	coldBound = 11*1.5 + 5
	// cutFor is the length of the cut.
	cutFor = 5 * time.Second
)

// isolatedLeader plays the cut of the machine that leads from the other machines and the store,
// while a server is cold and the load is above the capacity of the others.
func isolatedLeader() {
	s := newSite()
	s.configure(1, []route{{prefix: "/roster/", kind: "idempotent", service: "benchlist"}})
	settings := fencetarget.Settings{Work: 50 * time.Millisecond, Slots: 2}
	for _, zone := range zones {
		s.addServer("i-warm-"+zone, "benchlist", zone, settings)
	}
	s.startDaemons(smallMachine)
	s.waitReady()
	time.Sleep(5 * time.Second)
	former := s.leader()
	record("the leader is %s; the load begins", former.name)
	stop := s.load("GET", "/roster/x", 8)
	time.Sleep(3 * time.Second)
	settings.ColdFor = warmup
	t := s.addServer("i-cold", "benchlist", "north-a", settings)
	record("%s starts; it is cold for %s", t.id, warmup)
	time.Sleep(150 * time.Millisecond)
	if trouble() {
		record("%s is cut off from the other machines and the store", former.name)
		s.cutOff(former)
	}
	time.Sleep(cutFor)
	record("the record names %s as the leader", s.leader().name)
	stop()
	n := mostInOneSecond(t, warmup)
	verdict(float64(n) > coldBound, "the cold server got up to %d requests in one second; the bound is %.1f", n, coldBound)
}

// mostInOneSecond returns the largest number of requests that arrived at a server within a
// second, in the given time from its start.
func mostInOneSecond(t *server, within time.Duration) (most int) {
	var at []time.Time
	for _, a := range t.Arrivals() {
		if a.At.Sub(t.startedAt) < within {
			at = append(at, a.At)
			record("%s: arrival of %s, %.3f s after the start", t.id, a.Attempt, a.At.Sub(t.startedAt).Seconds())
		}
	}
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other.Sub(at[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
