package controller

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
)

const (
	// loadSmoothing is the time constant over which loads are averaged.
	loadSmoothing = 5 * time.Second
	// slowdownSmoothing and speedupSmoothing average a target's speed. A
	// straggler is believed sooner than its recovery, so that slices do not go
	// back and forth.
	slowdownSmoothing = 2 * time.Second
	speedupSmoothing  = 8 * time.Second
	// slowSpeed is the speed below which a target counts as slow. What lies
	// above is noise, and a target that is faster than usual has no more slots.
	slowSpeed = 0.8
)

// reports holds what dispatchers have reported of one cell.
type reports struct {
	loads    *placement.Loads
	targets  map[string]*targetReport
	accepted map[acceptanceKey]placement.Acceptance
	done     map[string]placement.Handover
	// pieces are the loads as last reported. They hold until the next report,
	// since dispatchers report only what changes.
	pieces map[placement.SliceID]float64
	// levels are the loads of the record's slices by their pieces. A slice whose
	// pieces are not all known has none.
	levels map[placement.SliceID]float64
	// advanced is when the averages were last brought up to date.
	advanced time.Time
}

// acceptanceKey identifies a release that was accepted.
type acceptanceKey struct {
	slice     placement.SliceID
	owner     string
	nextFence uint64
}

// targetReport is the state of a target by its dispatcher's reports.
type targetReport struct {
	epoch     uint64
	lost      bool
	busy      float64
	coldLimit int
	// reportedSpeed is the speed as last reported, 0 before the first report;
	// speed is its average over time.
	reportedSpeed float64
	speed         float64
	hotKeys       []string
}

func newReports() reports {
	return reports{loads: placement.NewLoads(), targets: map[string]*targetReport{},
		accepted: map[acceptanceKey]placement.Acceptance{}, done: map[string]placement.Handover{},
		pieces: map[placement.SliceID]float64{}, levels: map[placement.SliceID]float64{}}
}

// sliceID reads the identity of a slice from a message.
func sliceID(ref *peerv1.SliceRef) placement.SliceID {
	return placement.SliceID{First: ref.GetFirst(), Last: ref.GetLast(), Key: ref.GetKey()}
}

// merge takes over a report. Progress and losses are planned shortly.
func (c *cell) merge(from assignment.Holder, report *peerv1.LoadReport) {
	if report.Vm != from.VM || report.Incarnation != from.Incarnation {
		return // Relayed or outdated: only what a dispatcher says of itself counts.
	}
	now := c.owner.now()
	c.losses.hear(from, report.Silent, func(vm string) bool { return c.watches(from.VM, vm) }, now)
	urgent := c.mergeAccepted(report)
	if c.record != nil {
		urgent = c.mergeTakeovers(from, report, now) || urgent
		urgent = c.mergeArrived(report) || urgent
		for _, load := range report.Targets {
			urgent = c.mergeTarget(from, load) || urgent
		}
	}
	if urgent || len(report.Unplaced) > 0 {
		c.planSoon()
	}
}

// watches reports whether the record has a VM tell of another's silence: a dispatcher of
// its backup's, a backup of its dispatcher's.
func (c *cell) watches(vm, other string) bool {
	if c.record == nil {
		return true
	}
	between := func(p *assignment.Partners) bool {
		return p.Dispatcher.VM == vm && p.Backup.VM == other || p.Backup.VM == vm && p.Dispatcher.VM == other
	}
	return slices.ContainsFunc(c.record.Targets, func(r assignment.Rights) bool {
		return between(&r.Partners) || r.Previous != nil && between(r.Previous)
	})
}

// isBehind reports whether a report is of rights that are not in the record here:
// its sender may read a record before the write of it has returned.
func (c *cell) isBehind(report *peerv1.LoadReport) bool {
	if c.record == nil {
		return len(report.Targets) > 0
	}
	return slices.ContainsFunc(report.Targets, func(load *peerv1.TargetLoad) bool {
		rights := c.record.RightsOf(load.Target)
		return rights == nil || load.Epoch > rights.Epoch
	})
}

