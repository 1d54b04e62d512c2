package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

// retractAfter is how long a backup keeps its bar against a dispatcher that is
// alive but has no lease, while the witness has not promised.
const retractAfter = timing.RenewalInterval / 2

// startAllowance is the time beyond SuspicionAfter that a dispatcher has after
// the record first named it, for versions that reach it late.
const startAllowance = time.Second

// unanswered is the deadline of a takeover that the witness has not promised.
const unanswered = time.Duration(-1)

// guard watches one dispatcher for this VM's role as backup at one epoch.
type guard struct {
	cell     string
	epoch    uint64
	partners assignment.Partners
	// lastSign is when the dispatcher last showed that it has a lease, or when
	// the watch began.
	lastSign time.Duration
	// suspectedAt is when the bar was set, zero while there is none.
	suspectedAt time.Duration
	// attempt numbers the promise requests of this suspicion.
	attempt uint64
	// takeoverAt is the time from which the lease has lapsed for certain, or unanswered.
	takeoverAt time.Duration
	nextAsk    time.Duration
	// versionNeeded is the record version that the witness had when it promised.
	versionNeeded int64
	done          bool
}

// bar excludes every holder but one from renewal.
type bar struct {
	by assignment.Holder
	// attempt is that of the promise request; zero for a bar of the backup itself.
	attempt uint64
}

// adoptGuards watches the dispatchers whose backup this VM is.
func (m *machine) adoptGuards() {
	wanted := map[targetEpoch]bool{}
	for _, id := range sortedKeys(m.record.cells) {
		for i := range m.record.cells[id].cell.Targets {
			r := &m.record.cells[id].cell.Targets[i]
			m.adoptGuard(wanted, id, r.Target, r.Epoch, r.Partners)
			if r.Previous != nil {
				m.adoptGuard(wanted, id, r.Target, r.PreviousEpoch, *r.Previous)
			}
		}
	}
	for ref := range m.guards {
		if !wanted[ref] {
			delete(m.guards, ref)
		}
	}
	m.forgetBars(wanted)
}

func (m *machine) adoptGuard(wanted map[targetEpoch]bool, cell, target string, epoch uint64, partners assignment.Partners) {
	ref := targetEpoch{target, epoch}
	if !m.isSelf(partners.Backup) || m.isSelf(partners.Dispatcher) {
		return
	}
	wanted[ref] = true
	if m.guards[ref] == nil {
		m.guards[ref] = &guard{cell: cell, epoch: epoch, partners: partners, lastSign: m.now + startAllowance, takeoverAt: unanswered}
	}
}

// forgetBars drops bars of epochs that the record has left behind for good.
func (m *machine) forgetBars(watched map[targetEpoch]bool) {
	for ref := range m.bars {
		if m.record.pastEpoch(ref) && !watched[ref] {
			delete(m.bars, ref)
		}
	}
}

// watchDispatchers looks for dispatchers that have fallen silent.
func (m *machine) watchDispatchers() {
	if m.leaving && len(m.tenures) == 0 {
		return
	}
	for _, ref := range sortedRefs(m.guards) {
		g := m.guards[ref]
		if g.done || m.resigned(ref) || m.now-g.lastSign < timing.SuspicionAfter || !m.mayTakeOver(ref) {
			continue
		}
		if g.suspectedAt == 0 {
			m.suspect(ref, g)
		}
		switch {
		case g.takeoverAt == unanswered && m.now >= g.nextAsk:
			m.askPromise(ref, g)
		case g.takeoverAt != unanswered && m.now >= g.takeoverAt:
			m.takeOver(ref, g)
		}
	}
}

// mayTakeOver reports whether the right lies at this epoch as far as this VM
// knows: it was handed over to the epoch, or needed no handover, and was not
// handed on.
func (m *machine) mayTakeOver(ref targetEpoch) bool {
	if m.kept[ref.target].handedOn(ref.epoch) {
		return false
	}
	if m.kept[ref.target].handedTo(ref.epoch) {
		return true
	}
	r := m.record.rightsOf(ref.target)
	if r == nil {
		return false
	}
	return ref.epoch < r.Epoch || r.Previous == nil
}

// suspect sets the bar: from here on the dispatcher is not renewed.
func (m *machine) suspect(ref targetEpoch, g *guard) {
	m.promiseAttempt++
	g.suspectedAt, g.attempt, g.takeoverAt = m.now, m.promiseAttempt, unanswered
	m.bars[ref] = &bar{by: m.self}
	delete(m.retractions, ref)
	m.out.decide(decision{kind: dispatcherSuspected, target: ref.target, epoch: ref.epoch, vm: g.partners.Dispatcher.VM})
}

