package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

const (
	// witnessAfter is the age of the last renewal after which the witness is
	// asked besides the backup: one heartbeat has gone unanswered.
	witnessAfter = timing.RenewalInterval + timing.RenewalInterval/2
	// heartbeatMemory is how long an acknowledgement of a heartbeat is awaited.
	heartbeatMemory = 2 * timing.LeaseDuration
)

// contact is what this VM knows of its dealings with another holder.
type contact struct {
	// heard is the time of the holder's last heartbeat in any role.
	heard time.Duration
	// acknowledged and asWitness are the times of the last acknowledgement sent
	// to the holder, as its backup and as its witness; zero if none was sent.
	acknowledged time.Duration
	asWitness    time.Duration
	// answered is the time of the holder's last acknowledgement.
	answered time.Duration
}

// item is something that a partner has to keep before this VM acts on it.
type item struct {
	release  *peerv1.Release
	accepted *peerv1.Release
	handover *peerv1.Handover
	kept     bool
}

// sentHeartbeat remembers a heartbeat until it is acknowledged.
type sentHeartbeat struct {
	vm        string
	asWitness bool
	at        time.Duration
	carried   []carried
}

// carried is a tenure's part of a heartbeat.
type carried struct {
	tenure *tenure
	items  []*item
}

// partnerRole is one receiver of heartbeats.
type partnerRole struct {
	holder    assignment.Holder
	asWitness bool
}

// sendHeartbeats renews every lease of this VM.
func (m *machine) sendHeartbeats() {
	m.nextHeartbeat = m.now + timing.RenewalInterval
	m.forgetHeartbeats()
	m.sendHeartbeatsOf(m.sortedTenures())
}

// sendHeartbeatsOf sends one heartbeat to each partner of the tenures.
func (m *machine) sendHeartbeatsOf(tenures []*tenure) {
	groups := map[partnerRole][]*tenure{}
	var order []partnerRole
	add := func(role partnerRole, t *tenure) {
		if role.holder.VM == "" {
			return
		}
		if groups[role] == nil {
			order = append(order, role)
		}
		groups[role] = append(groups[role], t)
	}
	for _, t := range tenures {
		if t.phase == passing {
			continue
		}
		if m.renewAlone(t) {
			continue
		}
		if !t.acting {
			add(partnerRole{holder: t.partners.Backup}, t)
		}
		if t.acting || m.now-t.renewedAt >= witnessAfter {
			add(partnerRole{holder: t.partners.Witness, asWitness: true}, t)
		}
		if t.acting && m.now-t.renewedAt >= witnessAfter {
			add(partnerRole{holder: t.partners.Dispatcher, asWitness: true}, t)
		}
	}
	for _, role := range order {
		m.sendHeartbeat(role, groups[role])
	}
}

// renewAlone renews the lease of a target without backup and witness: nobody
// else can take it over. It reports false if there are partners.
func (m *machine) renewAlone(t *tenure) bool {
	if t.partners.Backup.VM != "" || t.partners.Witness.VM != "" {
		return false
	}
	m.renew(t, m.now)
	for _, i := range slices.Clone(t.outbox) {
		m.markKept(t, i)
	}
	return true
}

func (m *machine) sendHeartbeat(role partnerRole, tenures []*tenure) {
	m.heartbeatSequence++
	heartbeat := &peerv1.Heartbeat{Sequence: m.heartbeatSequence, AsWitness: role.asWitness, ReceiverIncarnation: role.holder.Incarnation}
	sent := &sentHeartbeat{vm: role.holder.VM, asWitness: role.asWitness, at: m.now}
	for _, t := range tenures {
		part := carried{tenure: t}
		for _, i := range t.outbox {
			if i.kept {
				continue
			}
			part.items = append(part.items, i)
			i.appendTo(heartbeat)
		}
		if len(part.items) > 0 {
			heartbeat.Carrying = append(heartbeat.Carrying, wireRef(t.ref()))
		}
		sent.carried = append(sent.carried, part)
		if t.acting {
			heartbeat.Acting = append(heartbeat.Acting, wireRef(t.ref()))
		}
		if m.now >= t.leaseEnd {
			heartbeat.Lapsed = append(heartbeat.Lapsed, wireRef(t.ref()))
		}
	}
	m.heartbeats[heartbeat.Sequence] = sent
	m.out.send(role.holder.VM, &peerv1.Control{Kind: &peerv1.Control_Heartbeat{Heartbeat: heartbeat}})
}

func (i *item) appendTo(heartbeat *peerv1.Heartbeat) {
	switch {
	case i.release != nil:
		heartbeat.Releases = append(heartbeat.Releases, i.release)
	case i.accepted != nil:
		heartbeat.Accepted = append(heartbeat.Accepted, i.accepted)
	case i.handover != nil:
		heartbeat.Handovers = append(heartbeat.Handovers, i.handover)
	}
}

