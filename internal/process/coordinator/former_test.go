package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
)

// TestFormerLeaderGrantsNothingToANextLife: it does not know that another leader has moved the keys away.
func TestFormerLeaderGrantsNothingToANextLife(t *testing.T) {
	for after := 100 * time.Millisecond; after <= 800*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			run(t, seed.Value, 5, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(3*time.Second + after)
				former, _ := w.leader()
				w.cutFor(20*time.Second, former+">store")
				for _, name := range everybody(5, 0) {
					w.cutFor(20*time.Second, former+">"+name)
					w.cutFor(20*time.Second, name+">"+former)
				}
				time.Sleep(500 * time.Millisecond)
				w.leaveTarget("t2")
				w.awaitRelease("t2", 3*time.Second)
				w.startAt("t2", "t2")
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// awaitRelease waits until a target holds no keys.
func (w *world) awaitRelease(id string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !w.holdsAny(id) {
			return
		}
	}
	w.set(func() { w.problem("%s still holds keys after %s", id, within) })
}

func (w *world) holdsAny(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range sampled {
		if time.Now().Before(w.targets[id].keys[i].until) {
			return true
		}
	}
	return false
}
