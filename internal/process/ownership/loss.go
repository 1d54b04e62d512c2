package ownership

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// targetState is what this VM knows of a target's life.
type targetState int

const (
	// targetUnknown: the tenure has just begun.
	targetUnknown targetState = iota
	// targetAlive: the last call was answered.
	targetAlive
	// targetFailing: the last call failed; grants are not renewed, so that they
	// lapse, and probes go on.
	targetFailing
	// targetLost: every grant has lapsed, or the target is confirmed gone.
	targetLost
)

const (
	// lossFailures is the number of calls that have to fail before a loss.
	lossFailures = 2
	// retryInterval separates probes of a target that has just failed,
	// failingInterval later ones, and lostInterval those of a lost target.
	retryInterval   = 20 * time.Millisecond
	failingInterval = 100 * time.Millisecond
	lostInterval    = 300 * time.Millisecond
)

// noteFailure takes the failure of a call. A refused call had no effect, so it
// did not extend the target's grant.
func (m *machine) noteFailure(t *tenure, call *targetCall, failure callFailure) {
	g := &t.grants
	// The target may have let its grant lapse when it answers again.
	g.confirmedNumber = 0
	if failure == callRefused {
		if call.kind == callGrant {
			g.lastEnd = g.endBefore
		}
		if g.refusedSince == 0 {
			g.refusedSince = m.now
		}
	} else {
		g.refusedSince = 0
	}
	g.failures++
	switch {
	case g.state == targetLost:
		g.next = m.now + lostInterval
	case g.failures < lossFailures:
		g.next = m.now + retryInterval
	default:
		g.next = m.now + failingInterval
	}
	if g.state != targetLost && g.state != targetFailing {
		g.state = targetFailing
		m.out.decide(decision{kind: targetSuspected, target: t.target, epoch: t.epoch})
	}
}

// noteAlive takes a sign of life. A new incarnation has lost its grants: they
// are given again, after the dispatcher has begun the cold start.
func (m *machine) noteAlive(t *tenure, incarnation string) {
	g := &t.grants
	returned := g.state == targetLost
	restarted := g.incarnation != "" && g.incarnation != incarnation
	g.failures, g.refusedSince = 0, 0
	if restarted || returned {
		g.confirmed, g.confirmedNumber = nil, 0
		m.changed = true
	}
	first := g.incarnation == ""
	g.state, g.incarnation = targetAlive, incarnation
	if returned || restarted || first {
		m.out.targetChanged(t.target, true, incarnation)
		m.out.decide(decision{kind: targetFound, target: t.target, epoch: t.epoch, incarnation: incarnation})
	}
	if returned {
		m.cancelLoss(t)
	}
}

// cancelLoss keeps the pieces that were not released while the target was lost.
func (m *machine) cancelLoss(t *tenure) {
	t.withdrawals = nil
	m.refreshDesired(t)
}

// noticeLoss declares a failing target lost once it holds no grant any more.
func (m *machine) noticeLoss(t *tenure) {
	g := &t.grants
	if g.state != targetFailing || g.failures < lossFailures || !m.grantsLapsed(t) {
		return
	}
	g.state = targetLost
	g.confirmed, g.confirmedNumber = nil, 0
	t.withdrawals = nil
	m.refreshDesired(t)
	m.changed = true
	m.out.targetChanged(t.target, false, g.incarnation)
	m.out.decide(decision{kind: targetGone, target: t.target, epoch: t.epoch, incarnation: g.incarnation})
	m.advanceWithdrawals(t)
}

// grantsLapsed reports whether no grant of this target can be in force. A
// target that holds grants keeps them until its process is gone.
func (m *machine) grantsLapsed(t *tenure) bool {
	g := &t.grants
	if m.off.noGrantWait {
		return true
	}
	if m.record.targets[t.target].hold {
		return g.refusedSince != 0 && m.now-g.refusedSince >= timing.SuspicionAfter
	}
	return m.now >= g.lastEnd+timing.DriftMargin
}
