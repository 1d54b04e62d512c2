// Package reporter sends what this VM's dispatcher and ownership know to the
// controllers of the cells.
//
// Loads are sent after a noticeable change, at most once a second, and a sign
// of life every five seconds. Progress (accepted releases, takeovers) is sent
// at once and again every second until the records show it, so a report that
// is lost delays the record but never loses progress.
package reporter

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/controller"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"google.golang.org/protobuf/proto"
)

const (
	// tickInterval is the interval at which changes are looked for.
	tickInterval = 200 * time.Millisecond
	// changeInterval is the least time between reports of one cell.
	changeInterval = time.Second
	// lifeInterval is the longest time between reports of one cell.
	lifeInterval = 5 * time.Second
	// fullInterval is the interval between reports that list everything.
	fullInterval = 30 * time.Second
	// callTimeout bounds the wait for an acknowledgement.
	callTimeout = time.Second
)

// Progress is what ownership knows of a cell ahead of its record.
type Progress struct {
	Cell      string
	Accepted  []*peerv1.Release
	Takeovers []*peerv1.TargetEpoch
	// Arrived are rights that have reached the epoch of the record while it
	// still names previous partners.
	Arrived  []*peerv1.TargetEpoch
	Unplaced []*peerv1.SliceRef
}

// empty reports whether there is nothing to tell.
func (p *Progress) empty() bool {
	return len(p.Accepted) == 0 && len(p.Takeovers) == 0 && len(p.Arrived) == 0 && len(p.Unplaced) == 0
}

// Ownership is the part of ownership that a reporter reads, on the loop.
type Ownership interface {
	// Progress returns what the records do not show yet; cells with nothing may
	// be left out.
	Progress() []Progress
	// Silent returns the VMs that this VM has not heard from for several leases.
	Silent() []string
}

// Config holds what a Reporter depends on.
type Config struct {
	Self   assignment.Holder
	Region string
	Loop   *loop.Loop
	Sender peer.ControlSender
	// Snapshot returns the present snapshot, nil before the first one.
	Snapshot func() *routing.Snapshot
	// Loads returns the loads of the targets that this VM dispatches to. The
	// messages must not be changed afterwards.
	Loads     func() []*peerv1.TargetLoad
	Ownership Ownership
}

// Reporter sends reports. All its methods run on the loop, but for Start.
type Reporter struct {
	config Config
	cells  map[string]*cell
	ctx    context.Context
	now    func() time.Time
}

// cell is what was reported of one cell.
type cell struct {
	// holder is the VM that is believed to control the cell.
	holder string
	// next is the candidate that is asked when there is no holder.
	next     int
	busy     bool
	sentAt   time.Time
	fullAt   time.Time
	sent     map[string]*peerv1.TargetLoad
	progress *Progress
}

// New returns a reporter that does nothing before Start.
func New(config Config) *Reporter {
	return &Reporter{config: config, cells: map[string]*cell{}, ctx: context.Background(), now: time.Now}
}

// Start reports until the context ends.
func (r *Reporter) Start(ctx context.Context) {
	r.config.Loop.Post(func() { r.ctx = ctx })
	r.config.Loop.Every(ctx, tickInterval, r.Report)
}

// Report looks for changes and sends what is due. Ownership may have it called
// as soon as there is progress.
func (r *Reporter) Report() {
	snapshot := r.config.Snapshot()
	if snapshot == nil || r.ctx.Err() != nil {
		return
	}
	now := r.now()
	loads := r.loadsByCell(snapshot)
	progress := map[string]*Progress{}
	for _, p := range r.config.Ownership.Progress() {
		if !p.empty() {
			progress[p.Cell] = &p
		}
	}
	for id := range progress {
		if _, ok := loads[id]; !ok {
			loads[id] = nil
		}
	}
	for id := range r.cells {
		if _, ok := loads[id]; !ok {
			delete(r.cells, id)
		}
	}
	for id, targets := range loads {
		if r.cells[id] == nil {
			r.cells[id] = &cell{sent: map[string]*peerv1.TargetLoad{}}
		}
		r.reportCell(snapshot, id, targets, progress[id], now)
	}
}

// loadsByCell groups the loads by the cells of their targets.
func (r *Reporter) loadsByCell(snapshot *routing.Snapshot) map[string][]*peerv1.TargetLoad {
	byCell := map[string][]*peerv1.TargetLoad{}
	for _, load := range r.config.Loads() {
		if declared := snapshot.Targets[load.Target]; declared != nil {
			id := assignment.CellID(declared.Service, declared.Cell)
			byCell[id] = append(byCell[id], load)
		}
	}
	return byCell
}

