package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

const (
	// pinnedFor is how long a slice stays where it was moved to.
	pinnedFor = 10 * time.Second
	// budgetBurst is the churn budget that may gather, in seconds of its rate.
	budgetBurst = 10
)

// cell is the control state of one cell.
type cell struct {
	owner   *Controller
	id      string
	service string
	number  int
	lease   leaseState

	// record is the newest known record, nil if the cell has none; loaded is
	// set once the store or the snapshot has told.
	record  *assignment.Cell
	version int64
	loaded  bool
	// writing is set while a write or a read of the record is under way.
	writing bool
	// planned is set while a round out of turn is due.
	planned   bool
	lastRound time.Time

	reports  reports
	losses   losses
	status   statusWriter
	moved    map[placement.SliceID]time.Time
	budget   float64
	budgetAt time.Time
	// waiting is the last reason logged for having no assignment.
	waiting string
	// ranked is what the cached rank was computed from.
	ranked    membership
	rankValue int
}

func newCell(owner *Controller, service string, number int) *cell {
	return &cell{owner: owner, id: assignment.CellID(service, number), service: service, number: number,
		reports: newReports(), losses: newLosses(owner.config.Unreachable), moved: map[placement.SliceID]time.Time{}}
}

// rank returns this VM's place among the cell's candidates, -1 if it is none.
func (c *cell) rank(snapshot *routing.Snapshot) int {
	if now := c.owner.membershipOf(snapshot); c.ranked != now {
		c.ranked = now
		c.rankValue = slices.Index(Candidates(c.id, Region(snapshot, c.service, c.number, c.owner.config.Region), snapshot), c.owner.config.Self.VM)
	}
	return c.rankValue
}

// Region returns the region of a cell's targets, or the given one if the cell
// has no targets.
func Region(snapshot *routing.Snapshot, service string, number int, otherwise string) string {
	for i := range snapshot.Manifest.Targets {
		t := &snapshot.Manifest.Targets[i]
		if t.Service != service || t.Cell != number {
			continue
		}
		if domain := snapshot.Domains[t.FailureDomain]; domain != nil {
			return domain.Region
		}
	}
	return otherwise
}

// snapshotChanged takes over a newer record and plans at once.
func (c *cell) snapshotChanged(snapshot *routing.Snapshot) {
	if service := snapshot.Services[c.service]; service != nil && c.number < len(service.Cells) {
		if known := service.Cells[c.number]; known != nil && known.Version > c.version {
			c.adopt(known.Assignment, known.Version)
		}
	}
	c.planSoon()
}

// adopt takes over a record that is newer than the known one.
func (c *cell) adopt(record *assignment.Cell, version int64) {
	if version < c.version {
		return
	}
	c.record, c.version, c.loaded = record, version, true
	c.reports.retain(record)
}

// elected begins to control the cell.
func (c *cell) elected() {
	events.ControllerElected.Log(&c.owner.config.Logger).Str("cell", c.id).Int64("lease", c.lease.version).Send()
	c.owner.config.Metrics.Counter("elections").Inc(1)
	c.reports, c.losses = newReports(), newLosses(c.owner.config.Unreachable)
	c.loaded = false
	c.read()
}

// superseded ends control of the cell; a write under way ends on its own.
func (c *cell) superseded() {
	events.ControllerSuperseded.Log(&c.owner.config.Logger).Str("cell", c.id).Str("holder", c.lease.value.Holder.VM).Send()
}

func (c *cell) released() {
	events.ControllerReleased.Log(&c.owner.config.Logger).Str("cell", c.id).Send()
}

// planSoon plans a round shortly, together with what arrives until then.
func (c *cell) planSoon() {
	if c.planned || !c.lease.held {
		return
	}
	c.planned = true
	c.owner.config.Loop.PostAfter(progressDelay, func() {
		c.planned = false
		c.plan()
	})
}

