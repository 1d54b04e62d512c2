// Package daemon runs all roles of a VM in one process: entry, dispatcher,
// controller, distribution and the operators' API.
//
// Guarantees: control state changes only on one goroutine (package loop); a
// graceful stop interrupts no request in flight before its timeout; a restarted
// daemon holds no right of its earlier incarnation.
package daemon

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/controller"
	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/membership"
	"github.com/chestnutcourse/chestnutcourse/internal/process/ownership"
	"github.com/chestnutcourse/chestnutcourse/internal/process/reporter"
	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/dispatch"
	"github.com/chestnutcourse/chestnutcourse/internal/request/entry"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// Daemon runs all roles of one VM. Use New to create it and Run to serve.
type Daemon struct {
	settings *settings.Settings
	self     routing.VM
	logger   zerolog.Logger
	metrics  *Metrics

	loop         *loop.Loop
	transport    *peer.Transport
	distribution *distribution.Distribution
	membership   *membership.Membership
	ownership    *ownership.Driver
	controller   *controller.Controller
	dispatcher   *dispatch.Dispatcher
	reporter     *reporter.Reporter
	targets      *target.ControlClient
	callers      *entry.Server
	operators    *operatorsServer

	// partnerCells are the cells in which this VM is a partner of a target. They
	// are accessed only on the loop.
	partnerCells []string
	// rights is the table of dispatch rights that the dispatcher consults for
	// each request.
	rights atomic.Pointer[rights.Table]
	// leaving is set once a graceful stop has begun.
	leaving atomic.Bool
	// replaced is closed when another incarnation registers under this VM's name.
	replaced chan struct{}
}

// New opens the listeners and creates the components. Nothing is served before
// Run.
func New(s *settings.Settings, platform store.Store, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, logger: logger, loop: loop.New(), replaced: make(chan struct{}),
		self: routing.VM{
			Name: s.VM, Incarnation: uuid.NewString(), FailureDomain: s.FailureDomain, Region: s.Region,
			PeerAddress: s.PeerAddress(),
		},
	}
	d.rights.Store(&rights.Table{})
	if err := d.build(platform); err != nil {
		return nil, err
	}
	return d, nil
}

// Run serves until ctx is canceled, another incarnation replaces this one or a
// component fails, then stops gracefully. It returns the error of the component
// that failed, or nil.
func (d *Daemon) Run(ctx context.Context) error {
	// The components outlive ctx, because a graceful stop still needs them.
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	d.start(componentsCtx, group)
	events.DaemonStarted.Log(&d.logger).Str("incarnation", d.self.Incarnation).
		Str("callers", d.settings.Callers.Address).Str("operators", d.settings.Operators.Address).
		Str("peers", d.self.PeerAddress).Send()

	select {
	case <-ctx.Done():
	case <-d.replaced:
	case <-componentsCtx.Done():
	}
	d.stopGracefully()
	stopComponents()
	d.close()
	err := group.Wait()
	events.DaemonStopped.Log(&d.logger).Send()
	return err
}

// start starts every component. They run until ctx is canceled, except those that
// close ends.
func (d *Daemon) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { d.loop.Run(ctx); return nil })
	group.Go(func() error { return d.transport.Run(ctx) })
	group.Go(d.callers.Run)
	group.Go(d.operators.Run)
	d.distribution.Start(ctx)
	d.membership.Start(ctx)
	d.ownership.Start(ctx)
	d.controller.Start(ctx)
	d.reporter.Start(ctx)
}

// close closes the components that do not stop when their context is canceled.
func (d *Daemon) close() {
	d.transport.Close()
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.ownership.Wait()
	d.dispatcher.Close()
	d.targets.Close()
	_ = d.metrics.Close()
}

// ready reports whether this VM accepts new requests, and if not, why.
func (d *Daemon) ready() (outcome.Reason, bool) {
	if d.leaving.Load() {
		return outcome.Draining, false
	}
	return d.distribution.Ready()
}

// snapshotChanged passes a new routing snapshot to the components that depend
// on it. It runs on the loop.
func (d *Daemon) snapshotChanged(snapshot *routing.Snapshot) {
	d.partnerCells = cellsOf(snapshot, d.self.Name)
	d.ownership.SnapshotChanged(snapshot)
	d.controller.SnapshotChanged(snapshot)
}

// handleControl passes a control message of a peer to the loop. It is called on
// the session's goroutine and returns no reply; the loop sends it later.
func (d *Daemon) handleControl(from peer.Peer, message *peerv1.Control) *peerv1.Control {
	d.loop.Post(func() {
		reply := d.handleOnLoop(from, message)
		if reply == nil {
			return
		}
		if message.Call != 0 {
			reply.ReplyTo = message.Call
		}
		d.transport.Send(from.VM, reply)
	})
	return nil
}

// handleOnLoop passes a control message to the component that handles it and
// returns the reply, nil for none.
func (d *Daemon) handleOnLoop(from peer.Peer, message *peerv1.Control) *peerv1.Control {
	if report := message.GetLoadReport(); report != nil {
		d.membership.ReportSilent(from.VM, report.Silent)
	}
	handlers := []func(peer.Peer, *peerv1.Control) (*peerv1.Control, bool){
		d.ownership.Handle, d.distribution.Handle, d.controller.Handle,
	}
	for _, handle := range handlers {
		if reply, handled := handle(from, message); handled {
			return reply
		}
	}
	if message.Call == 0 {
		return nil
	}
	return &peerv1.Control{Kind: &peerv1.Control_Error{Error: &peerv1.Error{Reason: "this version does not know the message"}}}
}

// requestHandler passes requests from entries, on this VM or others, to the
// dispatcher. It lets the transport be created before the dispatcher, which
// depends on it.
type requestHandler struct{ d *Daemon }

// Serve implements peer.RequestHandler.
func (h requestHandler) Serve(ctx context.Context, from peer.Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser) {
	return h.d.dispatcher.Serve(ctx, from, request, body)
}
