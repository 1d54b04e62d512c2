package dispatch

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// rateWeight is the weight of the last second in a rate.
const rateWeight = 0.3

// sliceID identifies a held slice in the rate table.
type sliceID struct {
	first, last uint64
	key         string
	fence       uint64
}

func sliceIDOf(held *rights.Held) sliceID {
	return sliceID{first: held.Slice.First, last: held.Slice.Last, key: held.Slice.Key, fence: held.Fence}
}

// meter measures a rate per second: the plain mean at first, a moving mean
// after that. It runs from when its slice is held and not from the first
// request, which would take the seconds before it out of the mean.
type meter struct {
	count     float64
	perSecond float64
	// since is the start of the present period, measured the time before it.
	since    time.Time
	measured time.Duration
}

// roll ends a measuring period.
func (m *meter) roll(now time.Time) {
	period := now.Sub(m.since)
	if period <= 0 {
		return
	}
	m.measured += period
	weight := max(rateWeight, period.Seconds()/m.measured.Seconds())
	m.perSecond += weight * (m.count/period.Seconds() - m.perSecond)
	m.count, m.since = 0, now
}

// rates measures the load of one target.
type rates struct {
	requests meter
	slices   map[sliceID]*meter
	keys     heavyHitters
	// occupiedSeconds integrates the occupied slots over the period.
	occupiedSeconds float64
	occupiedSince   time.Time
	busy            float64
	rolledAt        time.Time
}

func newRates(now time.Time) rates {
	return rates{requests: meter{since: now}, slices: map[sliceID]*meter{}, keys: newHeavyHitters(), occupiedSince: now, rolledAt: now}
}

// follow measures the slices that are held, and no others.
func (r *rates) follow(held []rights.Held, now time.Time) {
	kept := make(map[sliceID]*meter, len(held))
	for i := range held {
		id := sliceIDOf(&held[i])
		if kept[id] = r.slices[id]; kept[id] == nil {
			kept[id] = &meter{since: now}
		}
	}
	r.slices = kept
}

// completed counts an answered request.
func (r *rates) completed(id sliceID, key string) {
	r.requests.count++
	if key == "" {
		return
	}
	if m := r.slices[id]; m != nil {
		m.count++
	}
	r.keys.add(key)
}

// occupied is called before each change of the number of occupied slots.
func (r *rates) occupied(slots int, now time.Time) {
	r.occupiedSeconds += float64(slots) * now.Sub(r.occupiedSince).Seconds()
	r.occupiedSince = now
}

// roll ends a measuring period.
func (r *rates) roll(now time.Time) {
	period := now.Sub(r.rolledAt)
	if period <= 0 {
		return
	}
	r.rolledAt = now
	r.requests.roll(now)
	for _, m := range r.slices {
		m.roll(now)
	}
	r.keys.decay()
	r.busy += rateWeight * (r.occupiedSeconds/period.Seconds() - r.busy)
	r.occupiedSeconds = 0
}

// measured reports whether a held slice has been measured for a whole period.
func (r *rates) measured(held *rights.Held) bool {
	m := r.slices[sliceIDOf(held)]
	return m != nil && m.measured >= ratePeriod
}

// slicePerSecond returns the rate of a held slice.
func (r *rates) slicePerSecond(held *rights.Held) float64 {
	if m := r.slices[sliceIDOf(held)]; m != nil {
		return m.perSecond
	}
	return 0
}
