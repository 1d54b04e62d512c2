package coordinator

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// silentAfter is the time without a word of the leader after which a VM looks
	// for another: three heartbeats.
	silentAfter = 800 * time.Millisecond
	// aloneAfter is the time for which the record stays as it is after which a VM
	// that hears nobody takes over: a leader that reaches the store writes it
	// every 0.6 s.
	aloneAfter = 3500 * time.Millisecond
	// staleAfter is the same if other VMs do not hear the leader either: two of its
	// writes are missing.
	staleAfter = 1300 * time.Millisecond
	// storeBackGrace is the time after the return of the store to a VM in which a
	// leader that had lost it too is expected to find it again: a write that
	// hangs, and the pause after it.
	storeBackGrace = 2 * time.Second
	// hearingShare is the part, one in so many, of the VMs that answer which has to
	// hear a leader for it to stay.
	hearingShare = 3
	// rankStep spreads the first VMs that look for a leader, so that one is done
	// before the next reads the store; lateStep spreads those after firstRanks.
	rankStep   = 40 * time.Millisecond
	lateStep   = 10 * time.Millisecond
	firstRanks = 10
	// smallDelay is how much later a VM looks that others outrank: time for
	// several of those to look first.
	smallDelay = 500 * time.Millisecond
	// outrankedBy is how much more processor another VM has to have, at least, for
	// it to lead instead.
	outrankedBy = 2
	// settledAfter is how long a VM must have followed before the lead is left to it.
	settledAfter = 3 * time.Second
	// startSpread and startSmall bound the delay of a VM that knows no others.
	startSpread = 100 * time.Millisecond
	startSmall  = 200 * time.Millisecond
	// lookMin and lookMax bound the pause between two reads of the record.
	lookMin = 150 * time.Millisecond
	lookMax = 900 * time.Millisecond
)

// evidence is what a VM knows about a leader that it does not hear.
type evidence struct {
	// ended is set if the leader's process is gone: another incarnation answers in
	// its place (replaced), or its port is closed by the word of VMs near it.
	ended, replaced bool
	// yielding is set if the leader has said that it is stopping or cannot
	// reach the store.
	yielding bool
	// storeBack is set if the leader yields for want of the store alone and this
	// VM has been without it until lately.
	storeBack bool
	// known counts the other VMs. Of those asked, some answered, and of these some
	// are deaf: they do not hear the leader either. dead are those whose port
	// refused the question.
	known, asked, answered, deaf, dead int
	// silentFor is how long the leader has not been heard.
	silentFor time.Duration
	// written is set if the leader has written the record since it was heard.
	written bool
	// unchangedFor is how long the record has been seen unchanged.
	unchangedFor time.Duration
}

// mayTakeOver decides whether a VM that has read an unchanged record becomes
// the leader. A leader that only a part of the VMs cannot hear is left in place:
// VMs that are cut off together must not take the lead from the others.
func mayTakeOver(e evidence) (bool, string) {
	hearing := e.answered - e.deaf
	switch {
	case e.yielding && e.storeBack:
		return false, "store-is-back"
	case e.yielding:
		return true, "leader-yields"
	case hearing > 0 && hearingShare*hearing >= e.answered:
		return false, "others-hear"
	case e.ended:
		return true, "process-ended"
	case e.silentFor < silentAfter:
		return false, "heard"
	case e.asked > 0 && 2*(e.deaf+1) > e.voters():
		return true, "most-do-not-hear"
	case e.answered > 0 && e.unchangedFor >= staleAfter, e.unchangedFor >= aloneAfter:
		return true, "record-unchanged"
	}
	return false, "too-early"
}

// voters is the number of VMs, with this one, of which most must not hear the
// leader. VMs whose port refuses questions count as lost together with the
// leader, unless that writes the record: then it is this VM that is cut off.
func (e *evidence) voters() int {
	if e.written {
		return e.asked + 1
	}
	return e.asked - e.dead + 1
}

// rankDelay is how long a VM waits before it looks for a new leader. A leader
// takes the reports of all VMs and gives out all permits, so those with more
// processor come first; equal ones are in an order that changes with the term.
func rankDelay(self fleet.Member, view *fleet.View) time.Duration {
	if len(view.Members) <= 1 {
		return startDelay(self)
	}
	ahead, small := 0, false
	for vm, m := range view.Members {
		if vm == self.VM || vm == view.Leader.VM {
			continue
		}
		small = small || outranks(m, self)
		if ranksBefore(m, self, view.Term) {
			ahead++
		}
	}
	delay := time.Duration(min(ahead, firstRanks))*rankStep + time.Duration(max(ahead-firstRanks, 0))*lateStep
	if small {
		delay += smallDelay
	}
	return delay
}

// startDelay is rankDelay for a VM that knows no others yet.
func startDelay(self fleet.Member) time.Duration {
	share := min(float64(self.Processor)/fleet.WholeCore, 1)
	spread := float64(xxh3.HashString(self.VM)%10) / 10
	return time.Duration(spread*float64(startSpread) + (1-share)*float64(startSmall))
}

// ranksBefore reports whether one VM looks for a leader before another.
func ranksBefore(a, b fleet.Member, term uint64) bool {
	if a.Processor != b.Processor {
		return a.Processor > b.Processor
	}
	first, second := xxh3.HashStringSeed(a.VM, term), xxh3.HashStringSeed(b.VM, term)
	return first < second || first == second && a.VM < b.VM
}

// outranks reports whether a VM should lead rather than another.
func outranks(a, b fleet.Member) bool {
	return a.Processor > 0 && a.Processor >= outrankedBy*b.Processor
}

// isOutranked reports whether the lead is to be left to a VM that can do more and
// has followed for a while.
func (l *leadership) isOutranked(now time.Time) bool {
	if now.Sub(l.since) < settledAfter {
		return false
	}
	for _, m := range l.members {
		if outranks(m.Member, l.record.Leader) && now.Sub(m.joinedAt) > settledAfter && now.Sub(m.heardAt) < silentAfter {
			return true
		}
	}
	return false
}
