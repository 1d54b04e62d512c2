package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

// TestRemovalAfterAShortCutOfTheLeader: the leader is cut off from the store for 0.4 s, and
// the entry of a target is removed around the end of the cut. All VMs know within drainBound
// that the target leaves: its entry does not count as one that may reappear.
func TestRemovalAfterAShortCutOfTheLeader(t *testing.T) {
	for _, after := range []time.Duration{-200, -50, 0, 50, 200, 500, 1000} {
		after *= time.Millisecond
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			run(t, seed.Value, 5, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(3 * time.Second)
				leader, _ := w.leader()
				const cut = 400 * time.Millisecond
				w.cutFor(cut, leader+">store")
				time.Sleep(cut + after)
				w.remove("servers/t2")
				w.leavingKnownWithin("t2", drainBound)
				next, _ := w.leader()
				w.check(next == leader, "%s leads after %s", next, leader)
			})
		})
	}
}

// currentNodes returns how many nodes are current and how many there are.
func (w *world) currentNodes() (current, all int) {
	for _, n := range w.running() {
		all++
		if n.coordinator.Current() {
			current++
		}
	}
	return current, all
}

// TestCurrent checks when VMs are sure to be up to date: all of them always while nothing
// fails, also in a large fleet, and none whose view may lack what the store has accepted 2 s
// ago. A VM that is not sure refuses a request that an access key does not allow, instead of
// answering for good; one that is wrongly sure lets a revoked key through.
func TestCurrent(t *testing.T) {
	for _, vms := range []int{5, 60} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			run(t, seed.Value, vms, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(2 * time.Second)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					current, all := w.currentNodes()
					w.check(current == all, "%d of %d VMs are current while nothing fails", current, all)
				}
				w.withLock(func() { w.outage = true })
				time.Sleep(drainBound)
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					current, _ := w.currentNodes()
					w.check(current == 0, "%d VMs are current while the store is away", current)
				}
				w.withLock(func() { w.outage = false })
				time.Sleep(3 * time.Second)
				current, all := w.currentNodes()
				w.check(current == all, "%d of %d VMs are current after an outage", current, all)
				leader, _ := w.leader()
				isolated := otherThan(leader)
				w.cutBetween(5*time.Second, leader, isolated)
				time.Sleep(900 * time.Millisecond)
				w.check(!w.nodes[isolated].coordinator.Current(), "%s is current without its leader", isolated)
			})
		})
	}
}

// TestHeldUpHeartbeatsAreNotCurrent: heartbeats that a partition has held up arrive together,
// long after they were sent. The VM must not take the leader's knowledge in them for recent.
func TestHeldUpHeartbeatsAreNotCurrent(t *testing.T) {
	run(t, seed.Value, 5, 6, func(w *world) {
		w.servedWithin(2 * time.Second)
		time.Sleep(2 * time.Second)
		w.withLock(func() { w.delaysMessages = true })
		leader, _ := w.leader()
		isolated := otherThan(leader)
		// From here on nobody learns anything new of the store.
		w.withLock(func() { w.cut[leader+">"+isolated], w.outage = true, true })
		time.Sleep(4 * time.Second)
		w.killNode(leader)
		w.withLock(func() { delete(w.cut, leader+">"+isolated) })
		for range 30 {
			time.Sleep(5 * time.Millisecond)
			w.check(!w.nodes[isolated].coordinator.Current(), "%s is current by a heartbeat that was held up", isolated)
		}
	})
}

// otherThan returns the name of a VM that does not lead.
func otherThan(leader string) string {
	if leader == "n1" {
		return "n2"
	}
	return "n1"
}
