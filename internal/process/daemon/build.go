package daemon

import (
	"net"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/controller"
	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/membership"
	"github.com/chestnutcourse/chestnutcourse/internal/process/operators"
	"github.com/chestnutcourse/chestnutcourse/internal/process/ownership"
	"github.com/chestnutcourse/chestnutcourse/internal/process/reporter"
	"github.com/chestnutcourse/chestnutcourse/internal/process/settings"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/dispatch"
	"github.com/chestnutcourse/chestnutcourse/internal/request/entry"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// build opens the listeners and creates the components in order of their
// dependencies.
func (d *Daemon) build(platform store.Store) error {
	d.metrics = NewMetrics(d.settings.VM, d.settings.FailureDomain)
	if err := d.buildTransport(); err != nil {
		return err
	}
	d.distribution = distribution.New(distribution.Config{
		Self: d.self, Loop: d.loop, Store: platform, Sender: d.transport, SeedPeers: d.settings.SeedPeers,
		Logger: &d.logger, Metrics: d.metrics.Scope,
	})
	d.distribution.Subscribe(d.snapshotChanged)
	d.membership = membership.New(membership.Config{
		Self: d.self, Loop: d.loop, Store: d.distribution.Store(), View: d.distribution,
		Replaced: func() { close(d.replaced) }, Logger: &d.logger,
	})
	d.buildDispatcher()
	d.buildController()
	if err := d.buildCallers(); err != nil {
		return err
	}
	return d.buildOperators()
}

func (d *Daemon) buildTransport() error {
	listener, err := listen("peers", &d.settings.Peers.Listener)
	if err != nil {
		return err
	}
	config, err := d.settings.Peers.Config("peers")
	if err != nil {
		return err
	}
	d.transport = peer.NewTransport(peer.Config{
		Self:       peer.Peer{VM: d.self.Name, Incarnation: d.self.Incarnation},
		Deployment: d.settings.Deployment, Listener: listener, AddressOf: d.addressOf, TLS: config,
		Control: d.handleControl, Requests: requestHandler{d},
		IdleTimeout: d.settings.IdleSession(), MaxSmallBody: d.settings.MaxSmallBody(),
		Logger: d.logger, Metrics: d.metrics.Scope,
	})
	return nil
}

// addressOf returns the address to dial for a VM; an override in the settings
// takes precedence over the advertised address.
func (d *Daemon) addressOf(vm string) (string, bool) {
	if address, ok := d.settings.Peers.Overrides[vm]; ok {
		return address, true
	}
	return d.distribution.AddressOf(vm)
}

// buildDispatcher creates the dispatcher, which sends requests to targets, and
// the driver of the ownership protocol.
func (d *Daemon) buildDispatcher() {
	d.targets = target.NewControlClient()
	d.dispatcher = dispatch.New(dispatch.Config{
		Self: d.self.Name, Rights: d.rights.Load, Snapshot: d.distribution.Snapshot,
		Logger: d.decisionLogger(), LogDecisions: d.logsDecisions(), Metrics: d.metrics.Scope,
	})
	d.ownership = ownership.New(ownership.Config{
		Self: d.holder(), FailureDomain: d.self.FailureDomain, Loop: d.loop, Sender: d.transport, Targets: d.targets,
		InFlight: d.dispatcher.InFlight, ColdLimit: d.dispatcher.ColdLimit, StartWith: d.dispatcher.StartWith,
		TargetChanged: d.dispatcher.TargetChanged,
		Publish:       func(table *rights.Table) { d.rights.Store(table) },
		Logger:        d.logger, Metrics: d.metrics.Scope,
	})
}

func (d *Daemon) buildController() {
	d.controller = controller.New(controller.Config{
		Self: d.holder(), FailureDomain: d.self.FailureDomain, Region: d.self.Region, Loop: d.loop,
		Store: d.distribution.Store(), Sender: d.transport, Snapshot: d.distribution.Snapshot,
		Unreachable: d.distribution.Unreachable, Logger: d.logger, Metrics: d.metrics.Scope,
	})
	d.reporter = reporter.New(reporter.Config{
		Self: d.holder(), Region: d.self.Region, Loop: d.loop, Sender: d.transport, Snapshot: d.distribution.Snapshot,
		Loads: d.loads, Ownership: ownershipProgress{d},
	})
}

func (d *Daemon) buildCallers() error {
	listener, err := listen("callers", &d.settings.Callers)
	if err != nil {
		return err
	}
	config, err := d.settings.Callers.Config("callers")
	if err != nil {
		return err
	}
	handler := entry.New(entry.Config{
		Self: d.self.Name, Snapshot: d.distribution.Snapshot, Sender: d.transport, Ready: d.ready,
		Logger: d.decisionLogger(), LogDecisions: d.logsDecisions(), Metrics: d.metrics.Scope,
	})
	d.callers = entry.NewServer(listener, handler, config)
	return nil
}

func (d *Daemon) buildOperators() error {
	listener, err := listen("operators", &d.settings.Operators)
	if err != nil {
		return err
	}
	config, err := d.settings.Operators.Config("operators")
	if err != nil {
		return err
	}
	api, err := operators.New(operators.Config{
		Self: d.self, Deployment: d.settings.Deployment, View: d.distribution, Store: d.distribution.Store(),
		Ready: d.ready, Metrics: d.metrics.Handler(), Logger: &d.logger,
	})
	if err != nil {
		return err
	}
	d.operators = newOperatorsServer(listener, api, config)
	return nil
}

func (d *Daemon) holder() assignment.Holder {
	return assignment.Holder{VM: d.self.Name, Incarnation: d.self.Incarnation}
}

func (d *Daemon) logsDecisions() bool { return d.settings.Log.Decisions != settings.DecisionsNone }

// decisionLogger returns the logger of routing decisions. Requests that end as
// not run or unknown are logged as warnings, all others at the info level, so
// DecisionsRefusedOnly raises the level to warnings.
func (d *Daemon) decisionLogger() zerolog.Logger {
	if d.settings.Log.Decisions == settings.DecisionsRefusedOnly {
		return d.logger.Level(max(d.logger.GetLevel(), zerolog.WarnLevel))
	}
	return d.logger
}

func listen(field string, l *settings.Listener) (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "choose an address of this VM that is free", "settings: field %q cannot be used", field+".address")
	}
	return listener, nil
}
