// Package distribution brings the objects of the store to every node and keeps
// them there: the manifest, the cells, the VMs and the platform's list of VMs.
//
// Guarantees: the version of an object on a node only rises, also when a peer
// lags or the store answers with old values, and a starting node that finds
// the store in an outage publishes nothing before it has compared several
// peers. A snapshot is built from one table and never changes. What a node
// sends per second does not grow with the fleet.
//
// Two watchers per failure domain, chosen by rank among the live VMs, watch
// the store. Changes travel from them down trees of degree 3; each second a
// node compares digests with the VM ranked before it and with a random peer,
// which repairs what the trees missed. docs/design/distribution.md gives the
// reasons and the measured cost.
package distribution

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// Config is what a Distribution needs.
type Config struct {
	// Self is the own VM.
	Self routing.VM
	// Loop runs all changes of the distribution's state.
	Loop *loop.Loop
	// Store is the direct way to the platform's store.
	Store store.Store
	// Sender reaches other VMs. The addresses of SeedPeers take the place of VM
	// names until the names are known.
	Sender peer.ControlSender
	// SeedPeers are addresses (host:port) of peers to ask at the start.
	SeedPeers []string
	Logger    *zerolog.Logger
	// Metrics may be nil.
	Metrics tally.Scope
}

// Distribution holds the node's table of objects. Its methods are safe on any
// goroutine unless they say otherwise.
type Distribution struct {
	config Config

	// What follows belongs to the loop.
	table       *table
	view        *view
	subscribers []func(*routing.Snapshot)
	dirty       bool
	// loaded is set once the configuration is known well enough to be published.
	loaded    bool
	contacts  contacts
	rank      rank
	watching  context.CancelFunc
	roster    roster
	repairing bool
	lastBeat  time.Time
	// passed holds what was passed on in which tree a short time ago.
	passed   map[passage]time.Time
	partners partners
	// differences holds how the present versions came about; received holds
	// those that arrived with the message that is being handled.
	differences differences
	received    map[string]*peerv1.Object
	// ctx ends everything that Start began.
	ctx context.Context

	snapshot  atomic.Pointer[routing.Snapshot]
	published atomic.Pointer[published]
	readiness atomic.Pointer[readiness]
	// directFailure is when the store last failed this node, in nanoseconds
	// since started; 0 if it has answered since.
	directFailure atomic.Int64
	started       time.Time

	metrics counters
}

// published is what other goroutines see besides the snapshot.
type published struct {
	vms      map[string]routing.VM
	platform map[string]PlatformState
}

// counters are the metrics of the distribution.
type counters struct {
	applied, pushes, repairs, storeErrors, relayed tally.Counter
	manifestVersion, contactAge                    tally.Gauge
}

// New returns a distribution that begins its work with Start.
func New(config Config) *Distribution {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	scope := config.Metrics.SubScope("distribution")
	d := &Distribution{
		config: config, table: newTable(), view: newView(), contacts: newContacts(),
		differences: differences{}, received: map[string]*peerv1.Object{}, passed: map[passage]time.Time{},
		started: time.Now(), ctx: context.Background(),
		metrics: counters{
			applied: scope.Counter("objects_applied"), pushes: scope.Counter("pushes"), repairs: scope.Counter("objects_repaired"),
			storeErrors: scope.Counter("store_errors"), relayed: scope.Counter("store_calls_relayed"),
			manifestVersion: scope.Gauge("manifest_version"), contactAge: scope.Gauge("store_contact_age_seconds"),
		},
	}
	d.published.Store(&published{})
	d.readiness.Store(&readiness{reason: outcome.CutOff})
	return d
}

// Start begins the distribution; it ends with the context.
func (d *Distribution) Start(ctx context.Context) {
	d.config.Loop.Post(func() { d.ctx = ctx })
	go d.load(ctx)
	d.config.Loop.Every(ctx, tickInterval, d.tick)
}

// Subscribe registers a function that is called on the loop with each new
// snapshot. It is called before Start or on the loop; a snapshot that exists
// already is passed at once.
func (d *Distribution) Subscribe(f func(*routing.Snapshot)) {
	d.subscribers = append(d.subscribers, f)
	if snapshot := d.snapshot.Load(); snapshot != nil {
		f(snapshot)
	}
}

// Snapshot returns the newest snapshot, or nil before the first.
func (d *Distribution) Snapshot() *routing.Snapshot { return d.snapshot.Load() }

