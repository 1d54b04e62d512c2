package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// redirectDuration is how long a former dispatcher points to the next one: by
// then every entry has a record that names it.
const redirectDuration = 5 * time.Second

// formerRight is a right that was passed on.
type formerRight struct {
	cell   string
	pieces []piece
	// next dispatches to the target at epoch.
	next  string
	epoch uint64
	until time.Duration
}

// publishIfChanged gives the traffic side a new table.
func (m *machine) publishIfChanged() {
	m.endRedirects()
	if !m.changed {
		return
	}
	m.changed = false
	table := &rights.Table{Targets: map[string]*rights.Target{}, Redirects: map[string][]rights.Redirect{}}
	for _, t := range m.sortedTenures() {
		m.publishTarget(table, t)
		m.publishRedirects(table, t)
	}
	for _, target := range sortedKeys(m.former) {
		m.former[target].publish(table, target)
	}
	m.out.publish(table)
}

// endRedirects drops former rights that are long enough past.
func (m *machine) endRedirects() {
	for target, f := range m.former {
		if m.now >= f.until || m.tenures[target] != nil {
			delete(m.former, target)
			m.changed = true
		}
	}
}

// remember keeps pointing to the next dispatcher of a target.
func (m *machine) remember(t *tenure) {
	former := t.handedOver()
	former.until = m.now + redirectDuration
	m.former[t.target] = &former
}

// handedOver returns the right that the tenure passes on by its handover.
func (t *tenure) handedOver() formerRight {
	next := &t.handover.next
	return formerRight{cell: t.cell, pieces: t.grants.desired, next: next.Dispatcher.VM, epoch: next.Epoch}
}

func (f *formerRight) publish(table *rights.Table, target string) {
	for _, p := range f.pieces {
		redirect := rights.Redirect{Slice: p.slice, Target: target, Dispatcher: f.next, Fence: p.fence, Epoch: f.epoch}
		table.Redirects[f.cell] = append(table.Redirects[f.cell], redirect)
	}
}

// publishTarget adds the right to send to a target. Until the target has
// confirmed its grant, and during a handover, requests are held.
func (m *machine) publishTarget(table *rights.Table, t *tenure) {
	usable := t.phase == holding && !t.grants.deposed && len(t.inquiries) == 0 && m.now >= t.grantsFrom
	if !usable && (t.phase == passing || m.now >= t.pauseUntil) {
		return
	}
	info := m.record.targets[t.target]
	if !usable && info.free {
		return
	}
	published := &rights.Target{
		Name: t.target, Cell: t.cell, Epoch: t.epoch, Lease: t.lease,
		Free: info.free, Leaving: info.leaving, LeavingSince: m.leavingSince[t.target],
	}
	if !usable {
		// Requests are held, not sent: after a recovery the lease of the
		// earlier epoch may still run.
		published.Lease = &rights.Lease{}
		published.Lease.Revoke()
	}
	if !info.free {
		published.Slices = m.heldSlices(t)
	}
	table.Targets[t.target] = published
}

// heldSlices returns the desired pieces, held while they are not confirmed. The
// unconfirmed ones of a target that does not answer are left out, so that their
// requests are refused at once.
func (m *machine) heldSlices(t *tenure) []rights.Held {
	var held []rights.Held
	for _, p := range t.grants.desired {
		confirmed := t.phase == holding && slices.ContainsFunc(t.grants.confirmed, func(c piece) bool { return p.within(&c) })
		if !confirmed && t.grants.state != targetAlive && m.now >= t.pauseUntil {
			continue
		}
		held = append(held, rights.Held{Slice: p.slice, Fence: p.fence, Paused: !confirmed || t.withdrawing(&p.slice)})
	}
	held = append(held, t.passingSlices(m.now)...)
	slices.SortStableFunc(held, func(a, b rights.Held) int {
		if (a.Slice.Key != "") != (b.Slice.Key != "") {
			if a.Slice.Key != "" {
				return 1
			}
			return -1
		}
		if a.Slice.First < b.Slice.First {
			return -1
		}
		return 1
	})
	return held
}

// passingSlices returns the pieces that have left the target's set but that the
// next owner's dispatcher has not accepted yet. Their requests are held, for a
// short time, since a redirect would come too early.
func (t *tenure) passingSlices(now time.Duration) []rights.Held {
	var held []rights.Held
	for _, w := range t.withdrawals {
		if w.out {
			held = append(held, rights.Held{Slice: w.piece.slice, Fence: w.piece.fence, Paused: true})
		}
	}
	if now >= t.pauseUntil {
		return held
	}
	for _, p := range t.releases {
		if !p.accepted && p.refusal == "" {
			held = append(held, rights.Held{Slice: *sliceOf(p.message.Slice), Fence: p.message.Fence, Paused: true})
		}
	}
	return held
}

// publishRedirects tells where released slices are served now.
func (m *machine) publishRedirects(table *rights.Table, t *tenure) {
	if t.phase == passing && !m.isSelf(t.handover.next.Dispatcher) {
		former := t.handedOver()
		former.publish(table, t.target)
	}
	for _, p := range t.releases {
		next := m.record.rightsOf(p.message.Next)
		if !p.kept || next == nil || !p.accepted && p.refusal == "" && m.now < t.pauseUntil {
			continue
		}
		redirect := rights.Redirect{Slice: *sliceOf(p.message.Slice), Target: p.message.Next, Dispatcher: next.Dispatcher.VM, Fence: p.message.NextFence, Epoch: next.Epoch}
		table.Redirects[t.cell] = append(table.Redirects[t.cell], redirect)
	}
}
