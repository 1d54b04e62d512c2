package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// connectionsPerTarget limits the connections of this VM to one target.
	connectionsPerTarget = 16
	// closeStaleInterval is the interval at which idle connections are checked, well
	// within the time for which they can be used.
	closeStaleInterval = 2 * time.Second
)

// Pools holds a pool of connections for each incarnation of a target.
type Pools struct {
	options target.PoolOptions

	mu    sync.Mutex
	pools map[fleet.Life]*target.Pool
	// idleLimits holds, by service, how long idle connections can be used.
	idleLimits map[string]*target.IdleLimit
}

// NewPools returns pools with the given options. IdleLimit is ignored, as each service
// gets one of its own.
func NewPools(options target.PoolOptions) *Pools {
	return &Pools{options: options, pools: map[fleet.Life]*target.Pool{}, idleLimits: map[string]*target.IdleLimit{}}
}

// Run closes idle connections that can no longer be used, until the context ends.
func (p *Pools) Run(ctx context.Context) {
	ticks := time.NewTicker(closeStaleInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		p.mu.Lock()
		pools := slices.Collect(maps.Values(p.pools))
		p.mu.Unlock()
		for _, pool := range pools {
			pool.CloseStale()
		}
	}
}

// reserve returns a connection to a target for one request.
func (p *Pools) reserve(ctx context.Context, t *fleet.Target) (*target.Exchange, error) {
	p.mu.Lock()
	pool := p.pools[t.Life]
	if pool == nil || pool.Address() != t.Address {
		pool = target.NewPoolWithOptions(t.Address, connectionsPerTarget, p.optionsOf(t.Service))
		p.pools[t.Life] = pool
	}
	p.mu.Unlock()
	return pool.Reserve(ctx)
}

// ContactLost returns when this VM noticed that a target has closed all connections that were
// open at the time; zero if there is no sign of that.
func (p *Pools) ContactLost(life fleet.Life) time.Time {
	p.mu.Lock()
	pool := p.pools[life]
	p.mu.Unlock()
	if pool == nil {
		return time.Time{}
	}
	return pool.ContactLost()
}

// optionsOf returns the options for the targets of a service, which share an IdleLimit. The
// lock must be held.
func (p *Pools) optionsOf(service string) target.PoolOptions {
	if p.idleLimits[service] == nil {
		p.idleLimits[service] = &target.IdleLimit{}
	}
	options := p.options
	options.IdleLimit = p.idleLimits[service]
	return options
}

// Update closes the pools of targets that have been removed or restarted.
func (p *Pools) Update(view *fleet.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, pool := range p.pools {
		if t := view.Targets[life.ID]; t == nil || t.Life != life {
			pool.Close()
			delete(p.pools, life)
		}
	}
}

// Close closes all pools.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
}