// forgetHeartbeats drops heartbeats whose acknowledgement would renew nothing.
func (m *machine) forgetHeartbeats() {
	for sequence, sent := range m.heartbeats {
		if m.now-sent.at > heartbeatMemory {
			delete(m.heartbeats, sequence)
		}
	}
}

// receiveHeartbeat renews the leases of a dispatcher, except barred ones, and
// keeps what the heartbeat carries.
func (m *machine) receiveHeartbeat(from assignment.Holder, heartbeat *peerv1.Heartbeat) *peerv1.Control {
	if !m.record.seen || heartbeat.ReceiverIncarnation != m.self.Incarnation && !m.off.noIncarnationCheck {
		return nil
	}
	known := m.contactOf(from)
	known.heard = m.now
	m.stepDown(heartbeat.Acting)
	m.noteSigns(from, heartbeat)
	ack := &peerv1.HeartbeatAck{Sequence: heartbeat.Sequence, AsWitness: heartbeat.AsWitness, Barred: m.barredFor(from)}
	for _, lapsed := range heartbeat.Lapsed {
		if m.record.pastEpoch(refOf(lapsed)) {
			ack.Barred = append(ack.Barred, lapsed)
		}
	}
	m.keep(heartbeat, ack.Barred)
	if heartbeat.AsWitness {
		known.asWitness = m.now
	} else {
		known.acknowledged = m.now
	}
	return &peerv1.Control{Kind: &peerv1.Control_HeartbeatAck{HeartbeatAck: ack}}
}

// receiveHeartbeatAck extends the leases that the acknowledged heartbeat
// carried, counted from when it was sent.
func (m *machine) receiveHeartbeatAck(from assignment.Holder, ack *peerv1.HeartbeatAck) {
	sent := m.heartbeats[ack.Sequence]
	if sent == nil || sent.vm != from.VM || sent.asWitness != ack.AsWitness {
		return
	}
	delete(m.heartbeats, ack.Sequence)
	m.contactOf(from).answered = m.now
	for _, part := range sent.carried {
		t := part.tenure
		if m.tenures[t.target] != t || !m.countsAck(t, from, ack) {
			continue
		}
		m.renew(t, sent.at)
		for _, i := range part.items {
			m.markKept(t, i)
		}
	}
}

// countsAck reports whether an acknowledgement comes from the partner that the
// record names, incarnation included, and does not bar the tenure.
func (m *machine) countsAck(t *tenure, from assignment.Holder, ack *peerv1.HeartbeatAck) bool {
	isPartner := t.usesBackup(from)
	if ack.AsWitness {
		isPartner = t.usesWitness(from) || t.acting && t.partners.Dispatcher == from
	}
	if m.off.noIncarnationCheck {
		isPartner = from.VM == t.partners.Backup.VM || from.VM == t.partners.Witness.VM
	}
	return isPartner && !slices.ContainsFunc(ack.Barred, func(b *peerv1.TargetEpoch) bool {
		return b.Target == t.target && b.Epoch == t.epoch
	})
}

// renew extends a lease from the time at which the renewing heartbeat was sent.
func (m *machine) renew(t *tenure, sentAt time.Duration) {
	t.renewedAt = max(t.renewedAt, sentAt)
	if t.phase != holding {
		return
	}
	if end := sentAt + timing.LeaseDuration; end > t.leaseEnd {
		t.leaseEnd = end
		t.lease.Extend(end)
	}
}

// markKept notes that a partner keeps an item, and goes on with what waited for it.
func (m *machine) markKept(t *tenure, i *item) {
	if i.kept {
		return
	}
	i.kept = true
	t.outbox = slices.DeleteFunc(t.outbox, func(other *item) bool { return other.kept })
	switch {
	case i.release != nil:
		m.releaseKept(t, i.release)
	case i.accepted != nil && i.accepted.Barred:
		m.barKept(t, i.accepted)
	case i.handover != nil && t.phase == closing:
		m.handoverClosed(t)
	case i.handover != nil && t.phase == receiving:
		m.handoverKept(t)
	}
}

// post queues an item for the partners and sends it at once.
func (m *machine) post(t *tenure, i *item) {
	if m.off.noReplication {
		m.markKept(t, i)
		return
	}
	t.outbox = append(t.outbox, i)
	m.sendHeartbeatsOf([]*tenure{t})
}

func (m *machine) contactOf(h assignment.Holder) *contact {
	if m.contacts[h] == nil {
		m.contacts[h] = &contact{}
	}
	return m.contacts[h]
}

func wireRef(r targetEpoch) *peerv1.TargetEpoch {
	return &peerv1.TargetEpoch{Target: r.target, Epoch: r.epoch}
}

func refOf(r *peerv1.TargetEpoch) targetEpoch { return targetEpoch{r.Target, r.Epoch} }