// plan plans a round and writes its result.
func (c *cell) plan() {
	snapshot := c.owner.snapshot()
	if !c.lease.held || c.writing || snapshot == nil || c.owner.ctx.Err() != nil {
		return
	}
	if !c.loaded {
		c.read()
		return
	}
	now := c.owner.now()
	c.lastRound = now
	if c.record == nil {
		c.create(snapshot, now)
		return
	}
	c.checkLosses(snapshot, now)
	input := c.roundInput(snapshot, now)
	result := placement.PlanRound(input)
	c.owner.config.Metrics.Counter("rounds").Inc(1)
	if result.Cell == nil {
		c.reports.clearProgress(input.Acceptances, input.Handovers)
		c.writeStatus(now)
		return
	}
	c.budget = input.Budget - moved(result, c.record)
	c.write(result, func() { c.reports.clearProgress(input.Acceptances, input.Handovers) })
}

// roundInput gathers what is known of the cell.
func (c *cell) roundInput(snapshot *routing.Snapshot, now time.Time) placement.RoundInput {
	c.refillBudget(now)
	c.reports.advance(now)
	return placement.RoundInput{
		Cell:        c.record,
		Free:        isFree(snapshot, c.service),
		Targets:     c.targets(snapshot),
		VMs:         c.vms(snapshot, now),
		Staying:     c.staying(snapshot, now),
		Gone:        c.losses.gone(now),
		Acceptances: c.reports.acceptances(),
		Handovers:   c.reports.handovers(),
		Loads:       c.reports.loads,
		Policy:      c.owner.config.Policy,
		Budget:      c.budget,
		Pinned:      c.pinned(now),
	}
}

// targets returns the manifest's targets of the cell with what was reported of
// them.
func (c *cell) targets(snapshot *routing.Snapshot) []placement.Target {
	var targets []placement.Target
	for i := range snapshot.Manifest.Targets {
		declared := &snapshot.Manifest.Targets[i]
		if declared.Service == c.service && declared.Cell == c.number {
			targets = append(targets, c.reports.target(declared, isOut(snapshot, declared)))
		}
	}
	return targets
}

// isFree reports whether a service is placed freely.
func isFree(snapshot *routing.Snapshot, service string) bool {
	declared := snapshot.Services[service]
	return declared != nil && declared.Declared.Placement == manifest.Free
}

// settled reports whether no slice is moving or owned by a leaving target.
func (c *cell) settled(snapshot *routing.Snapshot) bool {
	if c.record == nil || isFree(snapshot, c.service) {
		return true
	}
	leaving := map[string]bool{}
	for _, target := range c.targets(snapshot) {
		leaving[target.Name] = target.Leaving && !target.Lost
	}
	for _, list := range [][]assignment.Slice{c.record.Slices, c.record.HotKeys} {
		for i := range list {
			if list[i].Moving || leaving[list[i].Owner] {
				return false
			}
		}
	}
	return true
}

// isOut reports whether a target is asked to leave.
func isOut(snapshot *routing.Snapshot, target *manifest.Target) bool {
	domain := snapshot.Domains[target.FailureDomain]
	return target.Drain || domain != nil && domain.Out
}

// vms returns the VMs of the cell's region that may hold rights.
func (c *cell) vms(snapshot *routing.Snapshot, now time.Time) []placement.VM {
	region := Region(snapshot, c.service, c.number, c.owner.config.Region)
	var vms []placement.VM
	for _, vm := range snapshot.VMs {
		holder := assignment.Holder{VM: vm.Name, Incarnation: vm.Incarnation}
		if vm.Region == region && mayWork(snapshot, &vm) && !c.losses.suspected(holder, now) {
			vms = append(vms, placement.VM{Holder: holder, FailureDomain: vm.FailureDomain})
		}
	}
	return vms
}

