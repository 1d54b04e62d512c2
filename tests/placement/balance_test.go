package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evenEnough bounds the highest load of a target over the mean after rebalancing.
const evenEnough = 1.4

// TestSkewIsRelieved sends skewed load and compares the targets' executions
// right after the start with those after rebalancing, in the same run.
func TestSkewIsRelieved(t *testing.T) {
	b := startBoard(t, 6, 3, 9, 5)
	before, _ := b.record()
	start := b.executed()
	first := b.run(b.load(300, 4*time.Second, 0.9))
	early := imbalance(start, b.executed())
	settling := b.run(b.load(300, 25*time.Second, 0.9))
	middle := b.executed()
	last := b.run(b.load(300, 10*time.Second, 0.9))
	late := imbalance(middle, b.executed())
	after, version := b.record()
	t.Logf("max/mean %.2f at the start, %.2f after 30 s; %d of 2000 keys moved; refused: %s / %s / %s; p99 %.1f, %.1f, %.1f ms; record version %d, %d slices, %d hot keys",
		early, late, movedKeys(ownersOf(before), ownersOf(after)), refused(first), refused(settling), refused(last),
		percentile(first, 99), percentile(settling, 99), percentile(last, 99), version, len(after.Slices), len(after.HotKeys))
	if late >= evenEnough {
		t.Logf("executions by target: %v at the start, %v after rebalancing, %v at the end", start, middle, b.executed())
		b.explain()
	}
	assert.Assert(t, late < evenEnough, "the load is uneven after rebalancing")
	assert.Equal(t, answered(settling), settling.Sent, "planned moves refuse nothing: %s", refused(settling))
}
