package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// silentAfter is the silence after which a VM is reported to the controller.
const silentAfter = 3 * timing.LeaseDuration

// Report is what the controller of a cell has to know from this VM.
type Report struct {
	// Held are the targets of the cell that this VM dispatches to.
	Held []HeldTarget
	// Arrived are rights that have reached their epoch, whether or not they can
	// be used now: the record needs no previous partners any more.
	Arrived []*peerv1.TargetEpoch
	// Accepted are slices that the record does not show yet.
	Accepted []*peerv1.Release
	// Takeovers are targets for which this VM acts ahead of the record.
	Takeovers []*peerv1.TargetEpoch
	// Unplaced are slices that nobody serves: the owner is lost, and so is the
	// next owner, or there is none.
	Unplaced []*peerv1.SliceRef
	// Silent are VMs that this VM has not heard from for several leases.
	Silent []string
}

// HeldTarget is the state of one target that this VM dispatches to.
type HeldTarget struct {
	Target string
	// Epoch is the epoch at which this VM holds the dispatch right.
	Epoch       uint64
	Alive       bool
	Incarnation string
	// Drained reports that no request is in flight and no slice is granted.
	Drained bool
}

// report collects what concerns a cell.
func (m *machine) report(now time.Duration, cell string) Report {
	m.now = now
	var report Report
	for _, t := range m.sortedTenures() {
		if t.cell == cell && t.phase == holding && t.leaseValid(now) {
			m.reportTenure(&report, t)
		}
	}
	report.Arrived = m.arrived(cell)
	report.Silent = m.silent()
	return report
}

func (m *machine) reportTenure(report *Report, t *tenure) {
	g := &t.grants
	report.Held = append(report.Held, HeldTarget{
		Target: t.target, Epoch: t.epoch, Alive: g.state == targetAlive, Incarnation: g.incarnation,
		Drained: len(g.desired) == 0 && m.in.inFlight(t.target, nil) == 0,
	})
	if t.acting {
		report.Takeovers = append(report.Takeovers, wireRef(t.ref()))
	}
	for _, r := range t.accepted {
		if !r.Barred {
			report.Accepted = append(report.Accepted, r)
		}
	}
	for _, p := range t.releases {
		if p.refusal == reasonNextNotAlive || p.void {
			report.Unplaced = append(report.Unplaced, p.message.Slice)
		}
	}
	if g.state != targetLost {
		return
	}
	for i := range g.desired {
		if recorded := m.record.recorded(t.cell, &g.desired[i].slice); recorded == nil || !m.hasNext(recorded) {
			report.Unplaced = append(report.Unplaced, refOfSlice(t.cell, &g.desired[i].slice))
		}
	}
}

// arrived lists the rights that this VM has received where the record still names
// previous partners. To keep a handover as a partner is not enough: once the record
// names no previous partners, a dispatcher without the handover begins with a recovery.
func (m *machine) arrived(cell string) []*peerv1.TargetEpoch {
	var arrived []*peerv1.TargetEpoch
	version, ok := m.record.cells[cell]
	if !ok {
		return nil
	}
	for i := range version.cell.Targets {
		r := &version.cell.Targets[i]
		if r.Previous == nil {
			continue
		}
		t := m.tenures[r.Target]
		if t != nil && t.epoch == r.Epoch && (t.phase == holding || t.phase == receiving) {
			arrived = append(arrived, wireRef(targetEpoch{r.Target, r.Epoch}))
		}
	}
	return arrived
}

// silent lists the dispatchers and partners that have not been heard from.
func (m *machine) silent() []string {
	var silent []string
	for _, g := range m.guards {
		if m.now-max(g.lastSign, m.contactOf(g.partners.Dispatcher).heard) > silentAfter {
			silent = append(silent, g.partners.Dispatcher.VM)
		}
	}
	for _, t := range m.tenures {
		backup := t.partners.Backup
		if !t.acting && backup.VM != "" && m.now-max(t.since, m.contactOf(backup).answered) > silentAfter {
			silent = append(silent, backup.VM)
		}
		witness := t.partners.Witness
		if t.acting && witness.VM != "" && m.now-max(t.since, m.contactOf(witness).answered) > silentAfter {
			silent = append(silent, witness.VM)
		}
	}
	slices.Sort(silent)
	return slices.Compact(silent)
}

// holds counts the targets whose right this VM has not passed on.
func (m *machine) holds() int {
	count := 0
	for _, t := range m.tenures {
		if t.phase != passing || !t.handover.accepted {
			count++
		}
	}
	return count
}
