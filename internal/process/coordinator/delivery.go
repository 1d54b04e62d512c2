package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

const (
	// changeLostIntervals is the number of report intervals after which a change that a
	// VM has not reported counts as lost. Including the delay of a report, a lost change
	// is sent again well within the 2 s after which a leaving target must get no more
	// requests.
	changeLostIntervals = 2
	// listLostAfter is the corresponding time for a full list or a first configuration.
	// These occupy the leader's link for longer when the whole fleet starts at once.
	listLostAfter = 2 * time.Second
)

// deliveries tracks the delivery of each part of the leader's state to one VM.
type deliveries struct{ config, targets, slices, members delivery }

// delivery tracks which version of a part a VM has. Messages may be lost together with
// their session, and a diff cannot be applied by a VM that has dropped its base.
type delivery struct {
	// pendingSince is when the first of the versions in flight was sent, or when the VM last
	// reported progress if that was later; zero if nothing is in flight.
	pendingSince time.Time
	// full is set if a full list or a first configuration is in flight.
	full bool
	// reported is the version in the VM's last report.
	reported uint64
}

// markSent records that a version is sent. full is set for a full list or a first
// configuration.
func (d *delivery) markSent(full bool, now time.Time) {
	if d.pendingSince.IsZero() {
		d.pendingSince, d.full = now, false
	}
	d.full = d.full || full
}

// update records the version that a VM has. sent is the version that was last sent to it.
// It is set to the VM's version if nothing is in flight, or if what was in flight counts as
// lost, so that the missing changes are sent again. A change counts as lost after changeLost
// without progress, a full list after listLostAfter.
func (d *delivery) update(sent *uint64, have uint64, changeLost time.Duration, now time.Time) {
	advanced := have != d.reported
	d.reported = have
	limit := changeLost
	if d.full {
		limit = listLostAfter
	}
	switch {
	case have == *sent:
		d.pendingSince = time.Time{}
	case d.pendingSince.IsZero():
		*sent = have
	case advanced:
		d.pendingSince = now
	case now.Sub(d.pendingSince) > limit:
		*sent, d.pendingSince = have, time.Time{}
	}
}

// updateDeliveries updates the deliveries with the versions that a VM has reported. interval
// is the interval of its reports.
func (m *member) updateDeliveries(have *peerv1.PartVersions, interval time.Duration, now time.Time) {
	if m.sentVersions == nil {
		m.sentVersions = &peerv1.PartVersions{
			Config: have.GetConfig(), Targets: have.GetTargets(), Slices: have.GetSlices(), Members: have.GetMembers(),
		}
	}
	lost := changeLostIntervals * interval
	m.deliveries.config.update(&m.sentVersions.Config, have.GetConfig(), lost, now)
	m.deliveries.targets.update(&m.sentVersions.Targets, have.GetTargets(), lost, now)
	m.deliveries.slices.update(&m.sentVersions.Slices, have.GetSlices(), lost, now)
	m.deliveries.members.update(&m.sentVersions.Members, have.GetMembers(), lost, now)
}
