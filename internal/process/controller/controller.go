// Package controller plans the cells: it creates their first assignments,
// follows what dispatchers report, repairs losses and moves slices.
//
// One VM controls a cell, by a lease object in the store. Guarantees: every
// change of a record is one conditional write of a result of
// placement.PlanRound, so two controllers at once may waste writes but cannot
// break ownership; a write whose outcome is unknown is read back and recognised
// by its operation id; a new controller goes on from the record alone.
package controller

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"
)

const (
	// tickInterval is the interval at which leases are looked after.
	tickInterval = 200 * time.Millisecond
	// roundInterval is the interval between planning rounds of a cell.
	roundInterval = time.Second
	// progressDelay gathers reported progress before a round out of turn.
	progressDelay = 50 * time.Millisecond
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 5 * time.Second
)

// Config holds what a Controller depends on.
type Config struct {
	// Self is this VM in its present incarnation.
	Self          assignment.Holder
	FailureDomain string
	Region        string
	// Loop runs all control state; Handle and SnapshotChanged are called on it.
	Loop  *loop.Loop
	Store store.Store
	// Sender reaches the dispatchers.
	Sender peer.ControlSender
	// Snapshot returns the present snapshot, nil before the first one.
	Snapshot func() *routing.Snapshot
	// Unreachable reports whether a VM did not answer this VM's last call, while most
	// VMs do; nil if that is not known of any.
	Unreachable func(vm string) bool
	Logger      zerolog.Logger
	// Metrics may be nil.
	Metrics tally.Scope
	// Policy bounds the rounds; the zero value means placement.DefaultPolicy.
	Policy placement.Policy
}

// Controller controls the cells whose leases this VM holds. All its methods
// run on the loop, but for Start.
type Controller struct {
	config Config
	cells  map[string]*cell
	// ctx ends when the daemon stops.
	ctx context.Context
	// member is the membership of the snapshot memberOf.
	member   membership
	memberOf *routing.Snapshot
	// now is the clock; times are only compared within this process.
	now func() time.Time
}

// New returns a controller that does nothing before Start.
func New(config Config) *Controller {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	if config.Policy == (placement.Policy{}) {
		config.Policy = placement.DefaultPolicy()
	}
	if config.Unreachable == nil {
		config.Unreachable = func(string) bool { return false }
	}
	config.Metrics = config.Metrics.SubScope("placement")
	return &Controller{config: config, cells: map[string]*cell{}, ctx: context.Background(), now: time.Now}
}

// Start begins to look after leases and to plan rounds, until the context ends.
func (c *Controller) Start(ctx context.Context) {
	c.config.Loop.Post(func() {
		c.ctx = ctx
		c.SnapshotChanged(c.config.Snapshot())
	})
	c.config.Loop.Every(ctx, tickInterval, c.tick)
}

// SnapshotChanged follows a new snapshot: cells appear and disappear with the
// manifest, and what changed is planned at once.
func (c *Controller) SnapshotChanged(snapshot *routing.Snapshot) {
	if snapshot == nil {
		return
	}
	declared := map[string]bool{}
	for i := range snapshot.Manifest.Services {
		service := &snapshot.Manifest.Services[i]
		for number := range service.CellCount() {
			id := assignment.CellID(service.Name, number)
			declared[id] = true
			if c.cells[id] == nil {
				c.cells[id] = newCell(c, service.Name, number)
			}
		}
	}
	for id, cell := range c.cells {
		if !declared[id] {
			delete(c.cells, id)
			continue
		}
		cell.snapshotChanged(snapshot)
	}
}

// Handle serves load reports. It reports false for other messages.
func (c *Controller) Handle(from peer.Peer, message *peerv1.Control) (*peerv1.Control, bool) {
	report := message.GetLoadReport()
	if report == nil {
		return nil, false
	}
	holder, ahead := "", false
	if cell := c.cells[report.Cell]; cell != nil {
		if cell.lease.held {
			cell.merge(assignment.Holder{VM: from.VM, Incarnation: from.Incarnation}, report)
			ahead = cell.isBehind(report)
		} else {
			cell.lease.challenge(from.VM, c.now())
			events.ReportRejected.Log(&c.config.Logger).Str("cell", report.Cell).Str("from", from.VM).Send()
		}
		holder = cell.holder(c.snapshot())
	}
	return &peerv1.Control{ReplyTo: message.Call, Kind: &peerv1.Control_LoadReportAck{
		LoadReportAck: &peerv1.LoadReportAck{LeaseHolder: holder, Ahead: ahead}}}, true
}

// tick looks after the leases and plans the cells that are due.
func (c *Controller) tick() {
	snapshot := c.snapshot()
	if snapshot == nil || c.ctx.Err() != nil {
		return
	}
	now := c.now()
	self, known := snapshot.VMs[c.config.Self.VM]
	out := known && !mayWork(snapshot, &self)
	for _, cell := range c.cells {
		// A VM that is out but goes on running first moves what has to leave: a
		// successor would begin a lease later.
		leaving := out && (self.Leaving || cell.settled(snapshot))
		cell.tickLease(now, cell.rank(snapshot), leaving)
		if cell.lease.held && now.Sub(cell.lastRound) >= roundInterval {
			cell.plan()
		}
	}
}

func (c *Controller) snapshot() *routing.Snapshot { return c.config.Snapshot() }

// membership identifies a set of VMs that may work under one manifest, so that
// ranks are computed anew only when it changes and not with every record.
type membership struct {
	manifest int64
	vms      uint64
}

// membershipOf returns the membership of a snapshot.
func (c *Controller) membershipOf(snapshot *routing.Snapshot) membership {
	if c.memberOf != snapshot {
		c.memberOf = snapshot
		c.member = membership{manifest: snapshot.ManifestVersion}
		for _, vm := range snapshot.VMs {
			if mayWork(snapshot, &vm) {
				// The sum does not depend on the order of the map.
				c.member.vms += xxh3.HashString(vm.Name + "\x00" + vm.Region)
			}
		}
	}
	return c.member
}

// call runs a call to the store on a goroutine of its own and its result on the
// loop.
func (c *Controller) call(f func(ctx context.Context) func()) {
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, storeCallTimeout)
		defer cancel()
		result := f(ctx)
		c.config.Loop.Post(result)
	}()
}

// CellNumber returns the number in a cell ID, 0 if there is none.
func CellNumber(cellID string) int {
	number, err := strconv.Atoi(cellID[strings.LastIndexByte(cellID, '/')+1:])
	if err != nil {
		return 0
	}
	return number
}
