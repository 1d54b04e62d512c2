package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

const (
	// lostAfter is the number of report intervals after which a change that a VM has
	// not reported counts as lost. Including the delay of a report, a lost change is
	// sent again well within the 2 s after which a leaving target must get no more
	// requests.
	lostAfter = 2
	// listLostAfter is the corresponding time for a full list or a first configuration.
	// These occupy the leader's link for longer when the whole fleet starts at once.
	listLostAfter = 2 * time.Second
)

// deliveries tracks the delivery of each part of the leader's state to one VM.
type deliveries struct{ config, targets, slices, members delivery }

// delivery tracks which version of a part a VM has. Messages may be lost together with
// their session, and a difference cannot be applied by a VM that has dropped its base.
type delivery struct {
	// since is when the first of the versions in flight was sent, or when the VM last
	// reported progress if that was later; zero if nothing is in flight.
	since time.Time
	// whole is set if a full list or a first configuration is in flight.
	whole bool
	// reported is the version in the VM's last report.
	reported uint64
}

// begin records that a version is sent. whole is set if it is not just a change.
func (d *delivery) begin(whole bool, now time.Time) {
	if d.since.IsZero() {
		d.since, d.whole = now, false
	}
	d.whole = d.whole || whole
}

// report records the version that a VM has. sent is the version that was last sent to it.
// It is set to the VM's version if nothing is in flight or what was is lost, so that the
// missing changes are sent again. A change counts as lost after changeLost.
func (d *delivery) report(sent *uint64, have uint64, changeLost time.Duration, now time.Time) {
	advanced := have != d.reported
	d.reported = have
	limit := changeLost
	if d.whole {
		limit = listLostAfter
	}
	switch {
	case have == *sent:
		d.since = time.Time{}
	case d.since.IsZero():
		*sent = have
	case advanced:
		d.since = now
	case now.Sub(d.since) > limit:
		*sent, d.since = have, time.Time{}
	}
}

// reported updates the deliveries with the versions that a VM has reported. interval is
// the interval of its reports.
func (m *member) reported(have *peerv1.PartVersions, interval time.Duration, now time.Time) {
	if m.sent == nil {
		m.sent = &peerv1.PartVersions{
			Config: have.GetConfig(), Targets: have.GetTargets(), Slices: have.GetSlices(), Members: have.GetMembers(),
		}
	}
	lost := lostAfter * interval
	m.deliveries.config.report(&m.sent.Config, have.GetConfig(), lost, now)
	m.deliveries.targets.report(&m.sent.Targets, have.GetTargets(), lost, now)
	m.deliveries.slices.report(&m.sent.Slices, have.GetSlices(), lost, now)
	m.deliveries.members.report(&m.sent.Members, have.GetMembers(), lost, now)
}
