package permits

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// recentMove is how long ago a slice must have changed its owner for this VM to decide
	// alone for its keys. Keys that move once often move again (a hot set is cut several
	// times), and a change reaches a VM up to a second late.
	recentMove = 2 * time.Second
	// balanceInterval is the interval at which the load of the targets is measured.
	balanceInterval = time.Second
)

// movedRange is a range of keys that changed owner.
type movedRange struct {
	first, last uint16
	at          time.Time
}

// recordMoves records the keys of a view whose owner differs from that in the former view,
// and drops moves that are no longer recent. The caller holds mu.
func (d *Desk) recordMoves(former, view *fleet.View, now time.Time) {
	if d.config.Broker.Loads == nil || former == nil {
		return
	}
	for service, slices := range view.Slices {
		before := former.Slices[service]
		if len(before) == 0 || len(slices) == 0 || &before[0] == &slices[0] {
			continue
		}
		var moved []movedRange
		for _, m := range d.moved[service] {
			if now.Sub(m.at) < recentMove {
				moved = append(moved, m)
			}
		}
		for i, j := 0, 0; i < len(before) && j < len(slices); {
			a, b := &before[i], &slices[j]
			if first, last := max(a.First, b.First), min(a.Last, b.Last); first <= last && a.Owner != b.Owner {
				moved = append(moved, movedRange{first, last, now})
			}
			if a.Last <= b.Last {
				i++
			}
			if b.Last <= a.Last {
				j++
			}
		}
		d.moved[service] = moved
	}
}

// movedLately reports whether a key has changed owner a short time ago, as far as this VM
// knows.
func (d *Desk) movedLately(service string, key uint16, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.moved[service] {
		if m.first <= key && key <= m.last && now.Sub(m.at) < recentMove {
			return true
		}
	}
	return false
}

// started counts a permit of this VM.
func (d *Desk) started(p Permit) {
	d.metrics.granted(p)
	if loads := d.config.Broker.Loads; loads != nil && p.Broker != "" {
		d.locked(func() { loads.Started(p.Target) })
	}
}

// ended records the end of a permit that the fallback did not grant, and the load that the
// target reported. The fallback records those of its own permits.
func (d *Desk) ended(p Permit, result admission.Result, load fleet.Load, hasLoad bool, now time.Time) {
	loads := d.config.Broker.Loads
	if loads == nil || p.Broker == "" {
		return
	}
	t := d.config.View().Targets[p.Target.ID]
	d.locked(func() {
		loads.Ended(p.Target)
		if t == nil || t.Life != p.Target {
			return
		}
		observed, _ := d.fallback.Observe(t.Service, t.ID)
		switch {
		case hasLoad:
			loads.Report(p.Target, load, observed.Running, now)
		case result.TurnedAway():
			loads.Full(p.Target, t.Slots, observed.Running, now)
		}
	})
}

// loadAgeBuckets cover reports from those of the last request to those that no longer count.
var loadAgeBuckets = tally.DurationBuckets{
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 10 * time.Second,
}

// metrics counts permits by who decided, and measures how even the load is.
type metrics struct {
	scope tally.Scope
	// measuredAt is when the balance was last measured.
	measuredAt time.Time
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope}
}

func (m *metrics) granted(p Permit) {
	decided := "broker"
	switch {
	case p.Broker != "":
	case p.Shared:
		decided = "share"
	default:
		decided = "local"
	}
	m.scope.Tagged(map[string]string{"decided": decided}).Counter("permits").Inc(1)
	if p.LoadKnown {
		m.scope.Histogram("permit_load_age", loadAgeBuckets).RecordDuration(p.LoadAge)
	}
}

// balance publishes the load of the busiest target over the mean for the services of a
// broker.
func (m *metrics) balance(b *admission.Broker, now time.Time) {
	if now.Sub(m.measuredAt) < balanceInterval {
		return
	}
	m.measuredAt = now
	for service, ratio := range b.Balance() {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("busiest_over_mean").Update(ratio)
	}
}
