package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

const (
	// lostAfter is the number of report intervals after which a change counts as lost
	// that a VM does not report. With the way of a report, a lost change is sent again
	// well within the 2 s after which a leaving target must get nothing any more.
	lostAfter = 2
	// listLostAfter is the same time for a whole list or a first configuration, which take
	// the link of a leader longer whose fleet starts at once.
	listLostAfter = 2 * time.Second
)

// deliveries are those of the parts of the state to one VM.
type deliveries struct{ config, targets, slices, members delivery }

// delivery follows a part on its way to a VM: what is sent may be lost with its session,
// and a difference does not fit a VM that has dropped what it had.
type delivery struct {
	// since is when a version was sent that the VM has not reported, or when it last
	// reported another one than before; zero if nothing is under way.
	since time.Time
	// whole is set if more than a change is under way.
	whole bool
	// reported is the version in the VM's last report.
	reported uint64
}

// begin notes that a version is sent.
func (d *delivery) begin(whole bool, now time.Time) {
	if d.since.IsZero() {
		d.since, d.whole = now, false
	}
	d.whole = d.whole || whole
}

// report takes in which version a VM has. sent is the one that was last sent, and
// becomes what the VM has if nothing is under way to it any more.
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

// reported takes in what a VM has by its report.
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
