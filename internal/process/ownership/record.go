package ownership

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// cellVersion is a cell's assignment at one version of its store object.
type cellVersion struct {
	version int64
	cell    *assignment.Cell
}

// targetInfo is what the protocol needs to know of a target's declaration.
type targetInfo struct {
	address string
	cell    string
	free    bool
	leaving bool
	// unchecked is set when the target does not check fences, hold when it
	// keeps a grant until it is revoked.
	unchecked bool
	hold      bool
}

// recordView is the newest record that this VM has seen.
type recordView struct {
	// seen is set once the record was read, from the store or from a peer.
	seen    bool
	cells   map[string]cellVersion
	targets map[string]targetInfo
}

func newRecordView() recordView {
	return recordView{cells: map[string]cellVersion{}, targets: map[string]targetInfo{}}
}

// rightsOf returns the recorded dispatch rights of a target, or nil.
func (r *recordView) rightsOf(target string) *assignment.Rights {
	info, ok := r.targets[target]
	if !ok {
		return nil
	}
	cell, ok := r.cells[info.cell]
	if !ok {
		return nil
	}
	return cell.cell.RightsOf(target)
}

// versionOf returns the version of a cell, 0 if it is not known.
func (r *recordView) versionOf(cell string) int64 { return r.cells[cell].version }

// versionFor returns the version of a target's cell, 0 if it is not known.
func (r *recordView) versionFor(target string) int64 { return r.versionOf(r.targets[target].cell) }

// olderThan reports whether this VM's record of a target's cell is older than
// the one that the sender of a message had. The sender does not list releases
// that its own record shows, so the message cannot be used yet.
func (m *machine) olderThan(target string, version int64) bool {
	return m.record.versionFor(target) < version && !m.off.noVersionCheck
}

// pastEpoch reports whether the record has left an epoch behind for good: its
// right was passed on, or recovered without it. Bars of such an epoch are
// forgotten, so a lease of it that has lapsed must not be renewed.
func (r *recordView) pastEpoch(ref targetEpoch) bool {
	recorded := r.rightsOf(ref.target)
	if recorded == nil {
		return true
	}
	return ref.epoch < recorded.Epoch && (recorded.Previous == nil || ref.epoch < recorded.PreviousEpoch)
}

// adopt takes in a newer record. A cell whose version is not newer is left as it is.
func (m *machine) adopt(now time.Duration, cells map[string]cellVersion, targets map[string]targetInfo) {
	m.now = now
	m.record.seen = true
	m.record.targets = targets
	m.noteLeaving()
	for id, incoming := range cells {
		if known, ok := m.record.cells[id]; ok && known.version >= incoming.version {
			continue
		}
		m.record.cells[id] = incoming
		m.dropShown(id)
	}
	m.adoptRights()
	for _, t := range m.sortedTenures() {
		m.refreshDesired(t)
	}
	m.changed = true
	m.advance()
}

// noteLeaving notes since when targets are leaving. The time does not begin anew when the
// right to dispatch to a target passes on.
func (m *machine) noteLeaving() {
	since := map[string]time.Duration{}
	for target, info := range m.record.targets {
		if !info.leaving {
			continue
		}
		at, known := m.leavingSince[target]
		if !known {
			at = m.now
		}
		since[target] = at
	}
	m.leavingSince = since
}

// adoptRights compares the tenures and guards of this VM with the record.
func (m *machine) adoptRights() {
	for _, t := range m.sortedTenures() {
		if m.record.rightsOf(t.target) == nil {
			m.drop(t, "the record no longer has the target")
		}
	}
	for _, id := range sortedKeys(m.record.cells) {
		cell := m.record.cells[id].cell
		for i := range cell.Targets {
			if _, declared := m.record.targets[cell.Targets[i].Target]; declared {
				m.adoptTarget(id, &cell.Targets[i])
			}
		}
	}
	m.adoptGuards()
	m.adoptCollections()
}

// adoptTarget begins, ends or passes on the tenure of one target.
func (m *machine) adoptTarget(cell string, r *assignment.Rights) {
	t := m.tenures[r.Target]
	if t != nil && t.epoch < r.Epoch && (r.Previous == nil || t.epoch < r.PreviousEpoch) {
		m.depose(t, r)
		t = m.tenures[r.Target]
	}
	switch {
	case t != nil && t.epoch < r.Epoch:
		m.beginHandover(t, r)
	case t == nil && r.Previous == nil && m.isSelf(r.Dispatcher) && m.passed[r.Target] < r.Epoch:
		m.beginWithoutHandover(cell, r)
	case t == nil && r.Previous != nil && m.isSelf(r.Previous.Dispatcher) && m.passed[r.Target] < r.PreviousEpoch:
		m.resumePrevious(cell, r)
	}
}

// depose ends a tenure that the record has gone past: its right was passed on,
// or the controller has recovered the target without it.
func (m *machine) depose(t *tenure, r *assignment.Rights) {
	if t.phase == passing {
		m.remember(t)
	}
	m.drop(t, "the record has a later epoch")
	if !m.isSelf(r.Dispatcher) || r.Previous != nil {
		return
	}
	m.beginWithoutHandover(t.cell, r)
	next := m.tenures[t.target]
	for _, accepted := range t.accepted {
		if accepted.Barred {
			next.accepted = append(next.accepted, accepted)
			m.post(next, &item{accepted: accepted})
		}
	}
}

// resumePrevious takes up the right of the previous epoch in order to hand it
// over. This VM never saw the epoch while it lasted, so it knows nothing of
// releases made at it.
func (m *machine) resumePrevious(cell string, r *assignment.Rights) {
	previous := &assignment.Rights{Target: r.Target, Epoch: r.PreviousEpoch, Partners: *r.Previous}
	t := m.newTenure(cell, previous)
	t.unknownPast = true
	m.beginHandover(t, r)
}

// isSelf reports whether a holder of the record is this VM in this incarnation.
func (m *machine) isSelf(h assignment.Holder) bool {
	if m.off.noIncarnationCheck {
		return h.VM == m.self.VM
	}
	return h == m.self
}

// recoveryWait is how long a dispatcher that starts without a handover waits
// for grants of earlier epochs to lapse.
const recoveryWait = timing.LeaseDuration + timing.DriftMargin
