package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
	"google.golang.org/protobuf/proto"
)

// inheritanceTimeout is the silence after which the requests of an earlier
// dispatcher are not awaited any more.
const inheritanceTimeout = 3 * timing.LeaseDuration

// handoverPause is how long requests are held for a handover. One that takes
// longer is not waited for: requests are refused as not run.
const handoverPause = timing.SuspicionAfter

// handoverState is the progress of passing a right on, or of receiving it.
type handoverState struct {
	message *peerv1.Handover
	// next are the partners of the next epoch.
	next assignment.Rights
	// from is the VM that waits for the acknowledgement of a received handover.
	from     string
	nextSend time.Duration
	// accepted is set once the next dispatcher, or its backup, has the handover.
	accepted bool
}

// beginHandover stops the tenure for good at its epoch. The right passes to
// the next dispatcher once a partner of this epoch keeps the handover: from
// then on the backup cannot take this epoch over.
func (m *machine) beginHandover(t *tenure, next *assignment.Rights) {
	if t.phase != holding {
		return
	}
	t.lease.Revoke()
	t.phase, t.leaseEnd, t.pauseUntil = closing, 0, m.now+handoverPause
	m.changed = true
	message := &peerv1.Handover{
		Target: t.target, Epoch: t.epoch, NextEpoch: next.Epoch,
		InFlight:  uint32(m.in.inFlight(t.target, nil) + t.inherited),
		ColdLimit: uint32(m.in.coldLimit(t.target)),
		Accepted:  slices.Clone(t.accepted), Recovering: t.unknownPast || len(t.inquiries) > 0,
		RecordVersion: m.record.versionOf(t.cell),
	}
	for _, p := range t.releases {
		message.Releases = append(message.Releases, p.message)
	}
	t.handover = &handoverState{message: message, next: *next}
	t.withdrawals = nil
	m.out.decide(decision{kind: handoverBegun, target: t.target, epoch: t.epoch, nextEpoch: next.Epoch, vm: next.Dispatcher.VM})
	if m.off.noClose {
		m.handoverClosed(t)
		return
	}
	m.post(t, &item{handover: message})
}

// replicate repeats what the partners have not acknowledged; heartbeats carry it.
func (m *machine) replicate(t *tenure) {
	if len(t.outbox) == 0 && t.phase == closing {
		m.handoverClosed(t)
	}
}

// handoverClosed passes the right on: no backup of this epoch can take over now.
func (m *machine) handoverClosed(t *tenure) {
	t.phase = passing
	m.changed = true
	m.passed[t.target] = max(m.passed[t.target], t.epoch)
	if m.isSelf(t.handover.next.Dispatcher) {
		m.acceptHandover(t.handover.message, &t.handover.next, m.self)
		return
	}
	m.repeatHandover(t)
}

// repeatHandover sends the handover until the next dispatcher has accepted it,
// and, while that one does not answer, to its backup, which can take over.
func (m *machine) repeatHandover(t *tenure) {
	h := t.handover
	if m.now < h.nextSend {
		return
	}
	m.retarget(h)
	m.countInFlight(t)
	first := h.nextSend == 0
	h.nextSend = m.now + timing.RenewalInterval
	message := handoverMessage(h.message)
	m.out.send(h.next.Dispatcher.VM, message)
	if !first && h.next.Backup.VM != "" {
		m.out.send(h.next.Backup.VM, message)
	}
}

// countInFlight brings the handover's count up to date; the handover is
// repeated until it is zero.
func (m *machine) countInFlight(t *tenure) {
	h := t.handover
	count := uint32(m.in.inFlight(t.target, nil) + t.inherited)
	if count < h.message.InFlight {
		h.message = proto.Clone(h.message).(*peerv1.Handover)
		h.message.InFlight = count
	}
}

// retarget sends the handover to a later epoch if the record has given up the
// one that it was meant for. The controller does so only when two partners of
// that epoch are gone, so that nobody can act at it.
func (m *machine) retarget(h *handoverState) {
	r := m.record.rightsOf(h.message.Target)
	if r == nil || r.Epoch <= h.next.Epoch || r.Previous == nil || r.PreviousEpoch > h.message.Epoch {
		return
	}
	h.next = *r
	h.message = proto.Clone(h.message).(*peerv1.Handover)
	h.message.NextEpoch = r.Epoch
}

// forwardHandovers passes on the handovers that this VM keeps for a dispatcher
// that has fallen silent, or accepts them itself. They are idempotent.
func (m *machine) forwardHandovers() {
	for _, target := range sortedKeys(m.kept) {
		r := m.record.rightsOf(target)
		if r == nil || r.Previous == nil {
			continue
		}
		for _, h := range m.kept[target].handovers {
			if h.NextEpoch != r.Epoch || m.now-m.contactOf(r.Previous.Dispatcher).heard < timing.SuspicionAfter {
				continue
			}
			if m.isSelf(r.Dispatcher) {
				m.receiveHandover(r.Previous.Dispatcher, h)
			}
			message := handoverMessage(h)
			for _, next := range []assignment.Holder{r.Dispatcher, r.Backup} {
				if next != m.self && next.VM != "" {
					m.out.send(next.VM, message)
				}
			}
		}
	}
}

