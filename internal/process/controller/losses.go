package controller

import (
	"context"
	"maps"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// PlatformPrefix is the prefix of the platform's list of VMs.
const PlatformPrefix = "platform/vms/"

const (
	// silenceFresh is how long a report of a silent VM counts.
	silenceFresh = 8 * time.Second
	// heardFresh is how long a VM's own report counts against one that calls it
	// silent, and against calls that it does not answer; VMs with rights report every
	// 5 s at least.
	heardFresh = 6 * time.Second
	// takeoverFresh is how long a superseded dispatcher is given no rights.
	takeoverFresh = 10 * time.Second
	// platformCheck is the interval between looks at the platform's list for
	// one suspected VM.
	platformCheck = 5 * time.Second
	// platformLag bounds the time after which the platform lists a live VM. A
	// VM that was never seen listed counts as gone only after it.
	platformLag = 30 * time.Second
	// goneAfter is the time from a VM's certain end until everything that it
	// had acknowledged has lapsed.
	goneAfter = timing.LeaseDuration + timing.DriftMargin
)

// losses tells which holders are suspected and which are gone for good.
//
// A suspicion costs a change of partners at most, since whoever is suspected
// wrongly hands over. Being gone lets a target start anew without a handover;
// it takes a restart under another incarnation, or absence from the platform's
// list while two of the three partners are suspected.
type losses struct {
	// unreachable reports whether a VM did not answer this VM's last call, while most do.
	unreachable func(vm string) bool
	heard       map[assignment.Holder]time.Time
	// silent holds, by VM, what others last said of its silence, by reporter.
	silent    map[string]map[string]silentReport
	takenOver map[assignment.Holder]time.Time
	goneSince map[assignment.Holder]time.Time
	platform  map[string]*platformEntry
}

// silentReport is the word of one VM that another is silent.
type silentReport struct {
	at time.Time
	// former is set once the reporter does not watch the VM any more. It stops calling
	// the VM silent then, which is no sign of life.
	former bool
}

// platformEntry is what the platform's list says of a suspected VM.
type platformEntry struct {
	seenListed  bool
	absentSince time.Time
	next        time.Time
	busy        bool
}

func newLosses(unreachable func(vm string) bool) losses {
	return losses{unreachable: unreachable, heard: map[assignment.Holder]time.Time{}, silent: map[string]map[string]silentReport{},
		takenOver: map[assignment.Holder]time.Time{}, goneSince: map[assignment.Holder]time.Time{},
		platform: map[string]*platformEntry{}}
}

// hear notes a sign of life and whom the sender calls silent. watches reports whether the
// record has the sender watch a VM.
func (l *losses) hear(from assignment.Holder, silent []string, watches func(vm string) bool, now time.Time) {
	l.heard[from] = now
	maps.DeleteFunc(l.silent[from.VM], func(_ string, r silentReport) bool { return r.former })
	for vm, reporters := range l.silent {
		maps.DeleteFunc(reporters, func(_ string, r silentReport) bool { return !r.counts(now) })
		if report, known := reporters[from.VM]; known && watches(vm) {
			delete(reporters, from.VM)
		} else if known {
			reporters[from.VM] = silentReport{at: report.at, former: true}
		}
		if len(reporters) == 0 {
			delete(l.silent, vm)
		}
	}
	for _, vm := range silent {
		if l.silent[vm] == nil {
			l.silent[vm] = map[string]silentReport{}
		}
		l.silent[vm][from.VM] = silentReport{at: now}
	}
}

// counts reports whether a report of a VM's silence still counts.
func (r silentReport) counts(now time.Time) bool {
	if r.former {
		return now.Sub(r.at) < heardFresh
	}
	return now.Sub(r.at) < silenceFresh
}

// takeOver notes that a dispatcher was superseded.
func (l *losses) takeOver(holder assignment.Holder, now time.Time) { l.takenOver[holder] = now }

// suspected reports whether a holder should be given no rights.
func (l *losses) suspected(holder assignment.Holder, now time.Time) bool {
	heard := l.heard[holder]
	if at, ok := l.takenOver[holder]; ok && now.Sub(at) < takeoverFresh && heard.Before(at) {
		return true
	}
	unheard := now.Sub(heard) >= heardFresh
	if unheard && l.unreachable(holder.VM) {
		return true
	}
	reporters := 0
	for _, report := range l.silent[holder.VM] {
		if report.counts(now) {
			reporters++
		}
	}
	return reporters >= 2 || reporters == 1 && unheard
}

// gone returns the holders that have been gone for longer than a lease.
func (l *losses) gone(now time.Time) []assignment.Holder {
	var gone []assignment.Holder
	for holder, since := range l.goneSince {
		if now.Sub(since) >= goneAfter {
			gone = append(gone, holder)
		}
	}
	return gone
}

// checkLosses looks for holders of the record that are gone for good. The
// platform is only asked of holders where two of three partners are lost.
func (c *cell) checkLosses(snapshot *routing.Snapshot, now time.Time) {
	ask := map[assignment.Holder]bool{}
	for i := range c.record.Targets {
		rights := &c.record.Targets[i]
		c.countLost(&rights.Partners, ask, snapshot, now)
		if rights.Previous != nil {
			c.countLost(rights.Previous, ask, snapshot, now)
		}
	}
	for holder, twoLost := range ask {
		vm, known := snapshot.VMs[holder.VM]
		switch {
		case known && vm.Incarnation != holder.Incarnation:
			c.markGone(holder, now, "restarted")
		case !twoLost || known && !c.losses.suspected(holder, now):
			delete(c.losses.goneSince, holder)
		default:
			c.askPlatform(holder, now)
		}
	}
	for holder := range c.losses.goneSince {
		if _, named := ask[holder]; !named {
			delete(c.losses.goneSince, holder)
		}
	}
}

// countLost notes for each partner of a target whether two of them are lost.
func (c *cell) countLost(p *assignment.Partners, ask map[assignment.Holder]bool, snapshot *routing.Snapshot, now time.Time) {
	lost := 0
	holders := []assignment.Holder{p.Dispatcher, p.Backup, p.Witness}
	for _, holder := range holders {
		if vm, known := snapshot.VMs[holder.VM]; !known || vm.Incarnation != holder.Incarnation || c.losses.suspected(holder, now) {
			lost++
		}
	}
	for _, holder := range holders {
		ask[holder] = ask[holder] || lost >= 2
	}
}

func (c *cell) markGone(holder assignment.Holder, now time.Time, reason string) {
	if _, known := c.losses.goneSince[holder]; known {
		return
	}
	c.losses.goneSince[holder] = now
	events.PartnersLost.Log(&c.owner.config.Logger).Str("cell", c.id).Str("vm", holder.VM).
		Str("incarnation", holder.Incarnation).Str("reason", reason).Send()
}

// askPlatform looks for a suspected VM in the platform's list.
func (c *cell) askPlatform(holder assignment.Holder, now time.Time) {
	entry := c.losses.platform[holder.VM]
	if entry == nil {
		entry = &platformEntry{}
		c.losses.platform[holder.VM] = entry
	}
	if entry.busy || now.Before(entry.next) {
		return
	}
	entry.busy, entry.next = true, now.Add(platformCheck)
	c.owner.call(func(ctx context.Context) func() {
		_, err := c.owner.config.Store.Get(ctx, PlatformPrefix+holder.VM)
		return func() {
			entry.busy = false
			c.platformAnswered(entry, holder, err)
		}
	})
}

func (c *cell) platformAnswered(entry *platformEntry, holder assignment.Holder, err error) {
	now := c.owner.now()
	switch {
	case err == nil:
		entry.seenListed, entry.absentSince = true, time.Time{}
		delete(c.losses.goneSince, holder)
		return
	case !fault.Is(err, fault.NotFound):
		return
	}
	if entry.absentSince.IsZero() {
		entry.absentSince = now
	}
	if entry.seenListed || now.Sub(entry.absentSince) >= platformLag {
		c.markGone(holder, now, "no longer in the platform's list")
	}
}
