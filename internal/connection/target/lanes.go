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
	// maxLanes bounds the connections for grants to one target: an order without an
	// answer blocks its connection until it is given up.
	maxLanes = 4
	// laneIdle closes an unused connection; targets close theirs after 10 s.
	laneIdle = 8 * time.Second
	// maxOrderReply bounds the answer to an order in bytes.
	maxOrderReply = 64 << 10
)

// ErrProcessUnknown reports that the connection over which a fence was granted is
// gone, so that another process may be at the address. Nothing was sent.
var ErrProcessUnknown = errors.New("the connection to the process that has the fence is gone")

// Lanes are the connections for grants to one target. A connection belongs to one
// process.
//
// Guarantee: a fence that is sent again goes to the process that took it, because
// it goes over the same connection.
type Lanes struct {
	address     string
	dialTimeout time.Duration
	lanes       [maxLanes]lane

	mu sync.Mutex
	// taken are the connections over which fences were granted.
	taken map[uint64]taken
	// next is the lane that is waited for next when all are in use.
	next int
}

// lane is a place for one connection. Whoever holds its turn may use it.
type lane struct {
	turn chan struct{}
	// connection is nil while there is none. It changes with the turn and Lanes.mu held.
	connection *connection
	// named is set once the process has answered to the name in an order.
	named bool
	idle  *time.Timer
}

// taken is the connection over which a fence was granted, and when it last was.
type taken struct {
	lane       *lane
	connection *connection
	at         time.Time
}

// NewLanes returns connections to an address; they are opened when they are needed.
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

// Address returns the address that the lanes lead to.
func (l *Lanes) Address() string { return l.address }

// Idle reports whether there is no connection.
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

// Do sends a grant of a fence and returns status and headers of the answer. again
// says that the fence has been granted before; the error is ErrProcessUnknown if
// that connection is gone. After any other error the connection is reset, so that
// the grant does not arrive later.
func (l *Lanes) Do(ctx context.Context, request *http.Request, fence uint64, again bool) (int, http.Header, error) {
	n, err := l.take(ctx, fence, again)
	if err != nil {
		return 0, nil, err
	}
	defer n.release()
	response, err := exchange(ctx, n.connection, request)
	if err == nil && n.named && response.StatusCode == http.StatusMisdirectedRequest {
		// The process has answered to its name before.
		err = errCrossedAnswer
	}
	if err != nil {
		l.reset(n)
		return 0, nil, err
	}
	n.named = n.named || response.StatusCode != http.StatusMisdirectedRequest
	if response.Close || !n.connection.quiet() {
		l.reset(n)
		return response.StatusCode, response.Header, nil
	}
	l.note(n, fence)
	n.idle.Reset(laneIdle)
	return response.StatusCode, response.Header, nil
}

// exchange sends a request and reads its whole answer.
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
	if !hasLength(response, request.Method) {
		return nil, errIncompleteAnswer
	}
	return response, DiscardOrderBody(response.Body)
}

// DiscardOrderBody reads the body of an answer to an order to its end; a long one is
// an error.
func DiscardOrderBody(body io.Reader) error { return discard(body, maxOrderReply) }

// take returns a lane with a connection and its turn.
func (l *Lanes) take(ctx context.Context, fence uint64, again bool) (*lane, error) {
	if again {
		return l.takeOf(ctx, fence)
	}
	n := l.choose()
	if err := n.await(ctx); err != nil {
		return nil, err
	}
	if n.connection != nil && n.connection.quiet() {
		return n, nil
	}
	l.reset(n)
	if err := l.open(ctx, n); err != nil {
		n.release()
		return nil, err
	}
	return n, nil
}

// takeOf returns the lane with the connection over which a fence was granted.
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
	if t.lane.connection == t.connection && t.connection.quiet() {
		return t.lane, nil
	}
	if t.lane.connection == t.connection {
		l.reset(t.lane)
	}
	t.lane.release()
	return nil, ErrProcessUnknown
}

// choose returns the lane to use for a new fence: one with a connection that is not
// in use, or else without one, or else any.
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

// await waits for the turn of a lane.
func (n *lane) await(ctx context.Context) error {
	select {
	case <-n.turn:
		n.idle.Stop()
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "try again", "earlier orders to the target have no answer")
	}
}

// release passes the turn on.
func (n *lane) release() { n.turn <- struct{}{} }

// open opens the connection of a lane whose turn is held.
func (l *Lanes) open(ctx context.Context, n *lane) error {
	ctx, cancel := context.WithTimeout(ctx, l.dialTimeout)
	defer cancel()
	connection, err := dial(ctx, l.address, l.dialTimeout)
	if err != nil {
		return err
	}
	connection.socket.dropUndelivered()
	l.mu.Lock()
	n.connection, n.named = connection, false
	l.mu.Unlock()
	return nil
}

// note keeps over which connection a fence was granted, and forgets fences that
// are no longer renewed.
func (l *Lanes) note(n *lane, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.taken, func(_ uint64, t taken) bool {
		return t.lane.connection != t.connection || now.Sub(t.at) > laneIdle
	})
	l.taken[fence] = taken{n, n.connection, now}
}

// closeIdle closes the connection of a lane that nobody uses.
func (l *Lanes) closeIdle(n *lane) {
	select {
	case <-n.turn:
		l.reset(n)
		n.release()
	default:
	}
}

// reset closes the connection of a lane whose turn is held.
func (l *Lanes) reset(n *lane) {
	if n.connection == nil {
		return
	}
	n.connection.socket.reset()
	l.mu.Lock()
	n.connection = nil
	l.mu.Unlock()
}
