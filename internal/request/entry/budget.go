package entry

import "sync/atomic"

const (
	// tokenUnits is one extra attempt; a percent of it is earned per percent of
	// budget and first attempt.
	tokenUnits = 100
	// maxTokens bounds the extra attempts that a quiet time can save up.
	maxTokens = 10
)

// budget is a token bucket that ties extra attempts to the number of first
// attempts, so that they never multiply load.
type budget struct{ units atomic.Int64 }

// refill fills the bucket.
func (b *budget) refill() { b.units.Store(maxTokens * tokenUnits) }

// earn adds the share of one first attempt.
func (b *budget) earn(percent int) {
	for {
		old := b.units.Load()
		units := min(old+int64(percent), maxTokens*tokenUnits)
		if units == old || b.units.CompareAndSwap(old, units) {
			return
		}
	}
}

// spend takes one extra attempt and reports whether there was one.
func (b *budget) spend() bool {
	for {
		old := b.units.Load()
		if old < tokenUnits {
			return false
		}
		if b.units.CompareAndSwap(old, old-tokenUnits) {
			return true
		}
	}
}
