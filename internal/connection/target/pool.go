package target

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// dialTimeout bounds the opening of a connection and its probe.
	dialTimeout = 500 * time.Millisecond
	// maxIdle closes an idle connection before a target is likely to do so.
	maxIdle = 20 * time.Second
	// warmRetryInterval is the pause after a failed attempt to open a warm
	// connection.
	warmRetryInterval = 500 * time.Millisecond
	// sweepInterval is the interval at which idle connections are looked at. A target
	// that writes on one is held up until it is closed.
	sweepInterval = time.Second
)

// Pool holds the connections for requests to one target. It never has more
// than its limit of them, opens them ahead of need on Warm, and hands out only
// connections that are quiet and whose target incarnation is known.
type Pool struct {
	address string
	limit   int
	form    Form

	mu      sync.Mutex
	idle    []*connection
	open    int
	closed  bool
	warming bool
	// sweeping is set while a look at the idle connections is due.
	sweeping bool
	warmFrom time.Time
	lost     int
}

// NewPool returns a pool of at most limit connections; a limit of 0 or less
// means 1.
func NewPool(address string, limit int) *Pool { return NewPoolOf(address, limit, OwnForm) }

// NewPoolOf returns a pool for targets of another form than the project's own.
func NewPoolOf(address string, limit int, form Form) *Pool {
	return &Pool{address: address, limit: max(limit, 1), form: form}
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Exchange is a connection reserved for one request. Its holder calls Do or
// Return exactly once.
type Exchange struct {
	pool       *Pool
	connection *connection
}

// Incarnation is the target's incarnation at the other end of the connection;
// empty if the target does not tell.
func (e *Exchange) Incarnation() string { return e.connection.incarnation }

// Return gives an unused connection back.
func (e *Exchange) Return() { e.pool.put(e.connection) }

// Reserve returns an idle connection or opens one. No byte of a request has
// been sent when it fails; the error is of kind Unavailable.
func (p *Pool) Reserve(ctx context.Context) (*Exchange, error) {
	if c := p.takeIdle(); c != nil {
		return &Exchange{pool: p, connection: c}, nil
	}
	c, err := p.openConnection(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the target runs and accepts connections",
			"no connection to target %s", p.address)
	}
	return &Exchange{pool: p, connection: c}, nil
}

// Warm opens connections in the background, one after the other, until want
// are open. It is called repeatedly; it also closes idle connections that the
// target has closed.
func (p *Pool) Warm(want int) {
	p.closeStale()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warming || !p.wantsMore(want) || time.Now().Before(p.warmFrom) {
		return
	}
	p.warming = true
	go p.openWarm(want)
}

// wantsMore reports whether fewer than want connections are open. The lock is held.
func (p *Pool) wantsMore(want int) bool { return !p.closed && p.open < min(want, p.limit) }

func (p *Pool) openWarm(want int) {
	for {
		c, err := p.openConnection(context.Background())
		if err == nil {
			p.put(c)
		}
		p.mu.Lock()
		if err != nil {
			p.warmFrom = time.Now().Add(warmRetryInterval)
		}
		if err != nil || !p.wantsMore(want) {
			p.warming = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// Close closes the idle connections and refuses new ones; exchanges in
// progress run to their end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Lost returns how many connections were found closed by the target, or with
// unexpected bytes, while they were idle. A target that restarts closes them.
func (p *Pool) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// usable reports whether an idle connection may be used, and counts a lost one.
// The lock is held.
func (p *Pool) usable(c *connection) bool {
	now := time.Now()
	c.idle = now.Sub(c.idleSince)
	if c.idle >= p.form.MaxIdle || !p.form.Idle.allows(c.idle, now) {
		return false
	}
	if c.quiet() {
		return true
	}
	p.lost++
	return false
}

// takeIdle returns the connection used last, skipping those that have gone bad.
func (p *Pool) takeIdle() *connection {
	p.mu.Lock()
	var bad []*connection
	var found *connection
	for found == nil && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.usable(c) {
			found = c
		} else {
			bad = append(bad, c)
		}
	}
	p.mu.Unlock()
	closeAll(bad)
	return found
}

// closeStale closes idle connections that can no longer be used.
func (p *Pool) closeStale() {
	p.mu.Lock()
	var bad []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.usable(c) {
			kept = append(kept, c)
		} else {
			bad = append(bad, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	closeAll(bad)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// put makes a connection idle.
func (p *Pool) put(c *connection) {
	c.idleSince = time.Now()
	p.putBack(c)
}

func (p *Pool) putBack(c *connection) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.sweepLater()
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

// sweepLater arranges a look at the idle connections, if there are any. The lock is
// held.
func (p *Pool) sweepLater() {
	if p.sweeping || len(p.idle) == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(sweepInterval, func() {
		p.closeStale()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweeping = false
		p.sweepLater()
	})
}

// openConnection opens and probes a connection within the limit.
func (p *Pool) openConnection(ctx context.Context) (*connection, error) {
	if err := p.claim(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.form.DialTimeout)
	defer cancel()
	c, err := dial(ctx, p.address, p.form.DialTimeout)
	if err != nil {
		p.unclaim()
		return nil, err
	}
	c.onClose = p.unclaim
	if !p.form.Probe {
		return c, nil
	}
	if err := c.probe(ctx, p.address); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (p *Pool) claim() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fault.New(fault.Unavailable, "send the request to the target's present dispatcher", "the pool is closed")
	}
	if p.open >= p.limit {
		return fault.New(fault.Unavailable, "raise the target's connections in the manifest", "all %d connections are in use", p.limit)
	}
	p.open++
	return nil
}

func (p *Pool) unclaim() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
