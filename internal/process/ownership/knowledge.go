package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// knowledge is what this VM keeps of one target as a partner of its
// dispatcher, so that a takeover knows it.
type knowledge struct {
	releases  []*peerv1.Release
	accepted  []*peerv1.Release
	handovers []*peerv1.Handover
	// handoverKept is when the last of the handovers was first kept. The dispatcher before
	// had stopped by then.
	handoverKept time.Duration
}

// handedOn reports whether the right of an epoch was passed on. A nil receiver
// knows of nothing.
func (k *knowledge) handedOn(epoch uint64) bool {
	return k != nil && slices.ContainsFunc(k.handovers, func(h *peerv1.Handover) bool { return h.Epoch == epoch })
}

// handedTo reports whether the right was passed to an epoch.
func (k *knowledge) handedTo(epoch uint64) bool {
	return k != nil && slices.ContainsFunc(k.handovers, func(h *peerv1.Handover) bool { return h.NextEpoch == epoch })
}

// complete reports whether a handover to an epoch named every release.
func (k *knowledge) complete(epoch uint64) bool {
	return k != nil && slices.ContainsFunc(k.handovers, func(h *peerv1.Handover) bool {
		return h.NextEpoch == epoch && !needsRecovery(h)
	})
}

// versionNeeded returns the record version without which the handovers to an
// epoch do not tell the whole state. A nil receiver needs none.
func (k *knowledge) versionNeeded(epoch uint64) int64 {
	var version int64
	if k == nil {
		return version
	}
	for _, h := range k.handovers {
		if h.NextEpoch == epoch {
			version = max(version, h.RecordVersion)
		}
	}
	return version
}

// grantsBeforeEnd returns when every grant made before a handover to the epoch has
// ended, zero if none is kept.
func (k *knowledge) grantsBeforeEnd(epoch uint64) time.Duration {
	if !k.handedTo(epoch) {
		return 0
	}
	return k.handoverKept + timing.LeaseDuration
}

// appendTo adds everything kept to a promise.
func (k *knowledge) appendTo(promise *peerv1.Promise) {
	if k == nil {
		return
	}
	promise.Releases = append(promise.Releases, k.releases...)
	promise.Accepted = append(promise.Accepted, k.accepted...)
	promise.Handovers = append(promise.Handovers, k.handovers...)
}

// keep stores what a heartbeat carries, except for targets whose right the
// sender may have lost: those are in the list of barred ones, and the sender
// does not count this acknowledgement for them.
func (m *machine) keep(heartbeat *peerv1.Heartbeat, refused []*peerv1.TargetEpoch) {
	barred := map[string]bool{}
	for _, carrying := range heartbeat.Carrying {
		barred[carrying.Target] = slices.ContainsFunc(refused, func(r *peerv1.TargetEpoch) bool { return refOf(r) == refOf(carrying) })
	}
	for _, r := range heartbeat.Releases {
		if !barred[r.Owner] {
			m.keepRelease(r.Owner, r)
		}
	}
	for _, r := range heartbeat.Accepted {
		if !barred[r.Next] {
			m.keepAccepted(r)
		}
	}
	for _, h := range heartbeat.Handovers {
		if !barred[h.Target] {
			m.keepHandover(h)
		}
	}
}

// keepPromised stores what the witness knew of a target.
func (m *machine) keepPromised(target string, promise *peerv1.Promise) {
	for _, r := range promise.Releases {
		m.keepRelease(target, r)
	}
	for _, r := range promise.Accepted {
		m.keepAccepted(r)
	}
	for _, h := range promise.Handovers {
		m.keepHandover(h)
	}
}

func (m *machine) knowledgeOf(target string) *knowledge {
	if m.kept[target] == nil {
		m.kept[target] = &knowledge{}
	}
	return m.kept[target]
}

// keepRelease stores a release that concerns a target: its own, or one of
// another owner that its dispatcher has learnt of.
func (m *machine) keepRelease(target string, r *peerv1.Release) {
	k := m.knowledgeOf(target)
	if !m.record.shows(r) && !containsRelease(k.releases, r) {
		k.releases = append(k.releases, r)
	}
}

func (m *machine) keepAccepted(r *peerv1.Release) {
	k := m.knowledgeOf(r.Next)
	if !m.record.shows(r) && !containsRelease(k.accepted, r) {
		k.accepted = append(k.accepted, r)
	}
}

// keepHandover stores a handover with the releases in it. The backup of the
// next epoch watches the next dispatcher from now on.
func (m *machine) keepHandover(h *peerv1.Handover) {
	k := m.knowledgeOf(h.Target)
	if k.handedOn(h.Epoch) && k.handedTo(h.NextEpoch) {
		return
	}
	k.handovers = append(k.handovers, h)
	k.handoverKept = m.now
	for _, r := range h.Releases {
		m.keepRelease(h.Target, r)
	}
	for _, r := range h.Accepted {
		m.keepAccepted(r)
	}
	if g := m.guards[targetEpoch{h.Target, h.NextEpoch}]; g != nil {
		g.lastSign = m.now
	}
}

// dropShown forgets what the record of a cell shows now.
func (m *machine) dropShown(cell string) {
	for target, k := range m.kept {
		k.releases = slices.DeleteFunc(k.releases, m.record.shows)
		k.accepted = slices.DeleteFunc(k.accepted, m.record.shows)
		k.handovers = slices.DeleteFunc(k.handovers, func(h *peerv1.Handover) bool {
			r := m.record.rightsOf(target)
			return r == nil && m.record.targets[target].cell == cell || r != nil && h.NextEpoch < r.Epoch && (r.Previous == nil || h.NextEpoch < r.PreviousEpoch)
		})
	}
	for _, t := range m.tenures {
		if t.cell != cell {
			continue
		}
		t.releases = slices.DeleteFunc(t.releases, func(p *pendingRelease) bool { return m.record.shows(p.message) })
		t.accepted = slices.DeleteFunc(t.accepted, m.record.shows)
	}
}

func containsRelease(list []*peerv1.Release, r *peerv1.Release) bool {
	return slices.ContainsFunc(list, func(other *peerv1.Release) bool { return sameRelease(other, r) })
}

// sameRelease reports whether two messages are about one passage of one slice.
func sameRelease(a, b *peerv1.Release) bool {
	if a.Barred || b.Barred {
		return a.Barred && b.Barred && a.Owner == b.Owner && a.Next == b.Next && a.OwnerEpoch == b.OwnerEpoch
	}
	return sameSlice(a.Slice, b.Slice) && a.NextFence == b.NextFence && a.Next == b.Next
}

func sameSlice(a, b *peerv1.SliceRef) bool {
	return a.GetCell() == b.GetCell() && a.GetFirst() == b.GetFirst() && a.GetLast() == b.GetLast() && a.GetKey() == b.GetKey()
}