// mergeAccepted notes accepted releases. It reports whether one followed a loss:
// its new owner has no next owner yet, so the record must not wait. Planned
// moves are gathered until the next round.
func (c *cell) mergeAccepted(report *peerv1.LoadReport) bool {
	urgent := false
	for _, release := range report.Accepted {
		a := placement.Acceptance{
			Slice: sliceID(release.Slice), Owner: release.Owner, Fence: release.Fence,
			Next: release.Next, NextFence: release.NextFence,
		}
		c.reports.accepted[acceptanceKey{a.Slice, a.Owner, a.NextFence}] = a
		if c.record != nil {
			recorded := c.record.Find(a.Slice.Key, a.Slice.First)
			urgent = urgent || recorded == nil || !recorded.Moving
		}
	}
	return urgent
}

// mergeTakeovers notes that a dispatcher was superseded by its backup.
func (c *cell) mergeTakeovers(from assignment.Holder, report *peerv1.LoadReport, now time.Time) bool {
	found := false
	for _, takeover := range report.Takeovers {
		rights := c.record.RightsOf(takeover.Target)
		if rights != nil && rights.Epoch == takeover.Epoch && rights.Dispatcher != from {
			c.losses.takeOver(rights.Dispatcher, now)
			found = true
		}
	}
	return found
}

// mergeArrived notes rights that have reached the epoch of the record, be it at
// the dispatcher or at a backup that has taken over.
func (c *cell) mergeArrived(report *peerv1.LoadReport) bool {
	found := false
	for _, arrived := range report.Arrived {
		rights := c.record.RightsOf(arrived.Target)
		if rights != nil && rights.Previous != nil && rights.Epoch == arrived.Epoch {
			c.reports.done[arrived.Target] = placement.Handover{Target: arrived.Target, Epoch: arrived.Epoch, Dispatcher: rights.Dispatcher}
			found = true
		}
	}
	return found
}

// mergeTarget takes over the load of a target from whoever dispatches to it at
// the record's epoch, or at the previous one until the handover is complete.
func (c *cell) mergeTarget(from assignment.Holder, load *peerv1.TargetLoad) bool {
	rights := c.record.RightsOf(load.Target)
	if rights == nil || load.Epoch != rights.Epoch && (rights.Previous == nil || load.Epoch != rights.PreviousEpoch) {
		return false
	}
	t := c.reports.targets[load.Target]
	if t == nil {
		t = &targetReport{}
		c.reports.targets[load.Target] = t
	}
	urgent := t.lost == load.Alive
	coldLimit := 0
	if load.Cold {
		coldLimit = max(1, int(load.Limit))
	}
	if urgent || t.epoch != load.Epoch || coldLimit != t.coldLimit {
		events.TargetReported.Log(&c.owner.config.Logger).Str("cell", c.id).Str("target", load.Target).Str("from", from.VM).
			Uint64("epoch", load.Epoch).Bool("lost", !load.Alive).Int("cold_limit", coldLimit).Float32("speed", load.Speed).Send()
	}
	t.busy = float64(load.Busy)
	t.epoch, t.lost, t.coldLimit = load.Epoch, !load.Alive, coldLimit
	t.reportedSpeed = float64(load.Speed)
	if t.speed == 0 {
		t.speed = t.reportedSpeed
	}
	if rights.Previous != nil && load.Epoch == rights.Epoch && from == rights.Dispatcher {
		c.reports.done[load.Target] = placement.Handover{Target: load.Target, Epoch: load.Epoch, Dispatcher: from}
		urgent = true
	}
	c.mergeLoads(t, load)
	return urgent
}

// mergeLoads takes over the loads of a target's slices and hottest keys.
func (c *cell) mergeLoads(t *targetReport, load *peerv1.TargetLoad) {
	r := &c.reports
	for _, s := range load.Slices {
		r.setPiece(sliceID(s.Slice), float64(s.RequestsPerSecond))
	}
	r.levels = levelsOf(c.record, r.pieces)
	for id, level := range r.levels {
		if !r.loads.Known(id) {
			r.loads.SetSlice(id, level)
		}
	}
	for _, key := range t.hotKeys {
		r.loads.SetKey(key, 0)
	}
	t.hotKeys = t.hotKeys[:0]
	for _, key := range load.HotKeys {
		r.loads.SetKey(key.Key, float64(key.RequestsPerSecond))
		t.hotKeys = append(t.hotKeys, key.Key)
	}
}

