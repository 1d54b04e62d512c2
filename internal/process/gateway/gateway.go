// Package gateway assembles the daemon of a VM for deployments whose targets
// check fences themselves: the server for callers, the permit broker and the
// coordinator.
//
// Guarantees: control state changes on one goroutine (package loop); request
// handling reads an immutable view; a graceful stop serves the requests in
// flight and those that the load balancer still sends, refuses those that come
// too late to be answered, and answers the rest before it has to end (stopMargin
// before Settings.StopWithin).
package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/caller"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/contain"
	"github.com/chestnutcourse/chestnutcourse/internal/process/coordinator"
	"github.com/chestnutcourse/chestnutcourse/internal/process/daemon"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/observer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/permits"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/forward"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// connectTimeout bounds the connection setup to a target. A handshake takes a
	// few milliseconds, but TCP retransmits a lost SYN only after a second.
	connectTimeout = 150 * time.Millisecond
	// targetIdleTimeout is the idle timeout of connections to targets. It is shorter
	// than the 10 s after which targets close them.
	targetIdleTimeout = 8 * time.Second
	// headerTimeout and idleTimeout apply to the readiness and metrics endpoints,
	// and to callers while no configuration is known.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// defaultHeaderBytes bounds a request head while no configuration is known.
	defaultHeaderBytes = 16 << 10
	// balancerDelay is how long the load balancer may keep opening connections
	// after this VM has become unready: it stops after two failed health checks,
	// which are one second apart.
	balancerDelay = 2500 * time.Millisecond
	// requestCutoff is the latest time after SIGTERM at which a request may be
	// accepted that could still be running on its target when the stop has to end.
	// The users' rules count such a request as LOST. Requests that are read later are
	// refused.
	requestCutoff = 3 * time.Second
	// firstRequestWait is how long a stop waits for the first request on a
	// connection that was opened while this VM still listened.
	firstRequestWait = requestCutoff - balancerDelay
	// stopMargin is the time left between the end of the stop and the moment the
	// platform kills the process.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the time between the moment at which the last requests are ended
	// and the end of the stop, in which their answers are written.
	answerMargin = 200 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks for requests in flight.
	stopPollInterval = 20 * time.Millisecond
)

// Settings describe the VM and the deployment that a gateway runs in.
type Settings struct {
	VM, FailureDomain string
	// Callers, Ready, Peers and Metrics are the listening addresses, as host:port,
	// for callers' requests, the readiness check, other VMs and the metrics.
	Callers, Ready, Peers, Metrics string
	// Advertised is the address that other VMs connect to; Peers if it is empty.
	Advertised string
	// Deployment names the deployment. It must be the same on all VMs.
	Deployment string
	// Processor is the processor share of the VM, in cores.
	Processor float64
	// LinkRate is the capacity of the VM's network link, in bytes per second; 0 if
	// unknown.
	LinkRate float64
	Broker   admission.Config
	// Quota is the rule for teams that have a limit.
	Quota quota.Rule
	// LongestHold is the longest grant that targets accept.
	LongestHold time.Duration
	// StopWithin bounds the duration of a graceful stop.
	StopWithin time.Duration
	// StartedBefore is set unless the deployment starts for the first time.
	StartedBefore bool
}

// Platform holds the platform's services and formats that a gateway uses.
type Platform struct {
	Store store.Store
	// Eras are the eras of Store; nil if it is never restored from a copy.
	Eras *store.Eras
	// RecordName is the store object that holds the ownership record.
	RecordName string
	Names      observer.Names
	Targets    coordinator.Targets
	Dialect    forward.Dialect
}

// Gateway is the daemon of one VM.
type Gateway struct {
	settings Settings
	self     fleet.Member
	logger   zerolog.Logger
	metrics  *daemon.Metrics

	loop        *loop.Loop
	transport   *peer.Transport
	coordinator *coordinator.Coordinator
	desk        *permits.Desk
	pools       *forward.Pools
	handler     *forward.Handler
	callers     *caller.Server
	listeners   map[string]net.Listener

	view atomic.Pointer[fleet.View]
	// stopBy is the time by which a stop must have answered all requests; nil before the
	// stop.
	stopBy atomic.Pointer[time.Time]
}

