package coordinator

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// heartbeatTimeout is the time without a heartbeat of the leader after which a VM
	// checks whether to take over: three heartbeats.
	heartbeatTimeout = 800 * time.Millisecond
	// isolatedRecordTimeout is the time without a change of the record after which a VM
	// that no other VM answers takes over. A leader that reaches the store writes the
	// record every 0.6 s.
	isolatedRecordTimeout = 3500 * time.Millisecond
	// recordTimeout is the same time if other VMs answer and most of them receive no
	// heartbeats either: two writes of the leader are missing.
	recordTimeout = 1300 * time.Millisecond
	// storeReturnGrace is the time after the store's return to a VM within which a
	// leader that had lost the store too should reach it again: the timeout of a
	// write that hangs, and the pause after it.
	storeReturnGrace = 2 * time.Second
	// keepLeaderDivisor limits takeovers: a leader stays if at least one in
	// keepLeaderDivisor of the VMs that answer receives its heartbeats.
	keepLeaderDivisor = 3
	// rankStep is the delay between VMs of successive ranks that check the record,
	// so that one has taken over before the next reads the store. lowRankStep is the
	// delay between those ranked after the first topRanks.
	rankStep    = 40 * time.Millisecond
	lowRankStep = 10 * time.Millisecond
	topRanks    = 10
	// outrankedDelay is the additional delay of a VM that another outranks, so that
	// several of the larger VMs can try first.
	outrankedDelay = 500 * time.Millisecond
	// outrankFactor is the factor by which another VM's share of a processor has to be
	// larger, at least, for that VM to lead instead.
	outrankFactor = 2
	// settledAfter is how long a larger VM must have followed, and this VM led,
	// before the leadership is handed over to it.
	settledAfter = 3 * time.Second
	// startSpread bounds the delay of a VM that knows no others, spread by its name;
	// startSmallDelay bounds its additional delay if it has less than a whole core.
	startSpread     = 100 * time.Millisecond
	startSmallDelay = 200 * time.Millisecond
	// checkPauseMin and checkPauseMax bound the backoff between two checks of the record.
	// checkPauseMax also bounds the read itself.
	checkPauseMin = 150 * time.Millisecond
	checkPauseMax = 900 * time.Millisecond
)

// evidence is what a VM knows about a leader whose heartbeats are missing.
type evidence struct {
	// ended is set if the leader's process has ended: another incarnation answers at
	// its address (replaced), or VMs in its failure domain found its port closed.
	ended, replaced bool
	// yielding is set if the leader has asked this VM to take over: it is shutting
	// down, cannot reach the store, or is outranked.
	yielding bool
	// storeReturned is set if the leader yields only because it lost the store, and this
	// VM has itself regained the store within storeReturnGrace.
	storeReturned bool
	// pastEra is set if the store has been restored since the record was written.
	pastEra bool
	// known counts the other VMs; asked, those that were queried; answered, those of them
	// that answered; withoutLeader, those of them that receive no heartbeats of the leader
	// either. refused counts the queried VMs whose port refused the connection.
	known, asked, answered, withoutLeader, refused int
	// lastFence is the highest LastFence of a record that those that answered have heard of.
	lastFence uint64
	// silentFor is the time since the leader's last heartbeat.
	silentFor time.Duration
	// recordWritten is set if the leader has written the record since its last heartbeat.
	recordWritten bool
	// recordUnchangedFor is how long this VM has read the record at the same revision.
	recordUnchangedFor time.Duration
}

// mayTakeOver decides whether a VM becomes the leader, and returns the reason. A
// leader that only some of the VMs cannot hear from stays in place: VMs that are
// partitioned off together must not take the leadership away from the others.
func mayTakeOver(e evidence) (bool, string) {
	withLeader := e.answered - e.withoutLeader
	switch {
	case e.yielding && e.storeReturned:
		return false, "store-is-back"
	case e.yielding:
		return true, "leader-yields"
	case withLeader > 0 && keepLeaderDivisor*withLeader >= e.answered:
		return false, "others-hear"
	case e.ended:
		return true, "process-ended"
	case e.silentFor < heartbeatTimeout:
		return false, "heard"
	case e.asked > 0 && 2*(e.withoutLeader+1) > e.voters():
		return true, "most-do-not-hear"
	case e.answered > 0 && e.recordUnchangedFor >= recordTimeout, e.recordUnchangedFor >= isolatedRecordTimeout:
		return true, "record-unchanged"
	}
	return false, "too-early"
}

// voters is the number of VMs, including this one, of which a majority must have
// lost the leader. VMs whose port refuses connections count as lost together with
// the leader, unless the leader writes the record: then this VM is partitioned off.
func (e *evidence) voters() int {
	if e.recordWritten {
		return e.asked + 1
	}
	return e.asked - e.refused + 1
}

// rankDelay is how long a VM waits before it checks whether to take over. A leader
// handles the reports of all VMs and issues all permits, so VMs with more processor
// come first; the order among equal VMs changes with the term.
func rankDelay(self fleet.Member, view *fleet.View) time.Duration {
	if len(view.Members) <= 1 {
		return startDelay(self)
	}
	ahead, outranked := 0, false
	for vm, m := range view.Members {
		if vm == self.VM || vm == view.Leader.VM {
			continue
		}
		outranked = outranked || outranks(m, self)
		if ranksBefore(m, self, view.Term) {
			ahead++
		}
	}
	delay := time.Duration(min(ahead, topRanks))*rankStep + time.Duration(max(ahead-topRanks, 0))*lowRankStep
	if outranked {
		delay += outrankedDelay
	}
	return delay
}

// startDelay is the delay of a VM that knows no others yet.
func startDelay(self fleet.Member) time.Duration {
	coreShare := min(float64(self.Processor)/fleet.WholeCore, 1)
	spread := float64(xxh3.HashString(self.VM)%10) / 10
	return time.Duration(spread*float64(startSpread) + (1-coreShare)*float64(startSmallDelay))
}

// ranksBefore reports whether VM a tries to take over before VM b.
func ranksBefore(a, b fleet.Member, term uint64) bool {
	if a.Processor != b.Processor {
		return a.Processor > b.Processor
	}
	first, second := xxh3.HashStringSeed(a.VM, term), xxh3.HashStringSeed(b.VM, term)
	return first < second || first == second && a.VM < b.VM
}

// outranks reports whether VM a is so much larger than VM b that it should lead
// instead.
func outranks(a, b fleet.Member) bool {
	return a.Processor > 0 && a.Processor >= outrankFactor*b.Processor
}

// isOutranked reports whether a larger VM, which has followed for a while and still
// reports, should take over.
func (l *leadership) isOutranked(now time.Time) bool {
	if now.Sub(l.leadingSince) < settledAfter {
		return false
	}
	for _, m := range l.members {
		if outranks(m.Member, l.record.Leader) && now.Sub(m.joinedAt) > settledAfter && now.Sub(m.reportedAt) < heartbeatTimeout {
			return true
		}
	}
	return false
}
