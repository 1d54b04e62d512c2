package dispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// TestRatesOfRareRequestsAddUp measures many slices that are asked for once in
// some seconds: together they have the load that they get.
func TestRatesOfRareRequestsAddUp(t *testing.T) {
	const slices, perSecond, seconds = 200, 0.1, 120
	now, random := time.Unix(1000, 0), seed.Rand(3)
	r := newRates(now)
	held := make([]rights.Held, slices)
	for i := range held {
		held[i] = rights.Held{Slice: assignment.Slice{First: uint64(i), Last: uint64(i)}, Fence: 1}
	}
	measured := 0.0
	for range seconds {
		r.follow(held, now)
		for i := range held {
			if random.Float64() < perSecond {
				r.completed(sliceIDOf(&held[i]), "key")
			}
		}
		now = now.Add(time.Second)
		r.roll(now)
		for i := range held {
			measured += r.slicePerSecond(&held[i])
		}
	}
	mean, sent := measured/seconds, slices*perSecond
	assert.Assert(t, math.Abs(mean-sent) < 0.05*sent, "%.1f requests a second, measured as %.1f", sent, mean)
}