func (m *machine) askPromise(ref targetEpoch, g *guard) {
	g.nextAsk = m.now + timing.RenewalInterval
	if m.off.noPromise {
		g.takeoverAt = m.lapsedAt(g)
		return
	}
	request := &peerv1.PromiseRequest{Dispatcher: g.partners.Dispatcher.VM, Attempt: g.attempt, Targets: []*peerv1.TargetEpoch{wireRef(ref)}}
	m.out.send(g.partners.Witness.VM, &peerv1.Control{Kind: &peerv1.Control_PromiseRequest{PromiseRequest: request}})
}

// lapsedAt returns when the last lease that this VM renewed has lapsed.
func (m *machine) lapsedAt(g *guard) time.Duration {
	if m.off.noTakeoverWait {
		return m.now
	}
	last := m.contactOf(g.partners.Dispatcher)
	return max(lapseOf(last.acknowledged), lapseOf(last.asWitness))
}

// lapseOf returns the end of a lease acknowledged at a time, zero if it never was.
func lapseOf(acknowledged time.Duration) time.Duration {
	if acknowledged == 0 {
		return 0
	}
	return acknowledged + timing.LeaseDuration + timing.DriftMargin
}

// receivePromiseRequest answers a backup that wants to take over. The witness
// refuses while it renews the dispatcher itself.
func (m *machine) receivePromiseRequest(from assignment.Holder, request *peerv1.PromiseRequest) *peerv1.Control {
	if !m.record.seen {
		return nil
	}
	if request.Resign {
		return m.receiveResignRequest(request)
	}
	promise := &peerv1.Promise{Attempt: request.Attempt}
	for _, wire := range request.Targets {
		ref := refOf(wire)
		if request.Withdraw {
			m.withdrawPromise(ref, from, request.Attempt)
			promise.Targets = append(promise.Targets, wire)
			continue
		}
		if m.promiseTo(ref, from, request) {
			promise.Targets = append(promise.Targets, wire)
			m.kept[ref.target].appendTo(promise)
			promise.RecordVersion = max(promise.RecordVersion, m.record.versionFor(ref.target))
		}
	}
	promise.RemainingUs = m.remainingOf(request.Dispatcher).Microseconds()
	if request.Withdraw {
		return nil
	}
	return &peerv1.Control{Kind: &peerv1.Control_Promise{Promise: promise}}
}

// promiseTo bars a target for everybody but the asking backup, if it may.
func (m *machine) promiseTo(ref targetEpoch, backup assignment.Holder, request *peerv1.PromiseRequest) bool {
	if m.kept[ref.target].handedOn(ref.epoch) || m.renewsAsWitness(request.Dispatcher) {
		return false
	}
	held := m.bars[ref]
	void := held != nil && held.by == noHolder && held.attempt >= request.Attempt
	if void || held != nil && held.by != backup && held.by != noHolder {
		return false
	}
	m.bars[ref] = &bar{by: backup, attempt: request.Attempt}
	return true
}

// withdrawPromise ends a promise unless a later attempt renewed it.
func (m *machine) withdrawPromise(ref targetEpoch, backup assignment.Holder, attempt uint64) {
	held := m.bars[ref]
	if m.resigned(ref) {
		return
	}
	if held == nil {
		// A request of this attempt that is still under way must not bar.
		m.bars[ref] = &bar{by: noHolder, attempt: attempt}
		return
	}
	if held.by == backup && held.attempt <= attempt {
		m.bars[ref] = &bar{by: noHolder, attempt: attempt}
	}
}

// noHolder marks a bar that was withdrawn: it excludes nobody but remembers
// the attempts that are void.
var noHolder = assignment.Holder{}

// renewsAsWitness reports whether a dispatcher relies on this witness now.
func (m *machine) renewsAsWitness(vm string) bool {
	for h, c := range m.contacts {
		if h.VM == vm && c.asWitness != 0 && m.now-c.asWitness < timing.SuspicionAfter {
			return true
		}
	}
	return false
}

// remainingOf returns how long a lease that this VM renewed may still run.
func (m *machine) remainingOf(vm string) time.Duration {
	var end time.Duration
	for h, c := range m.contacts {
		if h.VM == vm {
			end = max(end, lapseOf(c.asWitness), lapseOf(c.acknowledged))
		}
	}
	return max(end-m.now, 0)
}

// receivePromise notes the witness's promise; the takeover follows once every
// lease has lapsed.
func (m *machine) receivePromise(from assignment.Holder, promise *peerv1.Promise) {
	if promise.Resigned {
		m.receiveResignation(from, promise)
		return
	}
	for _, wire := range promise.Targets {
		g := m.guards[refOf(wire)]
		if g == nil || g.done || g.suspectedAt == 0 || g.attempt != promise.Attempt {
			continue
		}
		if g.partners.Witness != from && !m.off.noIncarnationCheck {
			continue
		}
		m.keepPromised(wire.Target, promise)
		g.versionNeeded = promise.RecordVersion
		g.takeoverAt = m.lapsedAt(g)
		if !m.off.noTakeoverWait {
			g.takeoverAt = max(g.takeoverAt, m.now+time.Duration(promise.RemainingUs)*time.Microsecond)
		}
	}
}

