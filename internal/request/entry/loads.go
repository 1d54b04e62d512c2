package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// loadLifetime is the age at which an observed load counts for nothing, so
	// that a target that was slow is tried again.
	loadLifetime = 3 * time.Second
	// refusedPermille is the load assumed of a target that refused a request.
	refusedPermille = 4000
	// latencyWeight is the share of a new observation in the mean, as 1/n.
	latencyWeight = 4
)

// targetLoad is what an entry knows of the load of one target.
type targetLoad struct {
	outstanding atomic.Int64
	permille    atomic.Int64
	// latencyMicros is the mean service time in microseconds.
	latencyMicros atomic.Int64
	// observed is when the load was seen, in nanoseconds since the Unix epoch.
	observed atomic.Int64
}

// load returns the load of a target.
func (h *Handler) load(target string) *targetLoad {
	if l, ok := h.loads.Load(target); ok {
		return l.(*targetLoad)
	}
	l, _ := h.loads.LoadOrStore(target, &targetLoad{})
	return l.(*targetLoad)
}

// observe records what a response says of its target.
func (l *targetLoad) observe(permille int64, latency time.Duration) {
	l.permille.Store(permille)
	if micros := latency.Microseconds(); micros > 0 {
		mean := l.latencyMicros.Load()
		if mean == 0 {
			mean = micros
		}
		l.latencyMicros.Store(mean + (micros-mean)/latencyWeight)
	}
	l.observed.Store(time.Now().UnixNano())
}

// cost estimates how long a request would take, in arbitrary units: the mean
// service time, times the work before it. What was observed fades with age.
func (l *targetLoad) cost(now time.Time) float64 {
	age := now.Sub(time.Unix(0, l.observed.Load()))
	freshness := max(0, 1-float64(age)/float64(loadLifetime))
	work := 1 + float64(l.outstanding.Load()) + freshness*float64(l.permille.Load())/1000
	return work * (1 + freshness*float64(l.latencyMicros.Load()))
}

// candidateList holds the targets of a freely placed service that may take new
// work, for one snapshot.
type candidateList struct {
	snapshot *routing.Snapshot
	all      []candidate
}

type candidate struct {
	route routing.Route
	load  *targetLoad
}

// candidates returns the list for the exchange's snapshot.
func (x *exchange) candidates() []candidate {
	if list := x.state.candidates.Load(); list != nil && list.snapshot == x.snapshot {
		return list.all
	}
	list := &candidateList{snapshot: x.snapshot}
	for _, cell := range x.service.Cells {
		if cell == nil {
			continue
		}
		for i := range cell.Assignment.Targets {
			name := cell.Assignment.Targets[i].Target
			route, ok := cell.RouteTo(name)
			if ok && x.takesWork(name) {
				list.all = append(list.all, candidate{route: route, load: x.handler.load(name)})
			}
		}
	}
	x.state.candidates.Store(list)
	return list.all
}

// takesWork reports whether the manifest lets a target take new work.
func (x *exchange) takesWork(target string) bool {
	declared := x.snapshot.Targets[target]
	if declared == nil || declared.Drain {
		return false
	}
	domain := x.snapshot.Domains[declared.FailureDomain]
	return domain == nil || !domain.Out
}

// chooseTarget picks the less loaded of two random targets that this request
// has not tried.
func (x *exchange) chooseTarget(history *history) (destination, bool) {
	all := x.candidates()
	first := pick(all, history, nil)
	if first == nil {
		return destination{}, false
	}
	best := first
	if second := pick(all, history, first); second != nil {
		now := time.Now()
		if second.load.cost(now) < first.load.cost(now) {
			best = second
		}
	}
	d := x.handler.holderOf(best.route)
	d.by, d.load = byLoad, best.load
	return d, true
}

// pick returns a random candidate other than except that was not tried; nil if
// there is none.
func pick(all []candidate, history *history, except *candidate) *candidate {
	if len(all) == 0 {
		return nil
	}
	start := rand.IntN(len(all))
	for i := range all {
		c := &all[(start+i)%len(all)]
		if c != except && !history.tried(c.route.Target) {
			return c
		}
	}
	return nil
}
