package admission

import "time"

// budgetShare is the share of the allowed repeats that the broker grants. The rest
// covers repeats that it does not see.
const budgetShare = 0.7

// repeats enforces the retry budget of a service. It counts first attempts and
// repeats over a sliding window that is divided into equal buckets.
type repeats struct {
	budget Budget
	// origin is the time from which the buckets are numbered. It carries a monotonic
	// clock reading: a jump of the wall clock would otherwise empty the window.
	origin  time.Time
	buckets [windowBuckets]bucket
	// current is the number of the latest bucket; bucket n is at index n modulo
	// windowBuckets.
	current int64
}

// windowBuckets is the number of buckets that the window is divided into.
const windowBuckets = 10

type bucket struct{ first, repeated int }

func newRepeats(budget Budget) *repeats {
	if budget.Window <= 0 {
		budget.Window = 10 * time.Second
	}
	return &repeats{budget: budget}
}

// bucketNumber returns the number of the bucket that contains a time.
func (c *repeats) bucketNumber(at time.Time) int64 {
	return int64(at.Sub(c.origin) / (c.budget.Window / windowBuckets))
}

// advance clears the buckets that have left the window and returns the current one.
func (c *repeats) advance(now time.Time) *bucket {
	if c.origin.IsZero() {
		c.origin = now.Add(-c.budget.Window)
	}
	number := c.bucketNumber(now)
	for steps := min(number-c.current, windowBuckets); steps > 0; steps-- {
		c.current = number - steps + 1
		c.buckets[c.current%windowBuckets] = bucket{}
	}
	c.current = max(c.current, number)
	return &c.buckets[c.current%windowBuckets]
}

func (c *repeats) countFirst(now time.Time) { c.advance(now).first++ }

func (c *repeats) countRepeat(now time.Time) { c.advance(now).repeated++ }

// RepeatCount is the use of a retry budget within its window: the number of first
// attempts, and the number of repeats that got a permit.
type RepeatCount struct{ First, Repeated int }

// sum returns the counts within the window.
func (c *repeats) sum(now time.Time) RepeatCount {
	c.advance(now)
	var sum RepeatCount
	for _, p := range c.buckets {
		sum.First += p.first
		sum.Repeated += p.repeated
	}
	return sum
}

// adopt raises the counts to those that another broker had at a time. The
// difference is counted as if all of these requests had arrived at that time.
func (c *repeats) adopt(count RepeatCount, at, now time.Time) {
	own := c.sum(now)
	number := c.bucketNumber(at)
	if number > c.current || c.current-number >= windowBuckets {
		return
	}
	p := &c.buckets[number%windowBuckets]
	p.first += max(count.First-own.First, 0)
	p.repeated += max(count.Repeated-own.Repeated, 0)
}

// allow reports whether one more repeat is within the budget.
func (c *repeats) allow(now time.Time) bool {
	used := c.sum(now)
	allowed := budgetShare * (c.budget.Ratio*float64(used.First) + float64(c.budget.Allowance))
	return float64(used.Repeated+1) <= allowed
}
