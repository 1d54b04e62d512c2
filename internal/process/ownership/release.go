package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
	"google.golang.org/protobuf/proto"
)

// acceptedRepeat is the interval at which an accepted release is repeated
// until the record shows it: the dispatcher that accepted it may be lost.
const acceptedRepeat = time.Second

// pendingRelease is a slice that this VM has passed on for good and the record
// does not show yet. Its owner is never granted the slice again.
type pendingRelease struct {
	message *peerv1.Release
	// kept is set once a partner keeps the release; it is not sent before.
	kept     bool
	accepted bool
	// void is set when the receiver has barred the release: nobody holds the
	// slice, or will, by it.
	void bool
	// refusal is the receiver's reason, empty while it has not refused.
	refusal  string
	nextSend time.Duration
}

func pendingFrom(messages []*peerv1.Release) []*pendingRelease {
	var pending []*pendingRelease
	for _, message := range messages {
		pending = append(pending, &pendingRelease{message: message, kept: true})
	}
	return pending
}

// makeRelease passes a slice on: from here on it is not granted again at its fence.
func (m *machine) makeRelease(t *tenure, w *withdrawal) {
	message := &peerv1.Release{
		Slice: refOfSlice(t.cell, &w.piece.slice), Owner: t.target, Fence: w.piece.fence,
		Next: w.next, NextFence: w.nextFence,
		RecordVersion: m.record.cells[t.cell].version, OwnerEpoch: t.epoch,
	}
	t.accepted = slices.DeleteFunc(t.accepted, func(r *peerv1.Release) bool {
		return !r.Barred && sameSlice(r.Slice, message.Slice) && r.NextFence <= message.Fence && m.record.shows(r)
	})
	t.releases = append(t.releases, &pendingRelease{message: message})
	t.pauseUntil = m.now + handoverPause
	m.out.decide(decision{kind: released, target: t.target, epoch: t.epoch, slice: message.Slice, fence: message.Fence, next: w.next, nextFence: w.nextFence, loss: w.loss})
	m.post(t, &item{release: message})
}

// releaseKept sends a release once a partner keeps it.
func (m *machine) releaseKept(t *tenure, message *peerv1.Release) {
	for _, p := range t.releases {
		if sameRelease(p.message, message) {
			p.kept = true
		}
	}
	m.changed = true
	m.repeatReleases(t)
}

// repeatReleases sends every kept release of the target until the record shows
// it. Those of other owners are theirs to send.
func (m *machine) repeatReleases(t *tenure) {
	for _, p := range t.releases {
		if p.kept && p.message.Owner == t.target && m.now >= p.nextSend {
			m.sendRelease(t, p)
		}
	}
}

func (m *machine) sendRelease(t *tenure, p *pendingRelease) {
	first := p.nextSend == 0
	p.nextSend = m.now + timing.RenewalInterval
	if p.accepted {
		p.nextSend = m.now + acceptedRepeat
	}
	r := m.record.rightsOf(p.message.Next)
	if r == nil {
		return
	}
	message := m.withInsistence(t, p)
	m.out.send(r.Dispatcher.VM, message)
	if !first && r.Backup.VM != "" {
		m.out.send(r.Backup.VM, message)
	}
}

// withInsistence asks for acceptance by a lost next owner if the record has
// named another next owner meanwhile: the right can only get there through the
// dispatcher that it was released to.
func (m *machine) withInsistence(t *tenure, p *pendingRelease) *peerv1.Control {
	message := p.message
	recorded := m.record.recorded(t.cell, sliceOf(message.Slice))
	if recorded != nil && recorded.NextFence > message.NextFence {
		message = proto.Clone(message).(*peerv1.Release)
		message.Insist = true
	}
	return &peerv1.Control{Kind: &peerv1.Control_Release{Release: message}}
}

// receiveReleaseAck notes the fate of a release, or the answer to an inquiry.
func (m *machine) receiveReleaseAck(ack *peerv1.ReleaseAck) {
	if ack.OwnerEpoch != 0 {
		m.receiveInquiryAck(ack)
		return
	}
	for _, t := range m.sortedTenures() {
		for _, p := range t.releases {
			if p.message.NextFence == ack.NextFence && sameSlice(p.message.Slice, ack.Slice) {
				p.noteAck(ack)
				m.changed = true
			}
		}
	}
}

func (p *pendingRelease) noteAck(ack *peerv1.ReleaseAck) {
	if ack.Accepted {
		p.accepted, p.refusal = true, ""
		return
	}
	if ack.Barred && p.message.Owner != p.message.Next {
		p.void, p.accepted = true, false
	}
	if !p.accepted {
		p.refusal = ack.Reason
	}
}