// AddressOf returns the peer address of a VM. An address stands for itself, so
// that seed peers can be reached before their names are known.
func (d *Distribution) AddressOf(vm string) (string, bool) {
	if strings.Contains(vm, ":") {
		return vm, true
	}
	found, ok := d.published.Load().vms[vm]
	return found.PeerAddress, ok
}

// VMs returns the registered VMs by name. The map must not be changed.
func (d *Distribution) VMs() map[string]routing.VM { return d.published.Load().vms }

// PlatformVMs returns the platform's lagging list. The map must not be changed.
func (d *Distribution) PlatformVMs() map[string]PlatformState { return d.published.Load().platform }

// Handle processes a message of this package, on the loop. It reports false
// for messages of other packages.
func (d *Distribution) Handle(from peer.Peer, m *peerv1.Control) (*peerv1.Control, bool) {
	d.contacts.heard(from.VM)
	switch kind := m.Kind.(type) {
	case *peerv1.Control_Digest:
		return d.handleDigest(from, m, kind.Digest), true
	case *peerv1.Control_Objects:
		return d.handleObjects(from, kind.Objects), true
	case *peerv1.Control_FetchObjects:
		return d.handleFetch(kind.FetchObjects), true
	case *peerv1.Control_StoreCall:
		go d.serveStoreCall(from, m.Call, kind.StoreCall)
		return nil, true
	case *peerv1.Control_StatusQuery:
		d.serveStatus(from, m.Call, kind.StatusQuery)
		return nil, true
	}
	return nil, false
}

// tick runs on the loop once per interval.
func (d *Distribution) tick() {
	now := time.Now()
	d.table.forget(now)
	d.forgetPassages(now)
	d.contacts.prune(now, func(vm string) bool { _, exists := d.view.vms[vm]; return exists })
	d.probePredecessor()
	d.compareWithRandomPeer()
	d.checkWatching()
	d.sendBeat(now)
	d.checkReadiness(now)
}

// apply records objects and returns those that were new. It runs on the loop.
func (d *Distribution) apply(objects []store.Object) []store.Object {
	now := time.Now()
	var fresh []store.Object
	for _, object := range objects {
		before := d.table.objects[object.Name]
		if !d.table.apply(object, now) {
			continue
		}
		d.learnDifference(before, object)
		fresh = append(fresh, object)
		if err := d.view.apply(object); err != nil {
			events.ObjectRejected.Log(d.config.Logger).Str("object", object.Name).Int64("version", object.Version).Err(err).Send()
		}
	}
	if len(fresh) > 0 {
		d.metrics.applied.Inc(int64(len(fresh)))
		d.publishSoon()
	}
	return fresh
}

// learnDifference keeps the difference that arrived with an object, or computes it.
func (d *Distribution) learnDifference(before, object store.Object) {
	if received := d.received[object.Name]; received != nil && received.Version == object.Version {
		d.differences.keep(received)
		return
	}
	if err := d.differences.learn(before, object); err != nil {
		events.ObjectRejected.Log(d.config.Logger).Str("object", object.Name).Int64("version", object.Version).Err(err).Send()
	}
}

// publishSoon publishes once after all messages that are queued now.
func (d *Distribution) publishSoon() {
	if d.dirty {
		return
	}
	d.dirty = true
	d.config.Loop.Post(d.publish)
}

// publish makes the view visible. Addresses are visible at once; a snapshot
// only once the configuration is loaded.
func (d *Distribution) publish() {
	d.dirty = false
	d.roster = newRoster(d.view.vms, d.view.platform)
	snapshot := d.view.snapshot()
	if snapshot == nil || !d.loaded {
		d.published.Store(&published{vms: maps.Clone(d.view.vms), platform: maps.Clone(d.view.platform)})
		return
	}
	d.publishSnapshot(snapshot)
}

func (d *Distribution) publishSnapshot(snapshot *routing.Snapshot) {
	before := d.snapshot.Swap(snapshot)
	d.published.Store(&published{vms: snapshot.VMs, platform: maps.Clone(d.view.platform)})
	if before == nil || before.ManifestVersion != snapshot.ManifestVersion {
		d.metrics.manifestVersion.Update(float64(snapshot.ManifestVersion))
		events.ManifestInForce.Log(d.config.Logger).Int64("version", snapshot.ManifestVersion).Str("operation", d.view.operationID).Send()
	}
	d.checkReadiness(time.Now())
	for _, subscriber := range d.subscribers {
		subscriber(snapshot)
	}
}
