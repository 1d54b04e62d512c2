package admission

import "time"

// budgetShare is the share of the allowed repeats that is used; the rest covers
// repeats that the broker does not see.
const budgetShare = 0.7

// repeats counts the requests of a service and their repeats over a sliding
// window, in parts.
type repeats struct {
	budget Budget
	// origin is when the parts are numbered from, by the steady clock: the time of day
	// may jump, which would empty the window.
	origin time.Time
	parts  [windowParts]part
	at     int64
}

// windowParts is the number of parts of the window.
const windowParts = 10

type part struct{ first, repeated int }

func newRepeats(budget Budget) *repeats {
	if budget.Window <= 0 {
		budget.Window = 10 * time.Second
	}
	return &repeats{budget: budget}
}

// number returns the number of the part that a time falls into.
func (c *repeats) number(at time.Time) int64 {
	return int64(at.Sub(c.origin) / (c.budget.Window / windowParts))
}

// advance empties the parts that have left the window.
func (c *repeats) advance(now time.Time) *part {
	if c.origin.IsZero() {
		c.origin = now.Add(-c.budget.Window)
	}
	at := c.number(now)
	for steps := min(at-c.at, windowParts); steps > 0; steps-- {
		c.at = at - steps + 1
		c.parts[c.at%windowParts] = part{}
	}
	c.at = max(c.at, at)
	return &c.parts[c.at%windowParts]
}

func (c *repeats) first(now time.Time) { c.advance(now).first++ }

func (c *repeats) spend(now time.Time) { c.advance(now).repeated++ }

// RepeatCount is how many requests came within the window of a budget for the
// first time, and how many repeats were let run.
type RepeatCount struct{ First, Repeated int }

// sum returns what is in the window.
func (c *repeats) sum(now time.Time) RepeatCount {
	c.advance(now)
	var sum RepeatCount
	for _, p := range c.parts {
		sum.First += p.first
		sum.Repeated += p.repeated
	}
	return sum
}

// adopt raises the counts to those of another broker at a time, as if all of its
// requests had come then.
func (c *repeats) adopt(count RepeatCount, at, now time.Time) {
	own := c.sum(now)
	index := c.number(at)
	if index > c.at || c.at-index >= windowParts {
		return
	}
	p := &c.parts[index%windowParts]
	p.first += max(count.First-own.First, 0)
	p.repeated += max(count.Repeated-own.Repeated, 0)
}

// allow reports whether one more repeat is within the budget.
func (c *repeats) allow(now time.Time) bool {
	used := c.sum(now)
	allowed := budgetShare * (c.budget.Ratio*float64(used.First) + float64(c.budget.Allowance))
	return float64(used.Repeated+1) <= allowed
}