// takeOver begins to dispatch ahead of the record, once this VM's record is not
// older than what the knowledge that was kept for it relies on.
func (m *machine) takeOver(ref targetEpoch, g *guard) {
	known := m.kept[ref.target]
	if known.handedOn(ref.epoch) || m.olderThan(ref.target, max(g.versionNeeded, known.versionNeeded(ref.epoch))) {
		return
	}
	g.done = true
	t := m.newTenure(g.cell, &assignment.Rights{Target: ref.target, Epoch: ref.epoch, Partners: g.partners})
	t.acting = true
	t.grants.setNumber = actingSetNumber
	t.grants.inheritUntil(known.grantsBeforeEnd(ref.epoch))
	if known != nil {
		t.releases = pendingFrom(known.releases)
		t.accepted = slices.Clone(known.accepted)
	}
	m.out.decide(decision{kind: tookOver, target: ref.target, epoch: ref.epoch, vm: g.partners.Dispatcher.VM})
	m.out.startWith(ref.target, 0, 0)
	if ref.epoch > 1 && !known.complete(ref.epoch) {
		m.beginInquiries(t)
	}
	m.refreshDesired(t)
	m.sendHeartbeatsOf([]*tenure{t})
	if r := m.record.rightsOf(ref.target); r != nil && r.Epoch > ref.epoch {
		m.beginHandover(t, r)
	}
}

// stepDown ends the tenures that a backup has taken over: from here on this VM
// is a partner of the backup, which needs one if the witness is lost too.
func (m *machine) stepDown(acting []*peerv1.TargetEpoch) {
	for _, wire := range acting {
		ref := refOf(wire)
		r := m.record.rightsOf(ref.target)
		current := r != nil && r.Epoch == ref.epoch && m.isSelf(r.Dispatcher)
		previous := r != nil && r.Previous != nil && r.PreviousEpoch == ref.epoch && m.isSelf(r.Previous.Dispatcher)
		if !current && !previous {
			continue
		}
		m.passed[ref.target] = max(m.passed[ref.target], ref.epoch)
		if t := m.tenures[ref.target]; t != nil && t.epoch == ref.epoch {
			m.drop(t, "the backup has taken over")
		}
	}
}

// noteSigns takes a heartbeat as a sign of life for every guarded target but
// those whose lease has lapsed at the dispatcher.
func (m *machine) noteSigns(from assignment.Holder, heartbeat *peerv1.Heartbeat) {
	for _, ref := range sortedRefs(m.guards) {
		g := m.guards[ref]
		if g.partners.Dispatcher != from || g.done || heartbeat.AsWitness {
			continue
		}
		lapsed := slices.ContainsFunc(heartbeat.Lapsed, func(l *peerv1.TargetEpoch) bool { return refOf(l) == ref })
		if !lapsed {
			g.lastSign = m.now
		}
		if g.suspectedAt == 0 {
			continue
		}
		if !lapsed || g.takeoverAt == unanswered && m.now-g.suspectedAt >= retractAfter {
			m.retract(ref, g)
		}
	}
}

// retract ends a suspicion: the bar goes, and the witness is told so.
func (m *machine) retract(ref targetEpoch, g *guard) {
	request := &peerv1.PromiseRequest{Dispatcher: g.partners.Dispatcher.VM, Attempt: g.attempt, Withdraw: true, Targets: []*peerv1.TargetEpoch{wireRef(ref)}}
	message := &peerv1.Control{Kind: &peerv1.Control_PromiseRequest{PromiseRequest: request}}
	m.retractions[ref] = message
	m.out.send(g.partners.Witness.VM, message)
	if !m.resigned(ref) {
		delete(m.bars, ref)
	}
	g.suspectedAt, g.takeoverAt, g.lastSign = 0, unanswered, m.now
	m.out.decide(decision{kind: suspicionEnded, target: ref.target, epoch: ref.epoch, vm: g.partners.Dispatcher.VM})
}

// repeatRetractions sends withdrawals again while the epoch is watched: they
// are idempotent, and a lost one would leave the witness barred.
func (m *machine) repeatRetractions() {
	for _, ref := range sortedRefs(m.retractions) {
		g := m.guards[ref]
		if g == nil {
			delete(m.retractions, ref)
			continue
		}
		m.out.send(g.partners.Witness.VM, m.retractions[ref])
	}
}

// barredFor lists the rights that this VM does not renew for a holder.
func (m *machine) barredFor(from assignment.Holder) []*peerv1.TargetEpoch {
	var barred []*peerv1.TargetEpoch
	for _, ref := range sortedRefs(m.bars) {
		if by := m.bars[ref].by; by != from && by != noHolder {
			barred = append(barred, wireRef(ref))
		}
	}
	return barred
}
