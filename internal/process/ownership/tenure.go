package ownership

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// phase is the state of a tenure.
type phase int

const (
	// holding: this VM has the dispatch right; it may act while its lease is valid.
	holding phase = iota
	// closing: this VM has stopped for good at this epoch and waits until a
	// partner keeps the handover, so that the backup cannot take over.
	closing
	// passing: the handover is closed and sent to the next dispatcher until accepted.
	passing
	// receiving: a handover has arrived and waits until a partner keeps it.
	receiving
)

// tenure is the right of this VM to dispatch to one target at one epoch.
type tenure struct {
	target   string
	cell     string
	epoch    uint64
	partners assignment.Partners
	// acting is set after a takeover: this VM is the backup and only the
	// witness renews its lease.
	acting bool
	phase  phase

	lease *rights.Lease
	// leaseEnd is the end of the lease; renewedAt is when the heartbeat that
	// last renewed it was sent.
	leaseEnd  time.Duration
	renewedAt time.Duration
	// grantsFrom is the earliest time of a grant.
	grantsFrom time.Duration
	since      time.Duration
	// pauseUntil is how long requests are held during a handover.
	pauseUntil time.Duration

	// outbox holds what a partner has to keep before this VM may act on it.
	outbox   []*item
	releases []*pendingRelease
	accepted []*peerv1.Release

	withdrawals []*withdrawal
	// postponed holds the times at which postponed moves are tried again.
	postponed map[assignment.Slice]time.Duration
	grants    grants
	// inherited counts the requests that an earlier dispatcher still has in flight.
	inherited     int
	inheritedAt   time.Duration
	inheritedFrom assignment.Holder
	// inquiries are the releases whose fate has to be known before their
	// slices are granted.
	inquiries []*inquiry
	// unknownPast is set when this VM did not act at the epoch and cannot tell
	// what others did.
	unknownPast bool
	// recovered is set when the tenure began without a complete handover.
	recovered bool
	askers    []asker
	handover  *handoverState
}

// newTenure begins a tenure in phase holding, without a lease.
func (m *machine) newTenure(cell string, r *assignment.Rights) *tenure {
	t := &tenure{
		target: r.Target, cell: cell, epoch: r.Epoch, partners: r.Partners,
		postponed: map[assignment.Slice]time.Duration{},
		lease:     &rights.Lease{}, since: m.now, renewedAt: m.now, grantsFrom: m.now,
	}
	t.grants.state = targetUnknown
	t.grants.next = m.now
	m.tenures[r.Target] = t
	m.changed = true
	return t
}

// drop ends a tenure at once.
func (m *machine) drop(t *tenure, reason string) {
	t.lease.Revoke()
	delete(m.tenures, t.target)
	m.changed = true
	m.out.decide(decision{kind: tenureEnded, target: t.target, epoch: t.epoch, reason: reason})
}

// leaseValid reports whether this VM may act for the target now.
func (t *tenure) leaseValid(now time.Duration) bool {
	return t.phase == holding && now < t.leaseEnd
}

// ref names the tenure in messages.
func (t *tenure) ref() targetEpoch { return targetEpoch{t.target, t.epoch} }

// usesBackup reports whether a holder renews the lease as backup.
func (t *tenure) usesBackup(h assignment.Holder) bool {
	return !t.acting && t.partners.Backup == h
}

// usesWitness reports whether a holder renews the lease as witness.
func (t *tenure) usesWitness(h assignment.Holder) bool { return t.partners.Witness == h }
