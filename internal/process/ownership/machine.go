package ownership

import (
	"sort"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// output receives the effects of the machine, in order. Its methods must not
// call back into the machine.
type output interface {
	// send queues a control message; it may be lost.
	send(vm string, message *peerv1.Control)
	// callTarget starts a call; its result comes back through machine.targetAnswered.
	callTarget(call targetCall)
	publish(table *rights.Table)
	startWith(target string, inFlight, coldLimit int)
	targetChanged(target string, alive bool, incarnation string)
	decide(d decision)
}

// traffic tells the machine about the requests of this VM's dispatchers.
type traffic interface {
	// inFlight counts the requests sent to a target and neither answered nor
	// past their deadline; a nil slice means all slices.
	inFlight(target string, slice *assignment.Slice) int
	coldLimit(target string) int
}

// mechanisms tells which protections are switched off. Only tests set it, to
// show that the checker of invariants notices their absence.
type mechanisms struct {
	noPromise          bool
	noTakeoverWait     bool
	noReplication      bool
	noIncarnationCheck bool
	noGrantWait        bool
	noClose            bool
	noInquiries        bool
	noVersionCheck     bool
}

// targetEpoch names the right to dispatch to a target at one epoch.
type targetEpoch struct {
	target string
	epoch  uint64
}

// machine is the protocol state of one VM.
type machine struct {
	self assignment.Holder
	out  output
	in   traffic
	off  mechanisms
	now  time.Duration

	record recordView
	// leavingSince is when this VM first read of the present leaving of a target.
	leavingSince map[string]time.Duration
	// tenures are the targets that this VM dispatches to or is about to.
	tenures map[string]*tenure
	// passed holds the highest epoch, by target, that this VM has handed over.
	passed map[string]uint64
	// former are rights that were passed on a short while ago.
	former map[string]*formerRight
	// guards are the rights that this VM watches as a backup.
	guards map[targetEpoch]*guard
	// bars are the rights that this VM does not renew any more.
	bars map[targetEpoch]*bar
	// retractions tell witnesses that a promise is not needed any more.
	retractions map[targetEpoch]*peerv1.Control
	collections map[targetEpoch]*collection
	contacts    map[assignment.Holder]*contact
	kept        map[string]*knowledge
	heartbeats  map[uint64]*sentHeartbeat

	heartbeatSequence uint64
	promiseAttempt    uint64
	callSequence      uint64
	nextHeartbeat     time.Duration
	// leaving is set once a graceful stop has begun.
	leaving bool
	// changed is set when the published table is out of date.
	changed bool
}

// newMachine returns the machine of a VM that has not seen the record yet.
func newMachine(self assignment.Holder, out output, in traffic) *machine {
	return &machine{
		self: self, out: out, in: in,
		record:       newRecordView(),
		leavingSince: map[string]time.Duration{},
		tenures:      map[string]*tenure{},
		passed:       map[string]uint64{},
		former:       map[string]*formerRight{},
		guards:       map[targetEpoch]*guard{},
		bars:         map[targetEpoch]*bar{},
		retractions:  map[targetEpoch]*peerv1.Control{},
		collections:  map[targetEpoch]*collection{},
		contacts:     map[assignment.Holder]*contact{},
		kept:         map[string]*knowledge{},
		heartbeats:   map[uint64]*sentHeartbeat{},
	}
}

// tick advances everything that depends on time alone.
func (m *machine) tick(now time.Duration) {
	m.now = now
	if now >= m.nextHeartbeat {
		m.sendHeartbeats()
		m.repeatRetractions()
		m.forwardHandovers()
	}
	m.watchDispatchers()
	m.collectResignations()
	m.advance()
}

// advance moves every tenure as far as it can go now, and publishes.
func (m *machine) advance() {
	for _, t := range m.sortedTenures() {
		m.advanceTenure(t)
	}
	m.publishIfChanged()
}

func (m *machine) advanceTenure(t *tenure) {
	if t.pauseUntil != 0 && m.now >= t.pauseUntil {
		t.pauseUntil = 0
		m.changed = true
	}
	switch t.phase {
	case closing, receiving:
		m.replicate(t)
	case passing:
		m.repeatHandover(t)
	case holding:
		if r := m.record.rightsOf(t.target); r != nil && r.Epoch > t.epoch {
			m.beginHandover(t, r)
			return
		}
		m.endInheritance(t)
		m.advanceRecovery(t)
		m.advanceWithdrawals(t)
		m.reclaim(t)
		m.repeatReleases(t)
		m.advanceCalls(t)
	}
}

// receive handles a control message of another VM, or of this one. It reports
// false if the message is not part of the protocol.
func (m *machine) receive(now time.Duration, from assignment.Holder, message *peerv1.Control) (*peerv1.Control, bool) {
	m.now = now
	var reply *peerv1.Control
	switch kind := message.Kind.(type) {
	case *peerv1.Control_Heartbeat:
		reply = m.receiveHeartbeat(from, kind.Heartbeat)
	case *peerv1.Control_HeartbeatAck:
		m.receiveHeartbeatAck(from, kind.HeartbeatAck)
	case *peerv1.Control_PromiseRequest:
		reply = m.receivePromiseRequest(from, kind.PromiseRequest)
	case *peerv1.Control_Promise:
		m.receivePromise(from, kind.Promise)
	case *peerv1.Control_Release:
		reply = m.receiveRelease(from, kind.Release)
	case *peerv1.Control_ReleaseAck:
		m.receiveReleaseAck(kind.ReleaseAck)
	case *peerv1.Control_Handover:
		reply = m.receiveHandover(from, kind.Handover)
	case *peerv1.Control_HandoverAck:
		m.receiveHandoverAck(from, kind.HandoverAck)
	default:
		return nil, false
	}
	m.advance()
	return reply, true
}

// sortedTenures returns the tenures by target name, so that the same inputs
// give the same outputs in the same order.
func (m *machine) sortedTenures() []*tenure {
	sorted := make([]*tenure, 0, len(m.tenures))
	for _, t := range m.tenures {
		sorted = append(sorted, t)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].target < sorted[j].target })
	return sorted
}
