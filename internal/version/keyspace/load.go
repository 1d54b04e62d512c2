// Package keyspace plans which target owns which keys of a keyed service.
//
// It handles uneven and changing demand: a few busy keys close to one another,
// a set of hot keys that appears within a second, and targets that join without
// keys, slow down, leave or fail. It does no I/O and takes the time as an argument.
package keyspace

import (
	"math"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// demandHalfLife is the half-life of the demand of a key: short enough to follow a
// hot key within a second, long enough to smooth out noise.
const demandHalfLife = 1500 * time.Millisecond

// idleKeyDemand is the demand assumed for a key without requests, in seconds of work
// per second, so that idle keys are divided among the owners by number.
const idleKeyDemand = 1e-9

// Load is the recent demand for each key of a service, in seconds of work
// per second. It decays exponentially.
type Load struct {
	keys      [fleet.Keys]float32
	decayedAt time.Time
}

// NewLoad returns a load without demand that decays from now on.
func NewLoad(now time.Time) *Load { return &Load{decayedAt: now} }

// Add records a request for a key that takes work seconds.
func (l *Load) Add(key uint16, work float64) {
	l.keys[key] += float32(work * math.Ln2 / demandHalfLife.Seconds())
}

// Fade decays the demand up to now. It is called before each Plan or Tidy.
func (l *Load) Fade(now time.Time) {
	keep := float32(math.Exp2(-now.Sub(l.decayedAt).Seconds() / demandHalfLife.Seconds()))
	l.decayedAt = now
	for i := range l.keys {
		l.keys[i] *= keep
	}
}

// rangeDemand returns the total demand for the keys from first to last, inclusive.
func (l *Load) rangeDemand(first, last uint16) float64 {
	sum := float32(0)
	for _, value := range l.keys[first : int(last)+1] {
		sum += value
	}
	return float64(sum) + idleKeyDemand*float64(int(last)-int(first)+1)
}

// excessDemand returns the demand above limit of each key of a range, added up.
func (l *Load) excessDemand(limit float64, first, last uint16) float64 {
	sum := 0.0
	for _, value := range l.keys[first : int(last)+1] {
		sum += max(float64(value)-limit, 0)
	}
	return sum
}

// busiestKey returns the key of a range with the highest demand.
func (l *Load) busiestKey(first, last uint16) (key uint16, demand float64) {
	key = first
	for k := int(first); k <= int(last); k++ {
		if l.keys[k] > l.keys[key] {
			key = uint16(k)
		}
	}
	return key, float64(l.keys[key])
}