// receiveHandover takes the right to dispatch to a target, or keeps the
// handover as the next dispatcher's backup.
func (m *machine) receiveHandover(from assignment.Holder, h *peerv1.Handover) *peerv1.Control {
	r := m.record.rightsOf(h.Target)
	if r == nil || r.Epoch != h.NextEpoch || m.olderThan(h.Target, h.RecordVersion) {
		return handoverAck(h, false)
	}
	if t := m.tenures[h.Target]; t != nil && t.epoch >= h.NextEpoch {
		m.inherit(t, from, h)
		return handoverAck(h, t.phase != receiving)
	}
	switch {
	case m.isSelf(r.Dispatcher) && m.passed[h.Target] < h.NextEpoch:
		m.acceptHandover(h, r, from)
		return nil
	case m.isSelf(r.Backup):
		// The next dispatcher has not answered; only the link to it may be cut.
		m.keepHandover(h)
		m.out.send(r.Dispatcher.VM, handoverMessage(h))
		return handoverAck(h, true)
	}
	return handoverAck(h, false)
}

// inherit takes a newer count of the requests that the earlier dispatcher
// still has in flight.
func (m *machine) inherit(t *tenure, from assignment.Holder, h *peerv1.Handover) {
	if r := m.record.rightsOf(t.target); r != nil && r.Previous != nil && r.Previous.Dispatcher == from {
		// A copy that came through the backup carries an older count.
		t.inheritedFrom = from
	}
	if t.phase != holding || t.epoch != h.NextEpoch || t.inheritedFrom != from {
		return
	}
	t.inheritedAt = m.now
	if count := int(h.InFlight); count < t.inherited {
		t.inherited = count
		m.out.startWith(t.target, count, 0)
	}
}

// endInheritance stops waiting for the requests of an earlier dispatcher that
// does not tell about them any more: its connections are gone with it.
func (m *machine) endInheritance(t *tenure) {
	if t.inherited > 0 && m.now-t.inheritedAt > inheritanceTimeout {
		t.inherited = 0
		m.out.startWith(t.target, 0, 0)
	}
}

// acceptHandover begins the tenure of the next epoch. It is used once a partner
// of that epoch keeps the handover too.
func (m *machine) acceptHandover(h *peerv1.Handover, r *assignment.Rights, from assignment.Holder) {
	old := m.tenures[h.Target]
	cell := m.record.targets[h.Target].cell
	if old != nil {
		cell = old.cell
		old.lease.Revoke()
	}
	t := m.newTenure(cell, r)
	t.phase, t.pauseUntil = receiving, m.now+handoverPause
	t.handover = &handoverState{message: h, next: *r, from: from.VM}
	t.releases = pendingFrom(h.Releases)
	t.accepted = append(t.accepted, h.Accepted...)
	t.inherited, t.inheritedAt, t.inheritedFrom = int(h.InFlight), m.now, from
	if old != nil && from == m.self {
		t.inherited, t.inheritedAt, t.inheritedFrom = old.inherited, old.inheritedAt, old.inheritedFrom
	}
	m.refreshDesired(t)
	m.post(t, &item{handover: h})
}

// needsRecovery reports whether releases may exist that a handover does not
// name: its sender was still finding out, or others may have acted at epochs
// between.
func needsRecovery(h *peerv1.Handover) bool { return h.Recovering || h.Epoch+1 < h.NextEpoch }

// handoverKept begins to dispatch at the new epoch. Grants of the earlier
// dispatcher may still run, so they count as sent by this one.
func (m *machine) handoverKept(t *tenure) {
	h := t.handover
	t.phase, t.handover = holding, nil
	t.grants.inheritUntil(m.now + timing.LeaseDuration)
	if needsRecovery(h.message) {
		m.beginInquiries(t)
	}
	m.refreshDesired(t)
	m.changed = true
	m.out.startWith(t.target, t.inherited, int(h.message.ColdLimit))
	m.out.decide(decision{kind: handoverAccepted, target: t.target, epoch: t.epoch, vm: h.from})
	if h.from != m.self.VM {
		m.out.send(h.from, handoverAck(h.message, true))
	}
	m.sendHeartbeatsOf([]*tenure{t})
}

// receiveHandoverAck ends the tenure of the dispatcher that handed over.
func (m *machine) receiveHandoverAck(from assignment.Holder, ack *peerv1.HandoverAck) {
	t := m.tenures[ack.Target]
	if t == nil || t.phase != passing || !ack.Accepted || t.handover.next.Epoch != ack.NextEpoch {
		return
	}
	t.handover.accepted = true
	if from == t.handover.next.Dispatcher && t.handover.message.InFlight == 0 {
		m.remember(t)
		m.drop(t, "the next dispatcher has accepted")
	}
}

func handoverMessage(h *peerv1.Handover) *peerv1.Control {
	return &peerv1.Control{Kind: &peerv1.Control_Handover{Handover: h}}
}

func handoverAck(h *peerv1.Handover, accepted bool) *peerv1.Control {
	ack := &peerv1.HandoverAck{Target: h.Target, NextEpoch: h.NextEpoch, Accepted: accepted}
	return &peerv1.Control{Kind: &peerv1.Control_HandoverAck{HandoverAck: ack}}
}
