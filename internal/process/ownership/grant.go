package ownership

import (
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/version/timing"
)

const (
	// grantTimeout and probeTimeout bound the calls to a target.
	grantTimeout = 150 * time.Millisecond
	probeTimeout = 100 * time.Millisecond
	// actingSetNumber is the first set number of a backup that has taken over,
	// so that its sets never share a number with the lost dispatcher's.
	actingSetNumber = 1 << 32
)

// callKind is the kind of a call to a target.
type callKind int

const (
	callGrant callKind = iota
	callRevoke
	callProbe
)

// targetCall is one call to a target. At most one per target is under way.
type targetCall struct {
	id      uint64
	kind    callKind
	target  string
	address string
	timeout time.Duration
	// sentAt is when the call was made; a grant's duration counts from it.
	sentAt     time.Duration
	grant      target.Grant
	revocation target.Revocation
}

// callFailure tells why a call has no answer.
type callFailure int

const (
	callAnswered callFailure = iota
	// callRefused: nothing runs at the address; the call had no effect.
	callRefused
	// callUnanswered: the call may have had an effect.
	callUnanswered
)

// callResult is the end of a call.
type callResult struct {
	id          uint64
	target      string
	failure     callFailure
	incarnation string
	reply       target.GrantReply
}

// grants is what a tenure has told its target.
type grants struct {
	// desired is the set that the target should hold, numbered setNumber.
	desired   []piece
	setNumber uint64
	// confirmed is the set that the target last confirmed.
	confirmed       []piece
	confirmedNumber uint64
	// call is under way, with the set that it carries.
	call    *targetCall
	sending []piece
	// next is when the next call is due.
	next time.Duration
	// lastEnd is the latest end of a grant that the target may have received.
	lastEnd time.Duration
	// endBefore is lastEnd before the call under way.
	endBefore   time.Duration
	state       targetState
	incarnation string
	failures    int
	// refusedSince is when the target began to refuse connections, zero if it does not.
	refusedSince time.Duration
	// deposed is set when the target knows a higher epoch.
	deposed bool
}

// inheritUntil notes grants of an earlier dispatcher.
func (g *grants) inheritUntil(end time.Duration) { g.lastEnd = max(g.lastEnd, end) }

// refreshDesired recomputes the set that the target should hold: what the
// record gives it and what was accepted for it, without what was released or
// is being withdrawn. The set stays empty while it has to be found out what
// else was released.
func (m *machine) refreshDesired(t *tenure) {
	if len(t.inquiries) > 0 {
		m.setDesired(t, nil)
		return
	}
	desired := m.record.ownedPieces(t.cell, t.target)
	for _, r := range t.accepted {
		if !r.Barred {
			p := piece{*sliceOf(r.Slice), r.NextFence}
			desired = append(cutPieces(desired, &p.slice), p)
		}
	}
	for _, p := range t.releases {
		desired = cutReleased(desired, p)
	}
	for _, w := range t.withdrawals {
		if w.out {
			desired = cutPieces(desired, &w.piece.slice)
		}
	}
	m.setDesired(t, desired)
}

func (m *machine) setDesired(t *tenure, desired []piece) {
	if !slices.Equal(desired, t.grants.desired) || t.grants.setNumber == 0 {
		t.grants.desired = desired
		t.grants.setNumber++
		m.changed = true
	}
}

// cutReleased removes a released slice, unless it has come back at a higher fence.
func cutReleased(list []piece, released *pendingRelease) []piece {
	var rest []piece
	slice := sliceOf(released.message.Slice)
	for _, p := range list {
		if p.fence >= released.message.NextFence {
			rest = append(rest, p)
			continue
		}
		rest = append(rest, cutPieces([]piece{p}, slice)...)
	}
	return rest
}

// advanceCalls sends the call that is due, if none is under way.
func (m *machine) advanceCalls(t *tenure) {
	m.noticeLoss(t)
	g := &t.grants
	if g.call != nil || g.deposed || !t.leaseValid(m.now) || m.now < t.grantsFrom {
		return
	}
	if g.state != targetAlive {
		if m.now >= g.next {
			m.call(t, targetCall{kind: callProbe, timeout: probeTimeout})
		}
		return
	}
	if m.sendRevocation(t) {
		return
	}
	if g.confirmedNumber != g.setNumber || m.now >= g.next {
		m.sendGrant(t)
	}
}

