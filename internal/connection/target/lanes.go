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
	// maxLanes limits the connections for grants to one target. More than one is needed
	// because an unanswered grant blocks its connection until it times out.
	maxLanes = 4
	// laneIdle is how long an unused connection stays open. Targets close idle
	// connections after 10 s.
	laneIdle = 8 * time.Second
	// maxOrderReply limits the body of the answer to an order, in bytes.
	maxOrderReply = 64 << 10
)

// ErrProcessUnknown reports that a grant could not be renewed because the connection
// over which its fence was granted is closed, so that another process may now listen at
// the address. Nothing was sent.
var ErrProcessUnknown = errors.New("the connection over which the fence was granted is closed")

// Lanes is a pool of connections for grants to one target.
//
// It guarantees that a grant is renewed only with the process that accepted it: a
// connection leads to a single process, and a renewal goes over the connection that
// carried the first grant of the fence.
type Lanes struct {
	address     string
	dialTimeout time.Duration
	lanes       [maxLanes]lane

	mu sync.Mutex
	// taken maps each fence to the connection over which it was granted.
	taken map[uint64]taken
	// next is the index of the connection that a grant waited for when last all were in
	// use.
	next int
}

// lane is a slot for one connection. Only its current holder may use it.
type lane struct {
	// turn contains one element while the slot is not in use. Receiving the element
	// acquires the slot.
	turn chan struct{}
	// connection is nil if none is open. It changes only while the slot is acquired and
	// the mutex of the pool is held.
	connection *connection
	// named is set once the process has accepted an order as addressed to it, i.e. has
	// answered other than with status 421.
	named bool
	// idle closes the connection when it has not been used for some time.
	idle *time.Timer
}

// taken records the connection over which a fence was granted, and the time of its last
// grant.
type taken struct {
	lane       *lane
	connection *connection
	at         time.Time
}

// NewLanes returns a pool of connections to address. They are opened on demand.
func NewLanes(address string, dialTimeout time.Duration) *Lanes {
	l := &Lanes{address: address, dialTimeout: dialTimeout, taken: map[uint64]taken{}}
	for i := range l.lanes {
		n := &l.lanes[i]
		n.turn = make(chan struct{}, 1)
		n.idle = time.AfterFunc(laneIdle, func() { l.closeIdle(n) })
		n.idle.Stop()
		n.release()
	}
	return l
}

// Address returns the address of the target.
func (l *Lanes) Address() string { return l.address }

// Idle reports whether no connection is open or in use.
func (l *Lanes) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lanes {
		if l.lanes[i].connection != nil || len(l.lanes[i].turn) == 0 {
			return false
		}
	}
	return true
}

// Do sends a grant and returns the status and the headers of the answer. again is true
// if the fence has been granted before; then the error is ErrProcessUnknown if the
// connection over which it was granted is closed. If the exchange fails, the connection
// is reset, so that the grant does not arrive later.
func (l *Lanes) Do(ctx context.Context, request *http.Request, fence uint64, again bool) (int, http.Header, error) {
	n, err := l.take(ctx, fence, again)
	if err != nil {
		return 0, nil, err
	}
	defer n.release()
	response, err := exchange(ctx, n.connection, request)
	if err == nil && n.named && response.StatusCode == http.StatusMisdirectedRequest {
		// The process has accepted orders as addressed to it before, so this is the
		// answer to another one.
		err = errMismatchedAnswer
	}
	if err != nil {
		l.reset(n)
		return 0, nil, err
	}
	n.named = n.named || response.StatusCode != http.StatusMisdirectedRequest
	if response.Close || !n.connection.reusable() {
		l.reset(n)
		return response.StatusCode, response.Header, nil
	}
	l.note(n, fence)
	n.idle.Reset(laneIdle)
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
func DiscardOrderBody(body io.Reader) error { return discard(body, maxOrderReply) }

// take acquires a slot with an open connection. A renewal gets the one that its fence was
// granted over, and any other grant an idle or a new one.
func (l *Lanes) take(ctx context.Context, fence uint64, again bool) (*lane, error) {
	if again {
		return l.takeOf(ctx, fence)
	}
	n := l.choose()
	if err := n.await(ctx); err != nil {
		return nil, err
	}
	if n.connection != nil && n.connection.reusable() {
		return n, nil
	}
	l.reset(n)
	if err := l.open(ctx, n); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

// takeOf acquires the slot with the connection over which a fence was granted. The error
// is ErrProcessUnknown if that connection is closed.
func (l *Lanes) takeOf(ctx context.Context, fence uint64) (*lane, error) {
	l.mu.Lock()
	t, known := l.taken[fence]
	l.mu.Unlock()
	if !known {
		return nil, ErrProcessUnknown
	}
	if err := t.lane.await(ctx); err != nil {
		return nil, err
	}
	if t.lane.connection == t.connection && t.connection.reusable() {
		return t.lane, nil
	}
	if t.lane.connection == t.connection {
		l.reset(t.lane)
	}
	t.lane.release()
	return nil, ErrProcessUnknown
}

// choose returns the slot for a new fence without acquiring it. It prefers an unused slot
// with an open connection, then an unused one without a connection, and takes the slots in
// turn if all are in use.
func (l *Lanes) choose() *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	var empty *lane
	for i := range l.lanes {
		n := &l.lanes[i]
		switch {
		case len(n.turn) == 0:
		case n.connection != nil:
			return n
		case empty == nil:
			empty = n
		}
	}
	if empty != nil {
		return empty
	}
	l.next = (l.next + 1) % maxLanes
	return &l.lanes[l.next]
}

// await acquires the slot, waiting until it is unused or the context ends.
func (n *lane) await(ctx context.Context) error {
	select {
	case <-n.turn:
		n.idle.Stop()
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "try again", "earlier grants to the target are still unanswered")
	}
}

// release makes the slot available to others.
func (n *lane) release() { n.turn <- struct{}{} }

// open opens a connection in a slot that the caller has acquired. Undelivered grants are
// discarded when the connection is closed, even by the end of this process.
func (l *Lanes) open(ctx context.Context, n *lane) error {
	ctx, cancel := context.WithTimeout(ctx, l.dialTimeout)
	defer cancel()
	connection, err := dial(ctx, l.address, l.dialTimeout)
	if err != nil {
		return err
	}
	connection.socket.discardUndeliveredOnClose()
	l.mu.Lock()
	n.connection, n.named = connection, false
	l.mu.Unlock()
	return nil
}

// note records the connection over which a fence was granted. It also removes the fences
// that are no longer renewed or whose connection is closed.
func (l *Lanes) note(n *lane, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.taken, func(_ uint64, t taken) bool {
		return t.lane.connection != t.connection || now.Sub(t.at) > laneIdle
	})
	l.taken[fence] = taken{n, n.connection, now}
}

// closeIdle closes the connection of a slot unless the slot is in use.
func (l *Lanes) closeIdle(n *lane) {
	select {
	case <-n.turn:
		l.reset(n)
		n.release()
	default:
	}
}

// reset resets the connection, if any, of a slot that the caller has acquired.
func (l *Lanes) reset(n *lane) {
	if n.connection == nil {
		return
	}
	n.connection.socket.reset()
	l.mu.Lock()
	n.connection = nil
	l.mu.Unlock()
}
