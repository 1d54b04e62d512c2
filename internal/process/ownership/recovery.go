package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// inquiry asks the dispatcher of one other target of the cell to bar earlier
// releases of a recovered target, and which releases it knows of.
type inquiry struct {
	next     string
	nextSend time.Duration
	// barred is set once the dispatcher accepts no earlier release any more.
	barred bool
}

// beginWithoutHandover begins the tenure of a new target, or of one whose
// earlier partners are gone. In the second case grants of the past may still
// run, and slices may have been released: both are found out first.
func (m *machine) beginWithoutHandover(cell string, r *assignment.Rights) {
	t := m.newTenure(cell, r)
	if r.Epoch > 1 {
		m.beginInquiries(t)
		m.out.startWith(t.target, 0, 0)
		m.out.decide(decision{kind: recoveryBegun, target: t.target, epoch: t.epoch, count: len(t.inquiries)})
	}
	m.refreshDesired(t)
	m.sendHeartbeatsOf([]*tenure{t})
}

// beginInquiries asks about every other target of the cell: an earlier record
// may have named any of them as next owner. What this VM may know of releases
// of earlier epochs is put aside: those that were accepted come back with the
// answers, the others are barred and void. Releases of this epoch, made by a
// dispatcher that was then lost, are not barred and stay in force.
func (m *machine) beginInquiries(t *tenure) {
	t.releases = slices.DeleteFunc(t.releases, func(p *pendingRelease) bool {
		return p.message.Owner != t.target || p.message.OwnerEpoch != t.epoch
	})
	t.accepted = slices.DeleteFunc(t.accepted, func(r *peerv1.Release) bool { return !r.Barred })
	t.recovered = true
	t.grantsFrom = m.now + recoveryWait
	t.grants.inheritUntil(m.now + timing.LeaseDuration)
	if m.off.noInquiries {
		return
	}
	for _, other := range m.record.cells[t.cell].cell.Targets {
		if other.Target != t.target {
			t.inquiries = append(t.inquiries, &inquiry{next: other.Target})
		}
	}
}

// advanceRecovery repeats inquiries that have no answer. A target that the
// record has dropped needs none.
func (m *machine) advanceRecovery(t *tenure) {
	if len(t.inquiries) == 0 {
		return
	}
	t.inquiries = slices.DeleteFunc(t.inquiries, func(i *inquiry) bool {
		return m.record.rightsOf(i.next) == nil
	})
	if len(t.inquiries) == 0 {
		m.endRecovery(t)
	}
	for _, i := range t.inquiries {
		if !t.leaseValid(m.now) || m.now < i.nextSend {
			continue
		}
		i.nextSend = m.now + timing.RenewalInterval
		r := m.record.rightsOf(i.next)
		query := &peerv1.Release{Owner: t.target, Next: i.next, OwnerEpoch: t.epoch, Query: true}
		m.out.send(r.Dispatcher.VM, &peerv1.Control{Kind: &peerv1.Control_Release{Release: query}})
		if r.Backup.VM != "" {
			m.out.send(r.Backup.VM, &peerv1.Control{Kind: &peerv1.Control_Release{Release: query}})
		}
	}
}

// receiveInquiry bars releases of the owner's earlier epochs. The answer is
// given once a partner keeps the bar, as a takeover here must know it.
func (m *machine) receiveInquiry(t *tenure, from assignment.Holder, query *peerv1.Release) *peerv1.Control {
	bar := &peerv1.Release{Owner: query.Owner, Next: query.Next, OwnerEpoch: query.OwnerEpoch, Barred: true}
	if !containsRelease(t.accepted, bar) {
		t.accepted = append(t.accepted, bar)
		t.askers = append(t.askers, asker{vm: from.VM, bar: bar})
		m.post(t, &item{accepted: bar})
		return nil
	}
	waiting := slices.ContainsFunc(t.outbox, func(i *item) bool { return i.accepted != nil && sameRelease(i.accepted, bar) })
	if waiting {
		t.askers = append(t.askers, asker{vm: from.VM, bar: bar})
		return nil
	}
	return m.inquiryAck(t, bar)
}

// asker is a dispatcher that waits until a bar is kept.
type asker struct {
	vm  string
	bar *peerv1.Release
}

// barKept answers the inquiries that waited for a bar.
func (m *machine) barKept(t *tenure, bar *peerv1.Release) {
	for _, a := range t.askers {
		if sameRelease(a.bar, bar) {
			m.out.send(a.vm, m.inquiryAck(t, bar))
		}
	}
	t.askers = slices.DeleteFunc(t.askers, func(a asker) bool { return sameRelease(a.bar, bar) })
}

