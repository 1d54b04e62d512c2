package ownership

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// Reasons for which a release is refused.
const (
	reasonNotDispatcher = "not the dispatcher of the next owner"
	reasonNextNotAlive  = "the next owner is not alive"
	reasonBarred        = "releases of that epoch are barred"
)

// receiveRelease accepts a slice for a target of this VM. It is idempotent.
func (m *machine) receiveRelease(from assignment.Holder, r *peerv1.Release) *peerv1.Control {
	if !m.record.seen {
		return nil
	}
	t := m.tenures[r.Next]
	if t == nil || !t.leaseValid(m.now) {
		return releaseAck(r, false, reasonNotDispatcher)
	}
	if r.Query {
		return m.receiveInquiry(t, from, r)
	}
	switch {
	case m.record.shows(r), t.holdsBy(r), t.passedOn(r):
		return releaseAck(r, true, "")
	case t.bars(r):
		return m.refuseBarred(t, r)
	case t.grants.state != targetAlive && !r.Insist:
		return releaseAck(r, false, reasonNextNotAlive)
	}
	m.accept(t, r)
	return releaseAck(r, true, "")
}

// refuseBarred tells that a release is void, once this VM knows that none of
// its predecessors accepted it and passed it on.
func (m *machine) refuseBarred(t *tenure, r *peerv1.Release) *peerv1.Control {
	refusal := releaseAck(r, false, reasonBarred)
	refusal.GetReleaseAck().Barred = len(t.inquiries) == 0
	return refusal
}

// accept takes over a slice ahead of the record.
func (m *machine) accept(t *tenure, r *peerv1.Release) {
	t.forgetReleases(sliceOf(r.Slice))
	t.accepted = append(t.accepted, r)
	m.out.decide(decision{kind: acceptedRelease, target: t.target, epoch: t.epoch, slice: r.Slice, fence: r.NextFence, owner: r.Owner})
	m.post(t, &item{accepted: r})
	m.refreshDesired(t)
}

// holdsBy reports whether the slice is held by this release or a later one.
func (t *tenure) holdsBy(r *peerv1.Release) bool {
	slice := sliceOf(r.Slice)
	return slices.ContainsFunc(t.accepted, func(held *peerv1.Release) bool {
		return sameRelease(held, r) || !held.Barred && held.NextFence > r.NextFence && overlap(sliceOf(held.Slice), slice)
	})
}

// passedOn reports whether the slice was accepted earlier and released again.
func (t *tenure) passedOn(r *peerv1.Release) bool {
	slice := sliceOf(r.Slice)
	return slices.ContainsFunc(t.releases, func(p *pendingRelease) bool {
		return p.message.NextFence >= r.NextFence && overlap(sliceOf(p.message.Slice), slice)
	})
}

// bars reports whether an inquiry has barred the release.
func (t *tenure) bars(r *peerv1.Release) bool {
	return slices.ContainsFunc(t.accepted, func(kept *peerv1.Release) bool {
		return kept.Barred && kept.Owner == r.Owner && r.OwnerEpoch < kept.OwnerEpoch
	})
}

// forgetReleases ends earlier releases of a slice that has come back.
func (t *tenure) forgetReleases(returned *assignment.Slice) {
	var rest []*pendingRelease
	for _, p := range t.releases {
		parts := cut(*sliceOf(p.message.Slice), returned)
		for i := range parts {
			rest = append(rest, p.part(&parts[i]))
		}
	}
	t.releases = rest
}

// part returns the pending release of a part of its slice.
func (p *pendingRelease) part(s *assignment.Slice) *pendingRelease {
	ref := refOfSlice(p.message.Slice.Cell, s)
	if sameSlice(ref, p.message.Slice) {
		return p
	}
	part := *p
	part.message = &peerv1.Release{
		Slice: ref, Owner: p.message.Owner, Fence: p.message.Fence, Next: p.message.Next,
		NextFence: p.message.NextFence, RecordVersion: p.message.RecordVersion, OwnerEpoch: p.message.OwnerEpoch,
	}
	return &part
}

func releaseAck(r *peerv1.Release, accepted bool, reason string) *peerv1.Control {
	ack := &peerv1.ReleaseAck{Slice: r.Slice, NextFence: r.NextFence, Accepted: accepted, Reason: reason}
	return &peerv1.Control{Kind: &peerv1.Control_ReleaseAck{ReleaseAck: ack}}
}
