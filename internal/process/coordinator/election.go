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
	// rankStep spreads the VMs that look for a leader, so that the first is done
	// before the second reads the store.
	rankStep = 40 * time.Millisecond
	// maxRankDelay bounds that delay.
	maxRankDelay = 400 * time.Millisecond
	// lookMin and lookMax bound the pause between two reads of the record.
	lookMin = 150 * time.Millisecond
	lookMax = 900 * time.Millisecond
)

// evidence is what a VM knows about a leader that it does not hear.
type evidence struct {
	// ended is set if the leader's process is gone: its port refuses
	// connections, or another incarnation answers there.
	ended bool
	// yielding is set if the leader has said that it is stopping or cannot
	// reach the store.
	yielding bool
	// asked and deaf count the VMs that were asked and those that do not hear
	// the leader either; known counts all other VMs.
	known, asked, deaf int
	// silentFor is how long the leader has not been heard.
	silentFor time.Duration
	// unchangedFor is how long the record has been seen unchanged.
	unchangedFor time.Duration
}

// mayTakeOver decides whether a VM that has read an unchanged record becomes
// the leader. A leader that only this VM cannot hear is left in place.
func mayTakeOver(e evidence) (bool, string) {
	switch {
	case e.yielding:
		return true, "leader-yields"
	case e.asked > e.deaf:
		return false, "others-hear"
	case e.ended:
		return true, "process-ended"
	case e.silentFor < silentAfter:
		return false, "heard"
	case e.asked > 0 && 2*(e.deaf+1) >= min(e.known, askCount):
		return true, "most-do-not-hear"
	case e.unchangedFor >= aloneAfter:
		return true, "record-unchanged"
	}
	return false, "too-early"
}

// rankDelay is how long a VM waits before it looks for a new leader. VMs with
// more processor come first, since a leader needs more than others.
func rankDelay(self fleet.Member, processor float64, term uint64) time.Duration {
	spread := time.Duration(xxh3.HashStringSeed(self.VM, term)%10) * rankStep / 2
	slow := time.Duration((1 - min(processor, 1)) * float64(5*rankStep))
	return min(spread+slow, maxRankDelay)
}
