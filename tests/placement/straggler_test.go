package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
)

// shareOf returns a target's share of what was executed between two counts,
// over the mean share.
func shareOf(target string, before, after map[string]int) float64 {
	total := 0
	for name, count := range after {
		total += count - before[name]
	}
	return float64((after[target]-before[target])*len(after)) / float64(total)
}

// settledKeys bounds the keys that move in 10 s once the target has recovered.
const settledKeys = 100

// TestAStragglerIsRelievedAndComesBack slows a target down to a quarter of its
// speed and lets it recover.
func TestAStragglerIsRelievedAndComesBack(t *testing.T) {
	const slow = "board-5"
	b := startBoard(t, 6, 3, 9, 10)
	b.run(b.load(200, 10*time.Second, 0))
	start := b.executed()
	healthy := b.run(b.load(200, 8*time.Second, 0))
	before := b.executed()
	b.slowDown(slow, 4)
	first := b.run(b.load(200, 15*time.Second, 0))
	middle := b.executed()
	relieved := b.run(b.load(200, 10*time.Second, 0))
	after := b.executed()
	slowed, _ := b.record()
	b.slowDown(slow, 1)
	b.run(b.load(200, 40*time.Second, 0))
	later := b.executed()
	recovered, _ := b.record()
	b.run(b.load(200, 10*time.Second, 0))
	last, _ := b.record()
	moved := movedKeys(ownersOf(recovered), ownersOf(last))
	t.Logf("share of the slowed target over the mean: %.2f healthy, %.2f in the first 15 s, %.2f after, %.2f at last; p99 %.1f, %.1f, %.1f ms; keys moved: %d on recovery, %d in the 10 s after",
		shareOf(slow, start, before), shareOf(slow, before, middle), shareOf(slow, middle, after), shareOf(slow, later, b.executed()),
		percentile(healthy, 99), percentile(first, 99), percentile(relieved, 99),
		movedKeys(ownersOf(slowed), ownersOf(recovered)), moved)
	if moved >= settledKeys {
		b.explain()
	}
	assert.Assert(t, shareOf(slow, middle, after) < 0.6, "the straggler is not relieved")
	assert.Assert(t, shareOf(slow, later, b.executed()) > 0.6, "the target does not get its load back")
	assert.Assert(t, moved < settledKeys, "slices move on under constant load")
	assert.Equal(t, answered(relieved), relieved.Sent, "%s", refused(relieved))
}

// slowDown multiplies the service time of a target.
func (b *board) slowDown(name string, factor float64) {
	for _, target := range b.Targets {
		if target.Name == name {
			settings := faketarget.Settings{Incarnation: name + "-1", Slots: 4, ServiceMillis: 10, Slowdown: factor,
				Grants: faketarget.GrantsExpire, ChecksFences: true}
			target.Set(b.t, settings)
		}
	}
}