// New opens the listeners and creates the components. Nothing is served before
// Run.
func New(settings Settings, platform Platform, logger zerolog.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: settings, logger: logger, loop: loop.New(), listeners: map[string]net.Listener{},
		self: fleet.Member{
			VM: settings.VM, Incarnation: uuid.NewString(), Address: cmp.Or(settings.Advertised, settings.Peers), Processor: uint32(settings.Processor * fleet.WholeCore),
			FailureDomain: settings.FailureDomain,
		},
		metrics: daemon.NewMetrics(settings.VM, settings.FailureDomain),
	}
	g.view.Store(&fleet.View{})
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.transport = peer.NewTransport(peer.Config{
		Self:       peer.Peer{VM: g.self.VM, Incarnation: g.self.Incarnation},
		Deployment: settings.Deployment, Listener: g.listeners["peers"], AddressOf: g.addressOf,
		Control: g.handleControl, Logger: logger, Metrics: g.metrics.Scope,
	})
	g.build(platform)
	return g, nil
}

func (g *Gateway) build(platform Platform) {
	broker := g.settings.Broker
	broker.NotOwner, broker.Leaving = g.notOwner, g.targetLeaving
	broker.Sole = func() bool { return g.coordinator.SoleBroker() }
	broker.FormerLease = func() time.Duration { return g.coordinator.FormerBrokerLease() }
	g.pools = forward.NewPools(target.PoolOptions{
		RequestIDHeader: platform.Dialect.RequestIDHeader(), Unframed: true, SkipStray: true,
		DialTimeout: connectTimeout, MaxIdle: targetIdleTimeout,
	})
	g.desk = permits.New(permits.Config{
		Self: g.self.VM, Broker: broker, Sender: g.transport, View: g.view.Load, Alive: g.brokerAlive,
		ContactLost: g.pools.ContactLost, Quota: g.settings.Quota, Metrics: g.metrics.Scope,
		QuotaGrown: func() { g.loop.Post(g.coordinator.PushQuota) },
	})
	g.coordinator = coordinator.New(coordinator.Config{
		Self:       g.self,
		RecordName: platform.RecordName, Names: platform.Names, Loop: g.loop, Store: platform.Store, Eras: platform.Eras,
		Sender: g.transport, Targets: platform.Targets, LongestHold: g.settings.LongestHold, LinkRate: g.settings.LinkRate,
		Publish: g.publish, Observe: g.desk.Observe, SteadyKeys: broker.Loads != nil, Demand: g.desk.Demand, Dial: dial,
		Repeats: g.desk.Repeats, AdoptRepeats: g.desk.AdoptRepeats, Quotas: g.desk, Uptime: uptime, Logger: &g.logger,
		StartedBefore: g.settings.StartedBefore,
	})
	g.handler = forward.New(forward.Config{
		Domain: g.settings.FailureDomain, Dialect: platform.Dialect, Permits: g.desk, View: g.view.Load,
		Current: g.coordinator.Current, Pools: g.pools, StopBy: g.stopEnd, Logger: g.logger, Metrics: g.metrics.Scope,
	})
	g.callers = &caller.Server{
		Handler: g.handler, Limits: g.callerLimits, FirstRequestWait: firstRequestWait, Refusal: g.handler.Refusal(),
		Panicked: g.requestPanicked,
	}
}

// dial checks that a connection to the address can be opened.
func dial(ctx context.Context, address string) error {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

func (g *Gateway) listen() error {
	addresses := map[string]string{
		"callers": g.settings.Callers, "ready": g.settings.Ready, "peers": g.settings.Peers, "metrics": g.settings.Metrics,
	}
	for name, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "choose an address of this VM that is free", "the %s address %q cannot be used", name, address)
		}
		g.listeners[name] = listener
	}
	return nil
}

// addressOf returns the peer address of another VM; false if the VM is unknown.
func (g *Gateway) addressOf(vm string) (string, bool) {
	view := g.view.Load()
	if view.Leader.VM == vm {
		return view.Leader.Address, true
	}
	m, ok := view.Members[vm]
	return m.Address, ok
}

// brokerAlive reports whether a broker is alive. All brokers run on the leader, so it
// ignores the VM and reports whether the leader's heartbeats arrive.
func (g *Gateway) brokerAlive(string) bool { return g.coordinator.ReceivesHeartbeats() }

func (g *Gateway) publish(view *fleet.View) {
	previous := g.view.Swap(view)
	g.desk.Update(view)
	for vm := range previous.Members {
		if _, known := view.Members[vm]; !known {
			g.desk.Forget(vm)
		}
	}
	g.pools.Update(view)
}

func (g *Gateway) notOwner(service string, key uint16, life fleet.Life) {
	g.loop.Post(func() { g.coordinator.NotOwner(service, key, life) })
}

