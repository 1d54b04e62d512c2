package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// sparseDemand is a demand for one key in 500.
func sparseDemand(key int) float64 {
	if key%500 == 0 {
		return 0.05
	}
	return 0
}

func idle(int) float64 { return 0 }

// withJoinedOwners returns a cluster whose keys are divided among a fifth of the
// owners; the others have joined since and have no keys.
func withJoinedOwners(list []keyspace.Owner) *cluster {
	w := &cluster{}
	w.apply(keyspace.Initial(list[:len(list)/5]))
	w.settle()
	return w
}

// TestCostOfAPlanGrowsAsTheOwners checks that the time for a plan does not grow with the
// square of the number of owners, also while most owners have no keys yet: the leader
// plans four times a second, on the goroutine that responds to all VMs. The bound is on
// the ratio of two measurements on the same machine, each the best of ten.
func TestCostOfAPlanGrowsAsTheOwners(t *testing.T) {
	for name, demand := range map[string]func(int) float64{"idle": idle, "few keys in demand": sparseDemand, "all keys in demand": even} {
		t.Run(name, func(t *testing.T) {
			perPlan := func(count int) time.Duration {
				list := owners(count)
				w, load := withJoinedOwners(list), loadOf(time.Now(), demand)
				best := time.Hour
				for range 10 {
					began := time.Now()
					keyspace.Plan(w.slices, list, load)
					best = min(best, time.Since(began))
				}
				return best
			}
			few, many := perPlan(200), perPlan(1600)
			assert.Assert(t, many < 16*few, "%v with 1,600 owners, %v with 200", many, few)
		})
	}
}

// TestOwnersThatJoinGetKeysWithoutDemand checks that owners that have joined get keys
// even if no key is in demand, when utilisation does not tell owners with keys from
// those without.
func TestOwnersThatJoinGetKeysWithoutDemand(t *testing.T) {
	list := owners(100)
	w := withJoinedOwners(list)
	w.planRounds(4, list, idle)
	w.checkOwners(t)
	widths := map[fleet.Life]int{}
	for _, s := range w.slices {
		widths[s.Owner] += int(s.Last) - int(s.First) + 1
	}
	widest := 0
	for _, width := range widths {
		widest = max(widest, width)
	}
	assert.Check(t, len(widths) == len(list), "%d of %d owners have keys", len(widths), len(list))
	assert.Check(t, widest <= 4*fleet.Keys/len(list), fmt.Sprintf("an owner has %d keys", widest))
}