func (m *machine) inquiryAck(t *tenure, bar *peerv1.Release) *peerv1.Control {
	ack := &peerv1.ReleaseAck{
		Barred: true, Owner: bar.Owner, Next: t.target, OwnerEpoch: bar.OwnerEpoch,
		RecordVersion: m.record.versionOf(t.cell), Settled: m.settled(t),
	}
	for _, r := range t.accepted {
		if !r.Barred {
			ack.Known = append(ack.Known, r)
		}
	}
	for _, p := range t.releases {
		// What this VM knows from inquiries of its own may be out of date.
		if p.message.Owner == t.target {
			ack.Known = append(ack.Known, p.message)
		}
	}
	return &peerv1.Control{Kind: &peerv1.Control_ReleaseAck{ReleaseAck: ack}}
}

// settled reports whether this VM knows everything about the past of a target:
// nobody accepts a release made earlier, and no earlier grant is in force.
func (m *machine) settled(t *tenure) bool {
	barred := !slices.ContainsFunc(t.inquiries, func(i *inquiry) bool { return !i.barred })
	return barred && m.now >= t.grantsFrom && m.grantsKnown(t)
}

// grantsKnown reports whether a recovered target holds no grants of the past.
func (m *machine) grantsKnown(t *tenure) bool {
	g := &t.grants
	return !t.recovered || !m.record.targets[t.target].hold || g.confirmedNumber != 0 || g.state == targetLost
}

// receiveInquiryAck takes in what another dispatcher knows. Slices that were
// passed on are not granted here; the rest is granted at the recovery fence
// once every answer is there.
func (m *machine) receiveInquiryAck(ack *peerv1.ReleaseAck) {
	t := m.tenures[ack.Owner]
	if t == nil || t.epoch != ack.OwnerEpoch || m.olderThan(t.target, ack.RecordVersion) {
		return
	}
	for _, r := range ack.Known {
		known := slices.ContainsFunc(t.releases, func(p *pendingRelease) bool { return sameRelease(p.message, r) })
		if known || r.Next == t.target || m.record.shows(r) {
			continue
		}
		t.releases = append(t.releases, &pendingRelease{message: r, accepted: true})
		if r.Owner == t.target {
			m.post(t, &item{release: r})
		}
	}
	before := len(t.inquiries)
	for _, i := range t.inquiries {
		i.barred = i.barred || i.next == ack.Next
	}
	if ack.Settled {
		t.inquiries = slices.DeleteFunc(t.inquiries, func(i *inquiry) bool { return i.next == ack.Next })
	}
	if before > 0 && len(t.inquiries) == 0 {
		m.endRecovery(t)
	}
}

// endRecovery grants what nobody else holds, at the recovery fence: the lost
// knowledge may have included a grant at any lower one. The controller learns
// of the new fences as of releases from the target to itself.
func (m *machine) endRecovery(t *tenure) {
	r := m.record.rightsOf(t.target)
	remaining := m.record.ownedPieces(t.cell, t.target)
	for _, p := range t.releases {
		remaining = cutReleased(remaining, p)
	}
	for _, p := range remaining {
		if r != nil && r.RecoveryFence > p.fence {
			m.raise(t, p, r.RecoveryFence)
		}
	}
	m.refreshDesired(t)
}

// raise grants a piece at a higher fence ahead of the record.
func (m *machine) raise(t *tenure, p piece, fence uint64) {
	raised := &peerv1.Release{
		Slice: refOfSlice(t.cell, &p.slice), Owner: t.target, Fence: p.fence,
		Next: t.target, NextFence: fence, OwnerEpoch: t.epoch,
	}
	t.accepted = append(t.accepted, raised)
	m.post(t, &item{accepted: raised})
}

// reclaim takes back the slices of void releases, at the recovery fence: the
// next owner may have served them before its dispatchers were lost.
func (m *machine) reclaim(t *tenure) {
	r := m.record.rightsOf(t.target)
	for _, p := range slices.Clone(t.releases) {
		if !p.void || p.message.Owner != t.target || r == nil || r.RecoveryFence <= p.message.NextFence {
			continue
		}
		t.releases = slices.DeleteFunc(t.releases, func(other *pendingRelease) bool { return other == p })
		m.raise(t, piece{*sliceOf(p.message.Slice), p.message.Fence}, r.RecoveryFence)
		m.refreshDesired(t)
	}
}