// setPiece notes the load of a piece and forgets those of other bounds.
func (r *reports) setPiece(id placement.SliceID, requestsPerSecond float64) {
	if _, known := r.pieces[id]; !known && id.Key == "" {
		maps.DeleteFunc(r.pieces, func(other placement.SliceID, _ float64) bool {
			return other.Key == "" && other.First <= id.Last && id.First <= other.Last
		})
	}
	r.pieces[id] = requestsPerSecond
}

// levelsOf returns the loads of the slices whose pieces are all known.
// Dispatchers cut the hashes of hot keys out of a range and report what is left
// in pieces.
func levelsOf(record *assignment.Cell, pieces map[placement.SliceID]float64) map[placement.SliceID]float64 {
	levels, covered := map[placement.SliceID]float64{}, map[placement.SliceID]uint64{}
	for id, level := range pieces {
		slice := record.Find(id.Key, id.First)
		if slice == nil || slice.Key != id.Key || slice.Last < id.Last {
			continue
		}
		whole := placement.IDOf(slice)
		levels[whole] += level
		covered[whole] += id.Last - id.First + 1
	}
	for i := range record.HotKeys {
		covered[placement.IDOf(record.Find("", record.HotKeys[i].First))]++
	}
	maps.DeleteFunc(levels, func(id placement.SliceID, _ float64) bool { return covered[id] != id.Last-id.First+1 })
	return levels
}

// advance lets the averages follow what was last reported.
func (r *reports) advance(now time.Time) {
	if r.advanced.IsZero() {
		r.advanced = now
	}
	elapsed := now.Sub(r.advanced)
	r.advanced = now
	for id, level := range r.levels {
		average := r.loads.Slice(id)
		r.loads.SetSlice(id, average+(level-average)*gain(elapsed, loadSmoothing))
	}
	for _, t := range r.targets {
		t.advance(elapsed)
	}
}

// advance averages the target's speed, slowly on its way up.
func (t *targetReport) advance(elapsed time.Duration) {
	if t.reportedSpeed == 0 {
		return
	}
	constant := slowdownSmoothing
	if t.reportedSpeed > t.speed {
		constant = speedupSmoothing
	}
	t.speed += (t.reportedSpeed - t.speed) * gain(elapsed, constant)
}

// gain is the weight of a new value in an exponential average.
func gain(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// target returns a declared target with what was reported of it.
func (r *reports) target(declared *manifest.Target, leaving bool) placement.Target {
	t := placement.Target{Name: declared.Name, FailureDomain: declared.FailureDomain, Slots: declared.Slots, Leaving: leaving}
	if known := r.targets[declared.Name]; known != nil {
		t.Lost, t.ColdLimit, t.Busy = known.lost, known.coldLimit, known.busy
		if known.speed > 0 && known.speed < slowSpeed {
			t.Speed = known.speed
		}
	}
	return t
}

// acceptances returns the accepted releases in a fixed order.
func (r *reports) acceptances() []placement.Acceptance {
	all := make([]placement.Acceptance, 0, len(r.accepted))
	for _, a := range r.accepted {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.NextFence != b.NextFence {
			return a.NextFence < b.NextFence
		}
		if a.Slice.First != b.Slice.First {
			return a.Slice.First < b.Slice.First
		}
		return a.Slice.Key < b.Slice.Key
	})
	return all
}

// handovers returns the completed handovers, sorted by target.
func (r *reports) handovers() []placement.Handover {
	all := make([]placement.Handover, 0, len(r.done))
	for _, h := range r.done {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Target < all[j].Target })
	return all
}

// clearProgress forgets progress that the record now shows or that it cannot
// show; dispatchers report again what is still missing.
func (r *reports) clearProgress(acceptances []placement.Acceptance, handovers []placement.Handover) {
	for _, a := range acceptances {
		key := acceptanceKey{a.Slice, a.Owner, a.NextFence}
		if r.accepted[key] == a {
			delete(r.accepted, key)
		}
	}
	for _, h := range handovers {
		if r.done[h.Target] == h {
			delete(r.done, h.Target)
		}
	}
}

// retain forgets slices and keys that a new record no longer has.
func (r *reports) retain(record *assignment.Cell) {
	has := func(id placement.SliceID) bool { return placement.Lookup(record, id) != nil }
	r.loads.Retain(has, func(key string) bool { return r.loads.Key(key) > 0 })
	maps.DeleteFunc(r.pieces, func(id placement.SliceID, _ float64) bool { return id.Key != "" && !has(id) })
	r.levels = levelsOf(record, r.pieces)
}
