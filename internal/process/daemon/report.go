package daemon

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/ownership"
	"github.com/chestnutcourse/chestnutcourse/internal/process/reporter"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

// ownershipProgress gives the reporter access to the state of the ownership
// protocol.
type ownershipProgress struct{ d *Daemon }

// Progress implements reporter.Ownership.
func (p ownershipProgress) Progress() []reporter.Progress {
	var all []reporter.Progress
	for _, report := range p.d.cellReports() {
		all = append(all, reporter.Progress{
			Cell: report.cell, Accepted: report.Accepted, Takeovers: report.Takeovers, Arrived: report.Arrived, Unplaced: report.Unplaced,
		})
	}
	return all
}

// Silent implements reporter.Ownership.
func (p ownershipProgress) Silent() []string { return p.d.ownership.Report(noCell).Silent }

// noCell is the cell to pass for the parts of a report that belong to no cell.
const noCell = ""

// cellReport is the ownership report of one cell.
type cellReport struct {
	cell string
	ownership.Report
}

// cellReports returns the reports of the cells in which this VM is a partner,
// without those that contain neither held targets nor arrived rights. It runs on
// the loop.
func (d *Daemon) cellReports() []cellReport {
	var reports []cellReport
	for _, cell := range d.partnerCells {
		report := d.ownership.Report(cell)
		if len(report.Held) > 0 || len(report.Arrived) > 0 {
			reports = append(reports, cellReport{cell, report})
		}
	}
	return reports
}

// cellsOf returns the cells whose record names the VM as a partner of a target.
// Only these are reported on, so that the work of a VM does not grow with the
// number of cells.
func cellsOf(snapshot *routing.Snapshot, vm string) []string {
	var cells []string
	for _, service := range snapshot.Services {
		for _, cell := range service.Cells {
			if cell != nil && slices.ContainsFunc(cell.Assignment.Targets, func(r assignment.Rights) bool { return isPartner(&r, vm) }) {
				cells = append(cells, cell.Assignment.ID)
			}
		}
	}
	return cells
}

// isPartner reports whether a VM is a partner of a target: its dispatcher, backup
// or witness. The previous partners count until their handover is complete.
func isPartner(r *assignment.Rights, vm string) bool {
	matches := func(p *assignment.Partners) bool {
		return p.Dispatcher.VM == vm || p.Backup.VM == vm || p.Witness.VM == vm
	}
	return matches(&r.Partners) || r.Previous != nil && matches(r.Previous)
}

// loads returns the loads of the targets that this VM dispatches to: the
// dispatcher's measurements with the ownership state of each target.
func (d *Daemon) loads() []*peerv1.TargetLoad {
	held := map[string]ownership.HeldTarget{}
	for _, report := range d.cellReports() {
		for _, target := range report.Held {
			held[target.Target] = target
		}
	}
	var loads []*peerv1.TargetLoad
	for _, load := range d.dispatcher.Loads() {
		target, ok := held[load.Target]
		if !ok {
			continue
		}
		load.Epoch, load.Alive, load.TargetIncarnation, load.Drained = target.Epoch, target.Alive, target.Incarnation, target.Drained
		loads = append(loads, load)
	}
	return loads
}
