package ownership

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

const (
	// dispatcherPatience and backupPatience are how long a handover is awaited
	// before the earlier partners are asked to resign instead.
	dispatcherPatience = 4 * timing.LeaseDuration
	backupPatience     = 2 * dispatcherPatience
)

// collection gathers the resignations of the partners of an earlier epoch from
// whom no handover arrives. Once two of the three have resigned nobody can hold
// a lease of that epoch beyond the one that runs, so the next epoch may begin,
// with a recovery.
type collection struct {
	previous assignment.Partners
	from     time.Duration
	nextAsk  time.Duration
	resigned map[assignment.Holder]bool
}

// resignedHolder marks a bar that excludes everybody for good.
var resignedHolder = assignment.Holder{VM: "resigned"}

// resigned reports whether this VM has resigned from an epoch.
func (m *machine) resigned(ref targetEpoch) bool {
	return m.bars[ref] != nil && m.bars[ref].by == resignedHolder
}

// adoptCollections waits for a handover of every target that this VM is named
// dispatcher or backup of and that still lies with earlier partners.
func (m *machine) adoptCollections() {
	wanted := map[targetEpoch]bool{}
	for _, id := range sortedKeys(m.record.cells) {
		for i := range m.record.cells[id].cell.Targets {
			r := &m.record.cells[id].cell.Targets[i]
			patience := dispatcherPatience
			if m.isSelf(r.Backup) {
				patience = backupPatience
			}
			if r.Previous == nil || !m.isSelf(r.Dispatcher) && !m.isSelf(r.Backup) {
				continue
			}
			ref := targetEpoch{r.Target, r.Epoch}
			wanted[ref] = true
			if m.collections[ref] == nil {
				m.collections[ref] = &collection{previous: *r.Previous, from: m.now + patience, resigned: map[assignment.Holder]bool{}}
			}
		}
	}
	for ref := range m.collections {
		if !wanted[ref] {
			delete(m.collections, ref)
		}
	}
}

// collectResignations asks for resignations where the handover is overdue.
func (m *machine) collectResignations() {
	for _, ref := range sortedRefs(m.collections) {
		c := m.collections[ref]
		r := m.record.rightsOf(ref.target)
		if m.now < max(c.from, c.nextAsk) || r == nil || m.kept[ref.target].handedTo(ref.epoch) {
			continue
		}
		if t := m.tenures[ref.target]; t != nil && t.epoch >= ref.epoch {
			continue
		}
		c.nextAsk = m.now + timing.RenewalInterval
		request := &peerv1.PromiseRequest{Resign: true, Targets: []*peerv1.TargetEpoch{{Target: ref.target, Epoch: r.PreviousEpoch}}}
		for _, h := range []assignment.Holder{c.previous.Dispatcher, c.previous.Backup, c.previous.Witness} {
			if h.VM != "" {
				m.out.send(h.VM, &peerv1.Control{Kind: &peerv1.Control_PromiseRequest{PromiseRequest: request}})
			}
		}
	}
}

// receiveResignRequest ends every role of this VM in an epoch. The record is
// past the epoch, or will be once this VM has seen it.
func (m *machine) receiveResignRequest(request *peerv1.PromiseRequest) *peerv1.Control {
	for _, wire := range request.Targets {
		ref := refOf(wire)
		m.bars[ref] = &bar{by: resignedHolder}
		m.passed[ref.target] = max(m.passed[ref.target], ref.epoch)
		if t := m.tenures[ref.target]; t != nil && t.epoch <= ref.epoch {
			m.drop(t, "resigned in favour of the next epoch")
		}
	}
	promise := &peerv1.Promise{Targets: request.Targets, Resigned: true}
	return &peerv1.Control{Kind: &peerv1.Control_Promise{Promise: promise}}
}

// receiveResignation begins the next epoch once two of three have resigned.
func (m *machine) receiveResignation(from assignment.Holder, promise *peerv1.Promise) {
	for _, wire := range promise.Targets {
		r := m.record.rightsOf(wire.Target)
		if r == nil || r.Previous == nil || r.PreviousEpoch != wire.Epoch {
			continue
		}
		c := m.collections[targetEpoch{r.Target, r.Epoch}]
		p := r.Previous
		if c == nil || from != p.Dispatcher && from != p.Backup && from != p.Witness {
			continue
		}
		c.resigned[from] = true
		if len(c.resigned) >= 2 {
			m.beginAfterResignations(r)
		}
	}
}

// beginAfterResignations acts as if a handover had arrived that knows nothing.
func (m *machine) beginAfterResignations(r *assignment.Rights) {
	if t := m.tenures[r.Target]; t != nil && t.epoch >= r.Epoch || m.kept[r.Target].handedTo(r.Epoch) {
		return
	}
	h := &peerv1.Handover{
		Target: r.Target, Epoch: r.PreviousEpoch, NextEpoch: r.Epoch, Recovering: true,
		RecordVersion: m.record.versionFor(r.Target),
	}
	m.out.decide(decision{kind: recoveryBegun, target: r.Target, epoch: r.Epoch, reason: "two earlier partners have resigned"})
	if m.isSelf(r.Dispatcher) {
		m.acceptHandover(h, r, m.self)
		return
	}
	m.keepHandover(h)
}
