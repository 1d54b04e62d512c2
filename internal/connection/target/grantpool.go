package target

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// maxGrantConnections limits the connections for grants to one target. More than
	// one is needed because an unanswered grant blocks its connection until it times
	// out.
	maxGrantConnections = 4
	// grantIdleTimeout is how long an unused connection stays open. Targets close idle
	// connections after 10 s.
	grantIdleTimeout = 8 * time.Second
	// maxOrderReplyBytes limits the body of the answer to an order, in bytes.
	maxOrderReplyBytes = 64 << 10
)

// ErrProcessUnknown reports that a grant could not be renewed because the connection
// over which its fence was granted is closed, so that another process may now listen at
// the address. Nothing was sent.
var ErrProcessUnknown = errors.New("the connection over which the fence was granted is closed")

// GrantPool is a pool of connections for grants to one target.
//
// It guarantees that a grant is renewed only with the process that accepted it: a
// connection leads to a single process, and a renewal goes over the connection that
// carried the first grant of the fence.
type GrantPool struct {
	address     string
	dialTimeout time.Duration
	slots       [maxGrantConnections]connectionSlot

	mu sync.Mutex
	// granted maps each fence to the connection over which it was granted.
	granted map[uint64]fenceGrant
	// nextSlot is the index of the slot that was chosen last when all were in use; the
	// next choice begins after it.
	nextSlot int
}

// connectionSlot is a slot for one connection. Only its current holder may use it.
type connectionSlot struct {
	// free contains one element while the slot is not in use. Receiving the element
	// acquires the slot.
	free chan struct{}
	// connection is nil if none is open. It changes only while the slot is acquired and
	// GrantPool.mu is held.
	connection *connection
	// identityConfirmed is set once the process has answered a grant with another status
	// than 421 (Misdirected Request), i.e. the grant was addressed to this process.
	identityConfirmed bool
	// idleTimer closes the connection when it has not been used for some time.
	idleTimer *time.Timer
}

// fenceGrant records the connection over which a fence was granted, and the time of its
// last grant or renewal.
type fenceGrant struct {
	slot       *connectionSlot
	connection *connection
	grantedAt  time.Time
}

// NewGrantPool returns a pool of connections to address. They are opened on demand.
func NewGrantPool(address string, dialTimeout time.Duration) *GrantPool {
	p := &GrantPool{address: address, dialTimeout: dialTimeout, granted: map[uint64]fenceGrant{}}
	for i := range p.slots {
		slot := &p.slots[i]
		slot.free = make(chan struct{}, 1)
		slot.idleTimer = time.AfterFunc(grantIdleTimeout, func() { p.closeIdle(slot) })
		slot.idleTimer.Stop()
		slot.release()
	}
	return p
}

// Address returns the address of the target.
func (p *GrantPool) Address() string { return p.address }

// Idle reports whether no connection is open or in use.
func (p *GrantPool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.slots {
		if p.slots[i].connection != nil || len(p.slots[i].free) == 0 {
			return false
		}
	}
	return true
}

// Do sends a grant of a fence and returns the status and the headers of the answer.
// renewal is true if the fence has been granted before; the error is ErrProcessUnknown if
// the connection over which it was granted is closed. If the exchange fails, the
// connection is reset, so that the grant does not arrive later.
func (p *GrantPool) Do(ctx context.Context, request *http.Request, fence uint64, renewal bool) (int, http.Header, error) {
	slot, err := p.acquire(ctx, fence, renewal)
	if err != nil {
		return 0, nil, err
	}
	defer slot.release()
	response, err := exchange(ctx, slot.connection, request)
	if err == nil && slot.identityConfirmed && response.StatusCode == http.StatusMisdirectedRequest {
		// An earlier answer has shown that grants on this connection are addressed to the
		// process, so this cannot be the answer to this grant.
		err = errMismatchedAnswer
	}
	if err != nil {
		p.reset(slot)
		return 0, nil, err
	}
	slot.identityConfirmed = slot.identityConfirmed || response.StatusCode != http.StatusMisdirectedRequest
	if response.Close || !slot.connection.reusable() {
		p.reset(slot)
		return response.StatusCode, response.Header, nil
	}
	p.recordGrant(slot, fence)
	slot.idleTimer.Reset(grantIdleTimeout)
	return response.StatusCode, response.Header, nil
}