// sendRevocation revokes withdrawn pieces that the target has not confirmed.
func (m *machine) sendRevocation(t *tenure) bool {
	revocation := target.Revocation{Epoch: t.epoch}
	for _, w := range t.withdrawals {
		if w.out && !w.revoked && !w.loss {
			revocation.Slices = append(revocation.Slices, target.GrantedSliceOf(&w.piece.slice, w.piece.fence))
		}
	}
	if len(revocation.Slices) == 0 {
		return false
	}
	m.call(t, targetCall{kind: callRevoke, timeout: grantTimeout, revocation: revocation})
	return true
}

// sendGrant grants the desired set, or renews it if the target has it. The
// grant ends with the dispatch lease.
func (m *machine) sendGrant(t *tenure) {
	g := &t.grants
	duration := min(timing.LeaseDuration, t.leaseEnd-m.now)
	grant := target.Grant{Epoch: t.epoch, SetNumber: g.setNumber, DurationMillis: duration.Milliseconds()}
	if g.confirmedNumber != g.setNumber {
		grant.Slices = make([]target.GrantedSlice, 0, len(g.desired))
		for i := range g.desired {
			grant.Slices = append(grant.Slices, target.GrantedSliceOf(&g.desired[i].slice, g.desired[i].fence))
		}
	}
	g.sending = g.desired
	g.endBefore = g.lastEnd
	g.lastEnd = max(g.lastEnd, m.now+duration)
	m.call(t, targetCall{kind: callGrant, timeout: grantTimeout, grant: grant})
}

func (m *machine) call(t *tenure, call targetCall) {
	m.callSequence++
	call.id, call.target, call.sentAt = m.callSequence, t.target, m.now
	call.address = m.record.targets[t.target].address
	t.grants.call = &call
	t.grants.next = m.now + timing.RenewalInterval
	m.out.callTarget(call)
}

// targetAnswered takes the end of a call.
func (m *machine) targetAnswered(now time.Duration, result callResult) {
	m.now = now
	t := m.tenures[result.target]
	if t == nil || t.grants.call == nil || t.grants.call.id != result.id {
		return
	}
	call := t.grants.call
	t.grants.call = nil
	if result.failure != callAnswered {
		m.noteFailure(t, call, result.failure)
	} else {
		m.noteAnswer(t, call, result)
	}
	m.advance()
}

// noteAnswer takes the answer of a target that is alive.
func (m *machine) noteAnswer(t *tenure, call *targetCall, result callResult) {
	g := &t.grants
	if call.kind != callRevoke {
		m.noteAlive(t, result.incarnation)
	}
	switch call.kind {
	case callProbe:
		g.next = m.now
	case callRevoke:
		t.noteRevoked(call)
	case callGrant:
		m.noteGrantReply(t, call, result.reply)
	}
}

func (m *machine) noteGrantReply(t *tenure, call *targetCall, reply target.GrantReply) {
	g := &t.grants
	switch {
	case reply.Refused:
		g.deposed = reply.HighestEpoch > t.epoch
		g.lastEnd = g.endBefore
		g.confirmedNumber = 0
		m.changed = true
		m.out.decide(decision{kind: grantRefused, target: t.target, epoch: t.epoch, nextEpoch: reply.HighestEpoch})
	case reply.NeedSet:
		g.confirmed, g.confirmedNumber = nil, 0
		m.changed = true
	case call.grant.Slices != nil:
		g.confirmed, g.confirmedNumber = g.sending, call.grant.SetNumber
		m.changed = true
		m.out.decide(decision{kind: granted, target: t.target, epoch: t.epoch, setNumber: call.grant.SetNumber, count: len(call.grant.Slices)})
	}
}

// noteRevoked marks the pieces that a call revoked.
func (t *tenure) noteRevoked(call *targetCall) {
	for _, w := range t.withdrawals {
		revoked := target.GrantedSliceOf(&w.piece.slice, w.piece.fence)
		if slices.Contains(call.revocation.Slices, revoked) {
			w.revoked = true
		}
	}
}
