//go:build review

package main

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

const (
	// leadChange is how long the case waits after the silence: longer than contact, and than
	// the other machines take to replace the leader.
	leadChange = 12 * time.Second
	// inForce is the wait after a configuration, longer than apply, in which the keys of a
	// new service find their owners.
	inForce = 8 * time.Second
	// pairs is the number of requests on each of the two routes.
	pairs = 60
)

// silentSessions plays open connections between machines that go silent for good while new
// ones work. Later the operator adds a route to a service whose keys servers hold. The clients
// are in the zone of the machine that led when the connections went silent.
func silentSessions() {
	first := route{prefix: "/book/", kind: "non_idempotent", service: "seatdesk"}
	added := route{prefix: "/slots/", kind: "idempotent", service: "slotboard"}
	s := newSite()
	s.configure(1, []route{first})
	settings := fencetarget.Settings{Work: 20 * time.Millisecond}
	for _, zone := range zones {
		s.addServer("i-seat-"+zone, first.service, zone, settings)
	}
	s.startDaemons(smallMachine)
	s.waitReady()
	time.Sleep(5 * time.Second)
	entry := s.leader()
	record("the leader is %s; the clients are in its zone, %s", entry.name, entry.zone)
	for _, d := range s.daemons {
		if trouble() {
			record("%d open connections of other machines to %s go silent", d.peerLink.silence(), d.name)
		}
	}
	time.Sleep(leadChange)
	record("the record names %s as the leader; the configuration gets a route to %s", s.leader().name, added.service)
	settings.Keyed = true
	for _, zone := range zones {
		s.addServer("i-slot-"+zone, added.service, zone, settings)
	}
	s.configure(2, []route{first, added}, added.service)
	time.Sleep(inForce)
	for key := 0; key < keys; key += keyStep {
		if n := len(s.holders(added.service, key)); n != 1 {
			cannotRun("%d servers hold key %d", n, key)
		}
	}
	record("each key of %s has a holder", added.service)
	c := &client{address: entry.callers}
	defer c.close()
	served := map[string]int{}
	for i := range pairs {
		if note(c.send("POST", first.prefix+"x", 0, "x"), entry) {
			served[first.prefix]++
		}
		if note(c.send("GET", added.prefix+"x", i*keys/pairs, ""), entry) {
			served[added.prefix]++
		}
	}
	verdict(4*served[added.prefix] < served[first.prefix], "%d of %d requests served on the first route, %d of %d on the added one",
		served[first.prefix], pairs, served[added.prefix], pairs)
}
