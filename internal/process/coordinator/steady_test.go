package coordinator_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// averageTime is the time constant of a measured slowness at ten requests per second, of
// which each counts for 0.15.
const averageTime = 0.65

// loadEvenly plays the demand of half of the targets' capacity for all keys, and the third
// of it that is for hot keys from a time on, by the rise of the measured demand.
func (w *world) loadEvenly(first, last int, hotFrom time.Time) {
	w.demand = func(load *keyspace.Load) {
		const work, unit = 6.0, 1.5 / math.Ln2
		for key := 0; key < fleet.Keys; key += 16 {
			load.Add(uint16(key), work*unit/(fleet.Keys/16))
		}
		if since := time.Since(hotFrom).Seconds(); since > 0 {
			for key := first; key <= last; key++ {
				load.Add(uint16(key), work/3*unit/float64(last-first+1)*(1-math.Exp2(-since/1.5)))
			}
		}
	}
}

// movesWithin watches the owners of keys for a time and returns the number of keys that got
// another one, and when the last one did.
func (w *world) movesWithin(watch time.Duration) (moved int, last time.Duration) {
	name, _ := w.leader()
	n := w.nodes[name]
	owners := func() (by [fleet.Keys]fleet.Life) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, s := range n.view.Slices[service] {
			for key := int(s.First); key <= int(s.Last); key++ {
				by[key] = s.Owner
			}
		}
		return by
	}
	before := owners()
	for began := time.Now(); time.Since(began) < watch; time.Sleep(20 * time.Millisecond) {
		now := owners()
		for key := range now {
			if now[key] != before[key] {
				moved, last = moved+1, time.Since(began)
			}
		}
		before = now
	}
	return moved, last
}

// TestShortSlownessMovesNoKeys guards against keys that are moved away from a machine that
// is three times slower for half a second, and back: requests on the way are refused by the
// former owner. A machine that stays slow is relieved within 2.5 s.
func TestShortSlownessMovesNoKeys(t *testing.T) {
	for name, length := range map[string]time.Duration{"half a second": 500 * time.Millisecond, "for good": time.Hour} {
		t.Run(name, func(t *testing.T) {
			run(t, seed.Value, 5, 6, func(w *world) {
				w.mu.Lock()
				w.loadEvenly(0, 0, time.Now().Add(time.Hour))
				began := time.Now().Add(8 * time.Second)
				w.slowness = func(target string) float64 {
					since, excess := time.Since(began), 0.0
					if target == "t0" && since > 0 {
						excess = 2 * (1 - math.Exp(-min(since, length).Seconds()/averageTime))
						excess *= math.Exp(-max(since-length, 0).Seconds() / averageTime)
					}
					return 1 + excess
				}
				w.mu.Unlock()
				time.Sleep(time.Until(began))
				if length > time.Second {
					moved, last := w.movesWithin(2500 * time.Millisecond)
					t.Logf("%d keys moved, the last after %s", moved, last)
					w.check(moved > 0, "no keys of a target that stays slow moved within 2.5 s")
					return
				}
				moved, _ := w.movesWithin(4 * time.Second)
				w.check(moved == 0, "%d keys moved although their owner was slow for half a second only", moved)
			})
		})
	}
}

// TestHotSetIsSpread states how long a hot set of adjacent keys with a third of the traffic is
// on the move, from its first request on, and guards against steady speeds that delay it: at
// most by one plan.
func TestHotSetIsSpread(t *testing.T) {
	for _, keys := range []int{60, 200} {
		took := map[bool]time.Duration{}
		for _, steady := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldWith(t, seed.Value, 5, 6, steady)
				began := time.Now().Add(8 * time.Second)
				w.mu.Lock()
				w.loadEvenly(30000, 30000+keys-1, began)
				w.mu.Unlock()
				time.Sleep(time.Until(began))
				moved, last := w.movesWithin(12 * time.Second)
				t.Logf("%d hot keys, steady %v: %d moves of a key, the last %s after the first request", keys, steady, moved, last)
				w.check(moved > 0, "no keys moved")
				took[steady] = last
				w.finish(seed.Value)
			})
		}
		assert.Assert(t, took[true] <= took[false]+250*time.Millisecond, "%d hot keys: %s, %s without steady speeds", keys, took[true], took[false])
	}
}