// reportCell sends a report of one cell if one is due.
func (r *Reporter) reportCell(snapshot *routing.Snapshot, id string, targets []*peerv1.TargetLoad, progress *Progress, now time.Time) {
	c := r.cells[id]
	if c.busy {
		return
	}
	full := now.Sub(c.fullAt) >= fullInterval
	changed := targets
	if !full {
		changed = c.changes(targets)
	}
	news := progress != nil && (c.progress == nil || !sameProgress(c.progress, progress))
	since := now.Sub(c.sentAt)
	due := news || since >= lifeInterval || since >= changeInterval && (len(changed) > 0 || progress != nil)
	if !due {
		return
	}
	to := c.receiver(snapshot, id, r.config.Region)
	if to == "" {
		return
	}
	report := &peerv1.LoadReport{
		Cell: id, Vm: r.config.Self.VM, Incarnation: r.config.Self.Incarnation, Full: full,
		Targets: changed, ManifestVersion: snapshot.ManifestVersion, Silent: r.config.Ownership.Silent(),
	}
	if progress != nil {
		report.Accepted, report.Takeovers, report.Unplaced = progress.Accepted, progress.Takeovers, progress.Unplaced
		report.Arrived = progress.Arrived
	}
	c.busy, c.sentAt, c.progress = true, now, progress
	r.send(c, to, report, now)
}

// send delivers a report and learns from the acknowledgement who controls the
// cell.
func (r *Reporter) send(c *cell, to string, report *peerv1.LoadReport, now time.Time) {
	parent := r.ctx
	message := &peerv1.Control{Kind: &peerv1.Control_LoadReport{LoadReport: report}}
	go func() {
		ctx, cancel := context.WithTimeout(parent, callTimeout)
		defer cancel()
		reply, err := r.config.Sender.Call(ctx, to, message)
		r.config.Loop.Post(func() {
			c.busy = false
			if err != nil || reply.GetLoadReportAck() == nil {
				c.giveUp()
				return
			}
			c.acknowledged(to, reply.GetLoadReportAck(), report, now)
		})
	}()
}

// receiver returns the VM that the next report goes to.
func (c *cell) receiver(snapshot *routing.Snapshot, id, region string) string {
	if c.holder != "" {
		return c.holder
	}
	service := routing.ServiceOfCell(id)
	number := controller.CellNumber(id)
	candidates := controller.Candidates(id, controller.Region(snapshot, service, number, region), snapshot)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[c.next%len(candidates)]
}

// giveUp turns to the next candidate, with everything from the start.
func (c *cell) giveUp() {
	c.holder = ""
	c.next++
	c.fullAt = time.Time{}
	c.progress = nil
}

// acknowledged follows an acknowledgement.
func (c *cell) acknowledged(to string, ack *peerv1.LoadReportAck, report *peerv1.LoadReport, now time.Time) {
	switch ack.LeaseHolder {
	case "":
		c.giveUp()
	case to:
		c.holder = to
		if ack.Ahead {
			// What was not taken in would not be sent again as long as it does not change.
			c.fullAt = time.Time{}
			return
		}
		if report.Full {
			c.fullAt = now
			c.sent = map[string]*peerv1.TargetLoad{}
		}
		for _, load := range report.Targets {
			c.remember(load)
		}
	default:
		c.giveUp()
		c.holder = ack.LeaseHolder
		c.sentAt = time.Time{} // The holder gets the report at once.
	}
}

// sameProgress reports whether two lists of progress are equal.
func sameProgress(a, b *Progress) bool {
	equal := func(x, y proto.Message) bool { return proto.Equal(x, y) }
	return slices.EqualFunc(a.Accepted, b.Accepted, func(x, y *peerv1.Release) bool { return equal(x, y) }) &&
		slices.EqualFunc(a.Takeovers, b.Takeovers, func(x, y *peerv1.TargetEpoch) bool { return equal(x, y) }) &&
		slices.EqualFunc(a.Arrived, b.Arrived, func(x, y *peerv1.TargetEpoch) bool { return equal(x, y) }) &&
		slices.EqualFunc(a.Unplaced, b.Unplaced, func(x, y *peerv1.SliceRef) bool { return equal(x, y) })
}
