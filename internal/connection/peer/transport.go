package peer

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

const (
	// DefaultMaxSmallBody is the default of Config.MaxSmallBody in bytes.
	DefaultMaxSmallBody = 32 << 10
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = time.Minute
	// closeGrace is how long Close waits for requests in flight.
	closeGrace = 2 * time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// Config configures a Transport. Zero values of IdleTimeout and MaxSmallBody
// mean the defaults.
type Config struct {
	// Self is this VM and its incarnation.
	Self Peer
	// Deployment must be the same on both sides of a session.
	Deployment string
	// Listener accepts the sessions of other VMs; the Transport closes it.
	Listener net.Listener
	// AddressOf returns the address (host:port) of a VM's peer listener; ok is
	// false if it is not known.
	AddressOf func(vm string) (address string, ok bool)
	// TLS secures all sessions in both directions; nil means plain connections.
	TLS *tls.Config
	// Control and Requests handle what peers send. If Control is nil, control
	// messages are ignored; if Requests is nil, every request is refused as not
	// run.
	Control  ControlHandler
	Requests RequestHandler
	// IdleTimeout is the time after which an unused session is closed.
	IdleTimeout time.Duration
	// MaxSmallBody is the size in bytes of the largest body that is sent inside
	// its request or response instead of on a stream of its own.
	MaxSmallBody int
	Logger       zerolog.Logger
	Metrics      tally.Scope
}

// Transport implements ControlSender and RequestSender over one yamux session
// per pair of VMs.
type Transport struct {
	config Config
	stats  counters
	calls  *pendingCalls
	// localID is the ID of the last request that this VM sent to itself.
	localID atomic.Uint64
	workers workerPool

	// ctx ends when the transport stops. tasks counts its goroutines, except
	// those of workers.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	links sync.Map // VM name or address -> *link

	mu       sync.Mutex
	sessions map[*session]struct{}
	closing  bool
}

// NewTransport returns a transport. It dials sessions when they are needed, and
// accepts sessions of other VMs while Run runs.
func NewTransport(config Config) *Transport {
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.MaxSmallBody <= 0 {
		config.MaxSmallBody = DefaultMaxSmallBody
	}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	if config.Control == nil {
		config.Control = func(Peer, *peerv1.Control) *peerv1.Control { return nil }
	}
	if config.Requests == nil {
		config.Requests = refuseAll{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		config: config, calls: newPendingCalls(), ctx: ctx, cancel: cancel,
		sessions: make(map[*session]struct{}),
	}
}

// Run accepts sessions until the context ends or Close is called. It returns
// nil after either, and the listener's error otherwise.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.stop)
	defer stop()
	if !t.startTask() {
		return nil
	}
	go t.monitor()
	for {
		conn, err := t.config.Listener.Accept()
		if err != nil {
			if t.isClosing() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Annotate(err, "peer listener was closed; restart the daemon")
			}
			// Other errors are temporary: for example, a lack of file descriptors
			// ends when connections are closed.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !t.startTask() {
			_ = conn.Close()
			continue
		}
		go t.accept(conn)
	}
}

// Close closes the listener, starts the graceful close of all sessions, waits up
// to closeGrace for the requests in flight, and closes all connections. It returns
// after all goroutines of the transport have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	_ = t.config.Listener.Close()
	deadline := time.NewTimer(closeGrace)
	defer deadline.Stop()
	for t.leaveAll() {
		select {
		case <-deadline.C:
			t.stop()
		case <-t.ctx.Done():
		case <-time.After(monitorInterval / 10):
		}
		if t.ctx.Err() != nil {
			break
		}
	}
	t.stop()
	t.tasks.Wait()
	t.workers.stop()
}

// leaveAll starts the graceful close of every session. It reports whether requests
// are still in flight or a peer has not acknowledged the Leave yet.
func (t *Transport) leaveAll() bool {
	busy := false
	for _, s := range t.allSessions() {
		s.leave()
		s.mu.Lock()
		busy = busy || s.state != sessionClosed && !(s.leaveAcked && s.drainedLocked())
		s.mu.Unlock()
	}
	return busy
}

// stop closes the listener and all sessions without waiting for requests.
func (t *Transport) stop() {
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	t.cancel()
	_ = t.config.Listener.Close()
	for _, s := range t.allSessions() {
		s.fail(errClosed)
	}
}

// monitor checks all sessions, removes idle workers and links, and reports the
// statistics as metrics, until the transport stops.
func (t *Transport) monitor() {
	defer t.tasks.Done()
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	reporter := newStatsReporter(t.config.Metrics)
	checkedAt := now()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		at := now()
		stalled := at-checkedAt > monitorStall
		checkedAt = at
		if stalled {
			// What has arrived during a stall of this process is read before the next check.
			continue
		}
		for _, s := range t.allSessions() {
			s.check(at)
		}
		t.workers.trim(at)
		t.trimLinks(at)
		reporter.report(t.Stats(), at)
	}
}

func (t *Transport) allSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		all = append(all, s)
	}
	return all
}

// link returns the link of a VM or address, and creates it if needed.
func (t *Transport) link(key string) *link {
	if l, ok := t.links.Load(key); ok {
		return l.(*link)
	}
	l, _ := t.links.LoadOrStore(key, &link{key: key, changedAt: now()})
	return l.(*link)
}

// trimLinks removes the links of destinations that are no longer used.
func (t *Transport) trimLinks(at time.Duration) {
	t.links.Range(func(key, value any) bool {
		if value.(*link).idle(at) {
			t.links.Delete(key)
		}
		return true
	})
}

// startTask counts a goroutine that the caller is about to start in tasks; the
// goroutine calls tasks.Done when it ends. startTask reports false once the
// transport is closing.
func (t *Transport) startTask() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.tasks.Add(1)
	return true
}

func (t *Transport) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

func (t *Transport) isSelf(vm string) bool { return vm == t.config.Self.VM }

// isAddress reports whether a destination is an address (host:port), not a VM
// name.
func isAddress(vm string) bool { return strings.ContainsRune(vm, ':') }