// exchange sends a request and reads the answer to its end. The connection is reset when
// the context ends.
func exchange(ctx context.Context, c *connection, request *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.socket.reset)
	defer stop()
	if err := request.Write(c.socket); err != nil {
		return nil, err
	}
	response, err := readHead(c, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if !isFramed(response, request.Method) {
		return nil, errUnframedAnswer
	}
	return response, DiscardOrderBody(response.Body)
}

// DiscardOrderBody reads the body of the answer to an order (a grant or a release) to its
// end. It returns an error if the body is longer than 64 KiB.
func DiscardOrderBody(body io.Reader) error { return discard(body, maxOrderReplyBytes) }

// acquire acquires a slot with an open connection. A renewal gets the connection over
// which its fence was granted, any other grant gets an idle or a new one.
func (p *GrantPool) acquire(ctx context.Context, fence uint64, renewal bool) (*connectionSlot, error) {
	if renewal {
		return p.acquireForRenewal(ctx, fence)
	}
	slot := p.chooseSlot()
	if err := slot.acquire(ctx); err != nil {
		return nil, err
	}
	if slot.connection != nil && slot.connection.reusable() {
		return slot, nil
	}
	p.reset(slot)
	if err := p.open(ctx, slot); err != nil {
		slot.release()
		return nil, err
	}
	return slot, nil
}

// acquireForRenewal acquires the slot with the connection over which a fence was
// granted. The error is ErrProcessUnknown if that connection is closed.
func (p *GrantPool) acquireForRenewal(ctx context.Context, fence uint64) (*connectionSlot, error) {
	p.mu.Lock()
	granted, known := p.granted[fence]
	p.mu.Unlock()
	if !known {
		return nil, ErrProcessUnknown
	}
	if err := granted.slot.acquire(ctx); err != nil {
		return nil, err
	}
	if granted.slot.connection == granted.connection && granted.connection.reusable() {
		return granted.slot, nil
	}
	if granted.slot.connection == granted.connection {
		p.reset(granted.slot)
	}
	granted.slot.release()
	return nil, ErrProcessUnknown
}

// chooseSlot returns the slot for a new fence without acquiring it. It prefers an unused
// slot with an open connection, then an unused one without a connection. If all are in
// use, it chooses them in rotation.
func (p *GrantPool) chooseSlot() *connectionSlot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var empty *connectionSlot
	for i := range p.slots {
		slot := &p.slots[i]
		switch {
		case len(slot.free) == 0:
		case slot.connection != nil:
			return slot
		case empty == nil:
			empty = slot
		}
	}
	if empty != nil {
		return empty
	}
	p.nextSlot = (p.nextSlot + 1) % maxGrantConnections
	return &p.slots[p.nextSlot]
}

// acquire acquires the slot, waiting until it is unused or the context ends.
func (s *connectionSlot) acquire(ctx context.Context) error {
	select {
	case <-s.free:
		s.idleTimer.Stop()
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "try again", "earlier grants to the target are still unanswered")
	}
}

// release makes the slot available to others.
func (s *connectionSlot) release() { s.free <- struct{}{} }

// open opens a connection in a slot that the caller has acquired. Undelivered grants are
// discarded when the connection is closed, even by the end of this process.
func (p *GrantPool) open(ctx context.Context, slot *connectionSlot) error {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	connection, err := dial(ctx, p.address, p.dialTimeout)
	if err != nil {
		return err
	}
	connection.socket.discardUndeliveredOnClose()
	p.mu.Lock()
	slot.connection, slot.identityConfirmed = connection, false
	p.mu.Unlock()
	return nil
}

// recordGrant records the connection over which a fence was granted. It also removes the
// fences that have not been renewed for grantIdleTimeout or whose connection is closed.
func (p *GrantPool) recordGrant(slot *connectionSlot, fence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.granted, func(_ uint64, grant fenceGrant) bool {
		return grant.slot.connection != grant.connection || now.Sub(grant.grantedAt) > grantIdleTimeout
	})
	p.granted[fence] = fenceGrant{slot, slot.connection, now}
}

// closeIdle closes the connection of a slot unless the slot is in use.
func (p *GrantPool) closeIdle(slot *connectionSlot) {
	select {
	case <-slot.free:
		p.reset(slot)
		slot.release()
	default:
	}
}

// reset resets the connection, if any, of a slot that the caller has acquired.
func (p *GrantPool) reset(slot *connectionSlot) {
	if slot.connection == nil {
		return
	}
	slot.connection.socket.reset()
	p.mu.Lock()
	slot.connection = nil
	p.mu.Unlock()
}