func (g *Gateway) targetLeaving(life fleet.Life) {
	g.loop.Post(func() { g.coordinator.TargetLeaving(life) })
}

// handleControl dispatches a message from a peer. Permit messages are served
// immediately, all others on the loop. A message that cannot be handled is dropped.
func (g *Gateway) handleControl(from peer.Peer, message *peerv1.Control) *peerv1.Control {
	work := "message of " + from.VM
	forDesk := false
	if !contain.Run(&g.logger, work, func() { forDesk = g.desk.Handle(from, message) }) || forDesk {
		return nil
	}
	g.loop.Post(func() {
		contain.Run(&g.logger, work, func() {
			if reply, _ := g.coordinator.Handle(from, message); reply != nil {
				reply.ReplyTo = message.Call
				g.transport.Send(from.VM, reply)
			}
		})
	})
	return nil
}

// requestPanicked logs a panic of the handler of callers' requests.
func (g *Gateway) requestPanicked(r *http.Request, reason any) {
	contain.Log(&g.logger, "request "+r.Method+" "+r.URL.Path, reason)
}

// stopEnd returns the time by which a stop must have answered all requests; zero if this
// VM is not stopping.
func (g *Gateway) stopEnd() time.Time {
	if by := g.stopBy.Load(); by != nil {
		return *by
	}
	return time.Time{}
}

// ready reports whether this VM accepts new connections.
func (g *Gateway) ready() bool { return g.stopEnd().IsZero() && g.view.Load().Config != nil }

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	// The components outlive ctx because a graceful stop still needs them.
	componentCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	group, componentCtx := errgroup.WithContext(componentCtx)
	group.Go(func() error { g.loop.Run(componentCtx); return nil })
	group.Go(func() error { return g.transport.Run(componentCtx) })
	group.Go(func() error { g.pools.Run(componentCtx); return nil })
	group.Go(func() error {
		if err := g.callers.Serve(g.listeners["callers"]); err != caller.ErrStopped {
			return err
		}
		return nil
	})
	readyServer := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.Go(func() error { return serve(readyServer, g.listeners["ready"]) })
	metricsServer := &http.Server{Handler: g.metrics.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.Go(func() error { return serve(metricsServer, g.listeners["metrics"]) })
	g.coordinator.Start(componentCtx)
	events.DaemonStarted.Log(&g.logger).Str("incarnation", g.self.Incarnation).
		Str("callers", g.settings.Callers).Str("peers", g.settings.Peers).Send()

	select {
	case <-ctx.Done():
	case <-componentCtx.Done():
	}
	g.stop()
	_, _ = readyServer.Close(), metricsServer.Close()
	g.transport.Close()
	stopComponents()
	err := group.Wait()
	g.pools.Close()
	_ = g.metrics.Close()
	events.DaemonStopped.Log(&g.logger).Send()
	return err
}

// callerLimits returns the limits from the configuration, or defaults while no
// configuration is known.
func (g *Gateway) callerLimits() caller.Limits {
	config := g.view.Load().Config
	if config == nil {
		return caller.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	return caller.Limits{
		HeaderBytes: config.Limits.HeaderBytes, HeaderTimeout: config.Limits.HeaderTimeout, IdleTimeout: config.Limits.IdleTimeout,
	}
}

// serve runs an HTTP server on a listener until the server is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (g *Gateway) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// stop fails the readiness check, waits until the load balancer sends no more
// connections, and then waits for the requests in flight. Responses sent meanwhile
// tell callers to open a new connection. Requests that are read after requestCutoff are
// refused; those that are still in flight near the end get an answer then.
func (g *Gateway) stop() {
	began := time.Now()
	events.DaemonStopping.Log(&g.logger).Int("in_flight", g.handler.InFlight()).Send()
	timeout := g.settings.StopWithin - stopMargin
	answerBy := began.Add(timeout - answerMargin)
	g.stopBy.Store(&answerBy)
	g.loop.Post(g.coordinator.Leave)
	defer time.AfterFunc(min(requestCutoff, timeout/2), g.callers.RefuseNew).Stop()
	defer time.AfterFunc(time.Until(answerBy), g.handler.EndAll).Stop()
	time.Sleep(min(balancerDelay, timeout))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(timeout))
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.logger.Warn().Err(err).Int("in_flight", g.handler.InFlight()).Msg("the stop ends with requests still in flight")
	}
	for g.handler.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	g.callers.Close()
}