// staying returns the VMs that are out or drained but neither leaving on their
// own nor suspected.
func (c *cell) staying(snapshot *routing.Snapshot, now time.Time) []assignment.Holder {
	var staying []assignment.Holder
	for _, vm := range snapshot.VMs {
		holder := assignment.Holder{VM: vm.Name, Incarnation: vm.Incarnation}
		if !mayWork(snapshot, &vm) && !vm.Leaving && !c.losses.suspected(holder, now) {
			staying = append(staying, holder)
		}
	}
	return staying
}

// refillBudget lets the churn budget grow at the policy's rate.
func (c *cell) refillBudget(now time.Time) {
	rate := c.owner.config.Policy.ChurnPerMinute / 60
	if c.budgetAt.IsZero() {
		c.budget = rate * budgetBurst
	} else {
		c.budget = min(rate*budgetBurst, c.budget+rate*now.Sub(c.budgetAt).Seconds())
	}
	c.budgetAt = now
}

// pinned returns the slices that were moved recently.
func (c *cell) pinned(now time.Time) map[placement.SliceID]bool {
	pinned := map[placement.SliceID]bool{}
	for id, at := range c.moved {
		if now.Sub(at) < pinnedFor {
			pinned[id] = true
		} else {
			delete(c.moved, id)
		}
	}
	return pinned
}

// moved returns the share of the cell that a round moves for balance.
func moved(result placement.RoundResult, before *assignment.Cell) float64 {
	size := float64(before.Last-before.First) + 1
	share := 0.0
	for _, d := range result.Decisions {
		if d.Kind == placement.DecideMove && d.Slice.Key == "" && d.Balancing {
			share += (float64(d.Slice.Last-d.Slice.First) + 1) / size
		}
	}
	return share
}

// create writes the first assignment of the cell.
func (c *cell) create(snapshot *routing.Snapshot, now time.Time) {
	service := snapshot.Services[c.service]
	if service == nil {
		return
	}
	result, err := placement.NewCell(placement.InitialSpec{
		Service: c.service, Number: c.number, Cells: service.Declared.CellCount(),
		Targets: c.targets(snapshot), VMs: c.vms(snapshot, now), Free: isFree(snapshot, c.service),
	})
	if err != nil {
		if c.waiting != err.Error() {
			c.waiting = err.Error()
			events.CellWaiting.Log(&c.owner.config.Logger).Str("cell", c.id).Err(err).Send()
		}
		return
	}
	c.waiting = ""
	c.write(result, func() {
		events.CellCreated.Log(&c.owner.config.Logger).Str("cell", c.id).Int64("version", c.version).
			Int("slices", len(c.record.Slices)).Int("targets", len(c.record.Targets)).Send()
	})
}

// read reads the record from the store.
func (c *cell) read() {
	if c.writing {
		return
	}
	c.writing = true
	c.owner.call(func(ctx context.Context) func() {
		record, version, err := readCell(ctx, c.owner.config.Store, c.id)
		return func() {
			c.writing = false
			if err != nil {
				return // Read again in the next round.
			}
			c.loaded = true
			if record != nil {
				c.adopt(record, version)
			}
			c.planSoon()
		}
	})
}

// readCell returns the record of a cell, nil if there is none.
func readCell(ctx context.Context, s store.Store, id string) (*assignment.Cell, int64, error) {
	object, err := s.Get(ctx, assignment.ObjectName(id))
	if fault.Is(err, fault.NotFound) {
		return nil, store.Absent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record, err := assignment.Decode(object.Value)
	if err != nil {
		return nil, 0, fault.Wrap(err, fault.Invalid, "restore the object from an earlier version", "the record of cell %s cannot be read", id)
	}
	return record, object.Version, nil
}

// sliceName returns a slice as it stands in the log.
func sliceName(id placement.SliceID) string {
	if id.Key != "" {
		return "key " + id.Key
	}
	return fmt.Sprintf("%016x-%016x", id.First, id.Last)
}
