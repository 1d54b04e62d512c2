package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryTimesAreTrueAndSpread checks that refused callers are told when the places of
// earlier requests become free, each another place, and that a place that was not used is
// free at once.
func TestRetryTimesAreTrueAndSpread(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := NewLedger[int](Rule{Window: 5 * time.Second}, State{}, []string{"a"}, now)
	limit := Limit{Rate: 1, Burst: 5}
	ask := func(id int, at time.Duration) (time.Duration, bool) {
		return l.Ask(id, "a", "team", limit, 0, now.Add(at))
	}
	for i := range 10 {
		at := time.Duration(i) * 100 * time.Millisecond
		_, ok := ask(i, at)
		assert.Assert(t, ok)
		l.Decided(i, true, now.Add(at))
		l.End(i, true, 20*time.Millisecond, now.Add(at+20*time.Millisecond))
	}
	for i := range 10 {
		after, ok := ask(100+i, time.Second)
		assert.Assert(t, !ok)
		free := time.Duration(i)*100*time.Millisecond + 5*time.Second - time.Second
		assert.Assert(t, after >= free && after <= free+10*time.Millisecond, "the place %d is free after %s, not %s", i, free, after)
	}
	_, ok := ask(200, 5*time.Second+10*time.Millisecond)
	assert.Assert(t, ok, "the first place has become free")
	_, ok = ask(201, 5*time.Second+10*time.Millisecond)
	assert.Assert(t, !ok)
	l.Decided(200, true, now.Add(5*time.Second+10*time.Millisecond))
	l.End(200, false, time.Millisecond, now.Add(5*time.Second+20*time.Millisecond))
	_, ok = ask(202, 5*time.Second+20*time.Millisecond)
	assert.Assert(t, ok, "the target did not run request 200")
}
