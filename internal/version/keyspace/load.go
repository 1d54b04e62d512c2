// Package keyspace decides which target owns which keys.
//
// It answers uneven and changing demand: a few busy keys that lie close to
// one another, a hot key set that appears within a second, targets that join
// empty, slow down, leave or are lost. It works on values alone.
package keyspace

import (
	"math"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// halfLife is the half-life of the measured demand: short enough to follow a
// hot key within a second, long enough not to follow noise.
const halfLife = 1500 * time.Millisecond

// idleKey is what a key counts for that nobody asks for, so that keys without
// demand are divided by their number.
const idleKey = 1e-9

// Load is the recent demand for each key of a service, in seconds of work a second.
type Load struct {
	keys    [fleet.Keys]float32
	fadedAt time.Time
}

// NewLoad returns a load without demand.
func NewLoad(now time.Time) *Load { return &Load{fadedAt: now} }

// Add counts a request for a key that takes work seconds.
func (l *Load) Add(key uint16, work float64) {
	l.keys[key] += float32(work * math.Ln2 / halfLife.Seconds())
}

// Fade lets the demand fade up to now; it is called before a plan.
func (l *Load) Fade(now time.Time) {
	keep := float32(math.Exp2(-now.Sub(l.fadedAt).Seconds() / halfLife.Seconds()))
	l.fadedAt = now
	for i := range l.keys {
		l.keys[i] *= keep
	}
}

// of returns the demand for a range of keys.
func (l *Load) of(first, last uint16) float64 {
	sum := float32(0)
	for _, value := range l.keys[first : int(last)+1] {
		sum += value
	}
	return float64(sum) + idleKey*float64(int(last)-int(first)+1)
}

// above returns the sum of what keys of a range have beyond a demand.
func (l *Load) above(demand float64, first, last uint16) float64 {
	sum := 0.0
	for _, value := range l.keys[first : int(last)+1] {
		sum += max(float64(value)-demand, 0)
	}
	return sum
}

// busiest returns the key of a range with the highest demand.
func (l *Load) busiest(first, last uint16) (key uint16, demand float64) {
	key = first
	for k := int(first); k <= int(last); k++ {
		if l.keys[k] > l.keys[key] {
			key = uint16(k)
		}
	}
	return key, float64(l.keys[key])
}
