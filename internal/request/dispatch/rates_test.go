package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
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

// TestSlicesAreReportedOnceMeasured: the controller keeps its own estimate of a
// slice that has just arrived or was split off.
func TestSlicesAreReportedOnceMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEndpoint(manifest.Target{Name: "t"}, &manifest.Service{}, zerolog.Nop())
	e.rates = newRates(now)
	held := &rights.Target{Slices: []rights.Held{
		{Slice: assignment.Slice{First: 0, Last: 9}, Fence: 1}, {Slice: assignment.Slice{First: 10, Last: 19}, Fence: 1}}}
	serve := func(until time.Duration) {
		for range 10 {
			now = now.Add(until / 10)
			e.rates.completed(sliceIDOf(&held.Slices[1]), "key")
			e.check(now, held.Slices)
		}
	}
	e.check(now, held.Slices)
	serve(ratePeriod)
	assert.Equal(t, len(e.load(held).Slices), 2, "a slice without requests is measured too")
	held.Slices[1].Fence = 2
	e.check(now, held.Slices)
	assert.Equal(t, len(e.load(held).Slices), 1, "the second slice has arrived anew")
	serve(ratePeriod / 2)
	assert.Equal(t, len(e.load(held).Slices), 1)
	serve(2 * ratePeriod)
	after := e.load(held).Slices
	assert.Equal(t, len(after), 2)
	assert.Assert(t, after[1].RequestsPerSecond > 4 && after[1].RequestsPerSecond < 20, "%v", after[1])
}
