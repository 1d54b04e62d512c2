// Package membership keeps the registration of the own VM and judges which
// VMs may take on roles.
//
// The platform's list of VMs lags, so it is only a hint: a VM that it calls
// leaving gets no new role, but only direct observation makes a VM count as
// lost. A registration names one incarnation; a daemon whose registration was
// replaced by another incarnation must stop. What a node does per second does
// not grow with the fleet.
package membership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/distribution"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// tickInterval is the interval at which the own registration is compared
	// with the view and silent VMs are asked again.
	tickInterval = time.Second
	// reportValidity is how long a report of silent VMs counts.
	reportValidity = 10 * time.Second
	// confirmations is the number of reporters that make a VM lost without an
	// observation of this node's own.
	confirmations = 2
	// pingsPerTick bounds the VMs that are asked in one tick.
	pingsPerTick = 4
	// pingTimeout bounds one question.
	pingTimeout = 500 * time.Millisecond
)

// View is what membership needs of the distribution.
type View interface {
	VMs() map[string]routing.VM
	PlatformVMs() map[string]distribution.PlatformState
	Snapshot() *routing.Snapshot
	// Object, IsSilent, SilentVMs and IsFirst are called on the loop.
	Object(name string) (store.Object, bool)
	IsSilent(vm string) bool
	SilentVMs() []string
	IsFirst() bool
	// Ping asks a VM for a sign of life.
	Ping(ctx context.Context, vm string) bool
}

// Config is what a Membership needs.
type Config struct {
	// Self is the own VM as it is registered.
	Self  routing.VM
	Loop  *loop.Loop
	Store store.Store
	View  View
	// Replaced is called once, on the loop, when another incarnation has
	// registered under this VM's name; the daemon has to stop.
	Replaced func()
	Logger   *zerolog.Logger
}

// Membership registers the own VM and observes the others.
type Membership struct {
	config Config
	// registered is the version of the own registration; 0 before the first.
	registered atomic.Int64
	leaving    atomic.Bool
	// registering is set while a goroutine registers.
	registering atomic.Bool

	// What follows belongs to the loop.
	reports  map[string]report
	replaced bool
	pinging  map[string]bool
	sweep    sweep
}

// report is what one VM last reported as silent.
type report struct {
	at     time.Time
	silent []string
}

// New returns a membership that begins its work with Start.
func New(config Config) *Membership {
	return &Membership{config: config, reports: map[string]report{}, pinging: map[string]bool{}, sweep: newSweep()}
}

// Start registers the own VM, again if the registration is lost, until the
// context ends.
func (m *Membership) Start(ctx context.Context) {
	m.startRegistration(ctx)
	m.config.Loop.Every(ctx, tickInterval, func() { m.tick(ctx) })
}

// Registered reports whether the own VM has registered.
func (m *Membership) Registered() bool { return m.registered.Load() > 0 }

// ReportSilent records which VMs a partner no longer hears; it replaces the
// partner's earlier report. It is called on the loop.
func (m *Membership) ReportSilent(reporter string, silent []string) {
	if len(silent) == 0 {
		delete(m.reports, reporter)
		return
	}
	m.reports[reporter] = report{at: time.Now(), silent: slices.Clone(silent)}
}

// Lost reports whether a VM counts as lost: several partners no longer hear
// it, or one does not and neither does this node. It is called on the loop.
func (m *Membership) Lost(vm string) bool {
	reporters := m.reporters(vm)
	return reporters >= confirmations || reporters > 0 && m.config.View.IsSilent(vm)
}

// reporters counts the valid reports that name a VM.
func (m *Membership) reporters(vm string) int {
	count := 0
	for reporter, r := range m.reports {
		if reporter != vm && time.Since(r.at) <= reportValidity && slices.Contains(r.silent, vm) {
			count++
		}
	}
	return count
}

// Candidates returns the VMs that may take on new roles, sorted by name: those
// that are registered, not leaving, not drained, in a failure domain that is
// in service, and that nobody finds silent. It is called on the loop.
func (m *Membership) Candidates() []routing.VM {
	snapshot := m.config.View.Snapshot()
	platform := m.config.View.PlatformVMs()
	var found []routing.VM
	for name, vm := range m.config.View.VMs() {
		if !vm.Leaving && platform[name] != distribution.PlatformLeaving && !drained(snapshot, vm) &&
			!m.config.View.IsSilent(name) && m.reporters(name) == 0 {
			found = append(found, vm)
		}
	}
	slices.SortFunc(found, func(a, b routing.VM) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// drained reports whether the manifest takes a VM out of service.
func drained(snapshot *routing.Snapshot, vm routing.VM) bool {
	if snapshot == nil {
		return false
	}
	domain := snapshot.Domains[vm.FailureDomain]
	return domain != nil && domain.Out || slices.Contains(snapshot.Manifest.DrainVMs, vm.Name)
}

// tick runs on the loop once per interval.
func (m *Membership) tick(ctx context.Context) {
	m.checkOwnRecord(ctx)
	m.pingSilent(ctx)
	m.sweepGone(ctx)
	maps.DeleteFunc(m.reports, func(_ string, r report) bool { return time.Since(r.at) > reportValidity })
}

// checkOwnRecord registers again after a removal, and reports a replacement.
func (m *Membership) checkOwnRecord(ctx context.Context) {
	record, known := m.config.View.Object(routing.VMPrefix + m.config.Self.Name)
	if !known || record.Version <= m.registered.Load() || !m.Registered() || m.registering.Load() || m.leaving.Load() {
		return
	}
	switch vm, err := decodeVM(record); {
	case record.Deleted:
		m.startRegistration(ctx)
	case err == nil && vm.Incarnation != m.config.Self.Incarnation && !m.replaced:
		m.replaced = true
		events.VMReplaced.Log(m.config.Logger).Str("incarnation", vm.Incarnation).Send()
		if m.config.Replaced != nil {
			m.config.Replaced()
		}
	}
}

// pingSilent asks some of the VMs that are silent, or reported so, for a sign
// of life.
func (m *Membership) pingSilent(ctx context.Context) {
	suspects := map[string]bool{}
	for _, r := range m.reports {
		for _, vm := range r.silent {
			suspects[vm] = true
		}
	}
	for _, vm := range m.config.View.SilentVMs() {
		suspects[vm] = true
	}
	registered := m.config.View.VMs()
	for vm := range suspects {
		if _, ok := registered[vm]; ok && len(m.pinging) < pingsPerTick {
			m.ping(ctx, vm)
		}
	}
}

// ping asks a VM on another goroutine; the view records the result.
func (m *Membership) ping(ctx context.Context, vm string) {
	if m.pinging[vm] || vm == m.config.Self.Name {
		return
	}
	m.pinging[vm] = true
	go func() {
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		m.config.View.Ping(pingCtx, vm)
		m.config.Loop.Post(func() { delete(m.pinging, vm) })
	}()
}
