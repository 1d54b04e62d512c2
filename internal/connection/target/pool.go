package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// dialTimeout limits the time to open and probe a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is how long a connection may be idle before it is closed. Targets are
	// expected to close idle connections later.
	maxIdle = 20 * time.Second
	// warmRetryInterval is the backoff after Warm has failed to open a connection.
	warmRetryInterval = 500 * time.Millisecond
)

// Pool holds the connections for requests to one target. It never exceeds its limit
// of open connections and opens them in advance on Warm. It hands out only
// connections that have no unread bytes and, if PoolOptions.Probe is set, have been
// probed for the target's incarnation.
type Pool struct {
	address string
	limit   int
	options PoolOptions

	mu   sync.Mutex
	idle []*connection
	// open counts the connections that are open or being opened.
	open   int
	closed bool
	// warming is set while a goroutine opens connections ahead of demand.
	warming bool
	// warmAfter is the earliest time of the next warm-up after a failed one.
	warmAfter time.Time
	lost      int
	// lostAt is when the last of them was found; zero if a connection has outlasted it.
	lostAt time.Time
}

// NewPool returns a pool of at most limit connections to a target that implements
// docs/TARGETS.md. A limit of 0 or less means 1.
func NewPool(address string, limit int) *Pool {
	return NewPoolWithOptions(address, limit, DefaultPoolOptions)
}

// NewPoolWithOptions is like NewPool but with other options than DefaultPoolOptions.
func NewPoolWithOptions(address string, limit int, options PoolOptions) *Pool {
	return &Pool{address: address, limit: max(limit, 1), options: options}
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Exchange is a connection that is reserved for one request. Its holder must call
// either Do or Return, exactly once.
type Exchange struct {
	pool       *Pool
	connection *connection
}

// Incarnation returns the incarnation of the target at the other end of the
// connection. It is empty if the target has not reported one.
func (e *Exchange) Incarnation() string { return e.connection.incarnation }

// Return returns an unused connection to the pool.
func (e *Exchange) Return() { e.pool.put(e.connection) }

// Reserve reserves an idle connection or opens a new one. The error is of kind
// fault.Unavailable; no byte of a request has been sent then.
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

// Warm opens connections in the background, one after the other, until want are
// open or the limit is reached. It is meant to be called periodically, and also
// closes idle connections that can no longer be used.
func (p *Pool) Warm(want int) {
	p.CloseStale()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warming || !p.wantsMore(want) || time.Now().Before(p.warmAfter) {
		return
	}
	p.warming = true
	go p.openWarm(want)
}

// wantsMore reports whether more connections must be opened to have want of them
// within the limit. The caller holds p.mu.
func (p *Pool) wantsMore(want int) bool { return !p.closed && p.open < min(want, p.limit) }

// openWarm opens connections for Warm until want are open or an attempt fails.
func (p *Pool) openWarm(want int) {
	for {
		c, err := p.openConnection(context.Background())
		if err == nil {
			p.put(c)
		}
		p.mu.Lock()
		if err != nil {
			p.warmAfter = time.Now().Add(warmRetryInterval)
		}
		if err != nil || !p.wantsMore(want) {
			p.warming = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// Close closes the idle connections and refuses to open new ones. In-flight exchanges
// run to their end.
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

// Lost returns how many idle connections were found closed by the target or with
// unexpected bytes to read. An increase may mean that the target has restarted.
func (p *Pool) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// ContactLost returns when the pool noticed that the target has closed all connections that
// were open at the time, as it does when its process ends; zero if there is no sign of that.
// It looks at the idle connections.
func (p *Pool) ContactLost() time.Time {
	p.CloseStale()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAt
}

// usable reports whether an idle connection may be used. It also updates the idle
// time of the connection, the count for Lost and the time for ContactLost. The caller
// holds p.mu.
func (p *Pool) usable(c *connection) bool {
	now := time.Now()
	c.idleFor = now.Sub(c.idleSince)
	if c.idleFor >= p.options.MaxIdle || !p.options.IdleLimit.allows(c.idleFor, now) {
		return false
	}
	if !c.reusable() {
		p.lost++
		p.lostAt = now
		return false
	}
	return true
}

// outlasts notes that a connection is open: if it was when others were lost, the target's
// process has not ended. The caller holds p.mu.
func (p *Pool) outlasts(c *connection) {
	if c.openedAt.Before(p.lostAt) {
		p.lostAt = time.Time{}
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil if there
// is none. Connections that can no longer be used are closed.
func (p *Pool) takeIdle() *connection {
	p.mu.Lock()
	var stale []*connection
	var found *connection
	for found == nil && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.usable(c) {
			found = c
			p.outlasts(c)
		} else {
			stale = append(stale, c)
		}
	}
	p.mu.Unlock()
	closeAll(stale)
	return found
}

// CloseStale closes idle connections that can no longer be used: those that the
// target has closed or has sent bytes on, and those that have been idle for too
// long. It must be called periodically, because otherwise a pool checks a connection
// only before its use.
func (p *Pool) CloseStale() {
	p.mu.Lock()
	var stale []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.usable(c) {
			kept = append(kept, c)
		} else {
			stale = append(stale, c)
		}
	}
	p.idle = kept
	for _, c := range kept {
		p.outlasts(c)
	}
	p.mu.Unlock()
	closeAll(stale)
}

// closeIdleSince closes the connections that have been idle since before a time. It is called
// if a request that was sent at that time, over a connection that had been idle, got no byte in
// return until its deadline: open connections may have gone silent without an error, and each
// would cost another request. Connections that have carried an answer since are kept.
func (p *Pool) closeIdleSince(sentAt time.Time) {
	p.mu.Lock()
	var unproven []*connection
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		if !c.idleSince.Before(sentAt) {
			return false
		}
		unproven = append(unproven, c)
		return true
	})
	p.mu.Unlock()
	closeAll(unproven)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// put returns a connection to the pool as idle from now on.
func (p *Pool) put(c *connection) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones, or closes it if the pool is closed.
func (p *Pool) addIdle(c *connection) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

// openConnection opens a connection, if the limit allows, and probes it if so
// configured.
func (p *Pool) openConnection(ctx context.Context) (*connection, error) {
	if err := p.claim(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	c, err := dial(ctx, p.address, p.options.DialTimeout)
	if err != nil {
		p.unclaim()
		return nil, err
	}
	c.onClose = p.unclaim
	if !p.options.Probe {
		return c, nil
	}
	if err := c.probe(ctx, p.address); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// claim counts a new connection against the limit before it is opened.
func (p *Pool) claim() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fault.New(fault.Unavailable, "send the request to the target's current dispatcher", "the connection pool is closed")
	}
	if p.open >= p.limit {
		return fault.New(fault.Unavailable, "raise the target's connections in the manifest", "all %d connections are in use", p.limit)
	}
	p.open++
	return nil
}

// unclaim undoes claim after a connection has been closed or could not be opened.
func (p *Pool) unclaim() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
