package dispatch

import (
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// Loads reports the load of every target that this VM has the right to
// dispatch to, sorted by name, from its own measurements alone.
func (d *Dispatcher) Loads() []*peerv1.TargetLoad {
	table := d.config.Rights()
	if table == nil {
		return nil
	}
	loads := make([]*peerv1.TargetLoad, 0, len(table.Targets))
	for name, held := range table.Targets {
		if e := d.endpoint(name); e != nil {
			loads = append(loads, e.load(held))
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Target < loads[j].Target })
	return loads
}

// load reports the load of one target. Slices that are not measured yet are left
// out: reported without load, they would attract more to their target.
func (e *endpoint) load(held *rights.Target) *peerv1.TargetLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := &peerv1.TargetLoad{
		Target: e.name, Epoch: held.Epoch, Alive: e.alive, TargetIncarnation: e.incarnation,
		RequestsPerSecond: float32(e.rates.requests.perSecond), Busy: float32(e.rates.busy),
		Queued: uint32(e.queue.length + e.holding), Speed: float32(e.times.speed()),
		Limit: uint32(e.cold.limit), Cold: e.cold.cold,
		Drained: held.Leaving && len(held.Slices) == 0 && e.slots.occupied() == 0 && e.inFlight.count(nil, time.Now()) == 0,
	}
	for i := range held.Slices {
		if e.rates.measured(&held.Slices[i]) {
			load.Slices = append(load.Slices, e.sliceLoad(held.Cell, &held.Slices[i]))
		}
	}
	for _, hot := range e.rates.keys.hottest(e.rates.requests.perSecond) {
		load.HotKeys = append(load.HotKeys, &peerv1.KeyLoad{Key: hot.key, RequestsPerSecond: float32(hot.perSecond)})
	}
	return load
}

func (e *endpoint) sliceLoad(cell string, held *rights.Held) *peerv1.SliceLoad {
	return &peerv1.SliceLoad{
		Slice: &peerv1.SliceRef{Cell: cell, First: held.Slice.First, Last: held.Slice.Last, Key: held.Slice.Key},
		Fence: held.Fence, RequestsPerSecond: float32(e.rates.slicePerSecond(held)),
	}
}

// describeLoad fills in what entries use to choose between targets.
func (d *Dispatcher) describeLoad(target string, response *peerv1.Response) {
	e := d.existing(target)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := max(min(e.cold.limit, e.slots.declared), 1)
	response.LoadPermille = uint32(1000 * (e.slots.occupied() + e.queue.length + e.holding) / limit)
	response.LatencyUs = uint32(e.times.recent * 1e6)
}

// retryAfter estimates when the queue will have been worked off.
func (e *endpoint) retryAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.times.holding == 0 {
		return 0
	}
	return seconds(float64(e.queue.length+1) / e.cold.ratePerSecond(seconds(e.times.holding)))
}
