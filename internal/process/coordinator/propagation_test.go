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
