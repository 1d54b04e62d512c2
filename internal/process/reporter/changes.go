package reporter

import (
	"cmp"
	"math"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

const (
	// noticeableShare is the relative change of a load that is reported.
	noticeableShare = 0.2
	// noticeableRate is the least change of a load, in requests per second.
	noticeableRate = 1.0
	// noticeableSum is the share by which the sum of a target's slices may be off.
	// Placement relieves a target from a tenth above its fair share, so many small
	// changes must not add up to that.
	noticeableSum = 0.05
	// noticeableBusy is the change of the mean number of occupied slots that is
	// reported.
	noticeableBusy = 0.5
	// noticeableSpeed is the change of a speed that is reported.
	noticeableSpeed = 0.1
)

// changes returns the targets that changed noticeably since they were last
// acknowledged, with the slices that did.
func (c *cell) changes(targets []*peerv1.TargetLoad) []*peerv1.TargetLoad {
	var changed []*peerv1.TargetLoad
	for _, now := range targets {
		before := c.sent[now.Target]
		if before == nil {
			changed = append(changed, now)
			continue
		}
		differing := changedSlices(before.Slices, now.Slices)
		if len(differing) == 0 && !targetChanged(before, now) {
			continue
		}
		changed = append(changed, withSlices(now, differing))
	}
	return changed
}

// withSlices returns a copy of a load that lists other slices.
func withSlices(load *peerv1.TargetLoad, slices []*peerv1.SliceLoad) *peerv1.TargetLoad {
	return &peerv1.TargetLoad{
		Target: load.Target, Epoch: load.Epoch, Alive: load.Alive, TargetIncarnation: load.TargetIncarnation,
		RequestsPerSecond: load.RequestsPerSecond, Busy: load.Busy, Queued: load.Queued, Speed: load.Speed,
		Limit: load.Limit, Cold: load.Cold, Slices: slices, HotKeys: load.HotKeys, Drained: load.Drained,
	}
}

// targetChanged reports whether a target changed noticeably apart from its slices.
func targetChanged(before, now *peerv1.TargetLoad) bool {
	if before.Epoch != now.Epoch || before.Alive != now.Alive || before.Cold != now.Cold ||
		before.Limit != now.Limit || before.Drained != now.Drained || before.TargetIncarnation != now.TargetIncarnation {
		return true
	}
	if math.Abs(float64(before.Speed-now.Speed)) > noticeableSpeed || math.Abs(float64(before.Busy-now.Busy)) > noticeableBusy {
		return true
	}
	return noticeable(before.RequestsPerSecond, now.RequestsPerSecond) || keysChanged(before.HotKeys, now.HotKeys)
}

// keysChanged reports whether the hottest keys or their loads changed.
func keysChanged(before, now []*peerv1.KeyLoad) bool {
	known := make(map[string]float32, len(before))
	for _, key := range before {
		known[key.Key] = key.RequestsPerSecond
	}
	for _, key := range now {
		if noticeable(known[key.Key], key.RequestsPerSecond) {
			return true
		}
		delete(known, key.Key)
	}
	for _, rate := range known {
		if noticeable(rate, 0) {
			return true
		}
	}
	return false
}

// sliceKey identifies a slice at a fence.
type sliceKey struct {
	first, last uint64
	key         string
	fence       uint64
}

func keyOf(s *peerv1.SliceLoad) sliceKey {
	return sliceKey{s.GetSlice().GetFirst(), s.GetSlice().GetLast(), s.GetSlice().GetKey(), s.Fence}
}

// changedSlices returns the slices that are new or changed noticeably, and as
// many others as it takes for the sum to be right.
func changedSlices(before, now []*peerv1.SliceLoad) []*peerv1.SliceLoad {
	known := make(map[sliceKey]float32, len(before))
	for _, s := range before {
		known[keyOf(s)] = s.RequestsPerSecond
	}
	growth := func(s *peerv1.SliceLoad) float64 { return float64(s.RequestsPerSecond - known[keyOf(s)]) }
	var changed, rest []*peerv1.SliceLoad
	total, missing := 0.0, 0.0
	for _, s := range now {
		total += float64(s.RequestsPerSecond)
		if rate, ok := known[keyOf(s)]; !ok || noticeable(rate, s.RequestsPerSecond) {
			changed = append(changed, s)
		} else {
			rest = append(rest, s)
			missing += growth(s)
		}
	}
	sign := math.Copysign(1, missing)
	slices.SortStableFunc(rest, func(a, b *peerv1.SliceLoad) int { return cmp.Compare(sign*growth(b), sign*growth(a)) })
	for _, s := range rest {
		if sign*missing < max(noticeableRate, noticeableSum*total) {
			break
		}
		changed = append(changed, s)
		missing -= growth(s)
	}
	return changed
}

func noticeable(before, now float32) bool {
	change := math.Abs(float64(now - before))
	return change >= noticeableRate && change >= noticeableShare*math.Abs(float64(before))
}

// remember keeps what was acknowledged of a target.
func (c *cell) remember(load *peerv1.TargetLoad) {
	before := c.sent[load.Target]
	if before == nil {
		c.sent[load.Target] = load
		return
	}
	merged := map[sliceKey]bool{}
	slices := append([]*peerv1.SliceLoad(nil), load.Slices...)
	for _, s := range slices {
		merged[keyOf(s)] = true
	}
	for _, s := range before.Slices {
		if !merged[keyOf(s)] {
			slices = append(slices, s)
		}
	}
	c.sent[load.Target] = withSlices(load, slices)
}
