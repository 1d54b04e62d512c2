package permits

import (
	"maps"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// doubts holds the targets that this VM has to take for cold when it decides without the
// broker: they may have restarted unseen since the last view. The leader would notice, and
// its broker spare them, but while there is none, orders of the former leader may still
// reach the new process, which then serves its keys at once. A doubt ends when the target
// would be warm.
type doubts map[fleet.Life]time.Time

// mayHaveEnded reports whether the result of a request leaves open whether the target's
// process still runs. An answer shows that it does, except that the target does not own the
// key: the next process does not either.
func mayHaveEnded(result admission.Result) bool {
	switch result {
	case admission.Broken, admission.Refused, admission.Unreachable, admission.Timeout, admission.NotOwner:
		return true
	}
	return false
}

// add records a doubt about a target that ends at a time, and drops those that have ended.
func (d doubts) add(life fleet.Life, until, now time.Time) {
	maps.DeleteFunc(d, func(_ fleet.Life, until time.Time) bool { return !now.Before(until) })
	if until.After(d[life]) {
		d[life] = until
	}
}

// about reports whether there is a doubt about a target.
func (d doubts) about(life fleet.Life, now time.Time) bool { return now.Before(d[life]) }

// doubt records that a target may have restarted unseen, as of the time given.
func (d *Desk) doubt(life fleet.Life, arose time.Time) {
	view := d.config.View()
	t := view.Targets[life.ID]
	if view.Config == nil || t == nil {
		return
	}
	if service := view.Config.Service(t.Service); service != nil {
		d.locked(func() { d.doubts.add(life, arose.Add(service.Cold), time.Now()) })
	}
}

// doubtful reports whether there is a doubt about a target.
func (d *Desk) doubtful(life fleet.Life, now time.Time) (doubtful bool) {
	d.locked(func() { doubtful = d.doubts.about(life, now) })
	return doubtful
}

// lostContact reports whether the target that this VM has chosen without the broker may
// have restarted, because all connections to it were lost. It records that.
func (d *Desk) lostContact(life fleet.Life) bool {
	if d.config.ContactLost == nil {
		return false
	}
	at := d.config.ContactLost(life)
	if at.IsZero() {
		return false
	}
	d.doubt(life, at)
	return d.doubtful(life, time.Now())
}
