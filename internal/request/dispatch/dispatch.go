// Package dispatch is the traffic side of a dispatcher, the one process that
// sends requests to its targets.
//
// What it guarantees, by target:
//
//   - The number of requests in flight never exceeds the target's slots, and
//     while the target is cold its cold-start limit (slots.go, coldstart.go).
//   - A request is sent only under a granted slice and a valid lease, checked
//     right before its first byte is written (permit.go).
//   - A request is refused as not run only if no byte of it reached the target's
//     connection or the target said so itself (exchange.go). It is never sent
//     twice after a byte was written.
//   - Requests with one Idempotency-Key run once while the first runs and for a
//     bounded time after it (join.go).
//   - The queue is bounded, ordered by deadline, shared between traffic classes
//     by weight, and refuses early what cannot finish in time (queue.go).
//
// Nothing of it survives the process: what that means for callers stands in
// docs/design/requests.md.
package dispatch

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// Config is what a Dispatcher needs from the rest of the process.
type Config struct {
	// Self is the name of this VM.
	Self string
	// Rights returns the present rights of this VM.
	Rights func() *rights.Table
	// Snapshot returns the present routing snapshot; the manifest's target and
	// service declarations are read from it.
	Snapshot func() *routing.Snapshot
	Logger   zerolog.Logger
	// LogDecisions writes a log line for each request.
	LogDecisions bool
	Metrics      tally.Scope
}

// Dispatcher sends requests to the targets that this VM dispatches to. It
// implements peer.RequestHandler.
type Dispatcher struct {
	config Config
	joins  *joinTable

	mu        sync.RWMutex
	endpoints map[string]*endpoint

	stop context.CancelFunc
	done chan struct{}
}

// New returns a running dispatcher; Close stops it.
func New(config Config) *Dispatcher {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		config: config, joins: newJoinTable(), endpoints: map[string]*endpoint{},
		stop: cancel, done: make(chan struct{}),
	}
	go d.housekeep(ctx)
	return d
}

// Close refuses what is queued and closes idle connections. Requests in flight
// run to their end; InFlightTotal tells how many there are.
func (d *Dispatcher) Close() {
	d.stop()
	<-d.done
	for _, e := range d.all() {
		e.close()
	}
}

// InFlight returns the number of requests to a target that may be running,
// restricted to a slice unless that is nil. A request whose answer was given up
// counts until it has surely ended.
func (d *Dispatcher) InFlight(target string, slice *assignment.Slice) int {
	e := d.existing(target)
	if e == nil {
		return 0
	}
	return e.inFlightOf(slice)
}

// InFlightTotal returns the number of requests to all targets that may be running.
func (d *Dispatcher) InFlightTotal() int {
	total := 0
	for _, e := range d.all() {
		total += e.inFlightOf(nil)
	}
	return total
}

// ColdLimit returns the present limit of requests in flight of a target; for a
// target that is not cold these are its slots, for one never seen 0.
func (d *Dispatcher) ColdLimit(target string) int {
	e := d.existing(target)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.limit
}

// TargetChanged tells what the control side has learnt of a target. A target
// that is not alive, or has another incarnation than before, is cold.
func (d *Dispatcher) TargetChanged(name string, alive bool, incarnation string) {
	e := d.existing(name)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alive = alive
	if !alive {
		e.turnCold("not alive")
		return
	}
	e.noteIncarnation(incarnation)
}

// existing returns the state of a target, or nil.
func (d *Dispatcher) existing(name string) *endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.endpoints[name]
}

// endpoint returns the state of a target, made on first use; nil if the
// manifest does not name the target.
func (d *Dispatcher) endpoint(name string) *endpoint {
	if e := d.existing(name); e != nil {
		return e
	}
	snapshot := d.config.Snapshot()
	if snapshot == nil || snapshot.Targets[name] == nil {
		return nil
	}
	declared := snapshot.Targets[name]
	service := snapshot.Services[declared.Service]
	if service == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endpoints[name] == nil {
		d.endpoints[name] = newEndpoint(*declared, service.Declared, d.config.Logger)
	}
	return d.endpoints[name]
}

func (d *Dispatcher) all() []*endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]*endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		all = append(all, e)
	}
	return all
}

// remove forgets a target.
func (d *Dispatcher) remove(e *endpoint) {
	d.mu.Lock()
	delete(d.endpoints, e.name)
	d.mu.Unlock()
	e.close()
}
