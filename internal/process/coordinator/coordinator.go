// Package coordinator elects a leader among the VMs and does the leader's work:
// it watches the declarations in the store, assigns keys to targets, grants the
// targets leases on their keys, and replicates all of this to the other VMs.
//
// Guarantees: one record in the store names the leader. It is changed only by
// conditional writes, which also carry the owners of all keys. A move is written
// to the record before it begins, so that no leader undoes a move of another. A
// leader renews grants only while its leadership is confirmed. Targets check
// fences, which rise with every move, and no fence is accepted by two processes.
//
// All state belongs to the goroutine of Config.Loop; only blocking calls run outside it.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/observer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// tickEvery is the interval at which the coordinator checks its timeouts.
const tickEvery = 50 * time.Millisecond

// Targets sends orders to targets. Errors are of the kinds NotFound (no process
// listens at the address), Refused (a process other than the target listens there
// and did not apply the order), UnknownOutcome and Unavailable.
type Targets interface {
	// Grant grants a slice to a target, or renews the grant, for the duration hold.
	// again is set if the fence has been sent before; then it is sent only to the
	// process that accepted it. An error of kind Conflict means that a higher fence is
	// needed: the process has seen a higher one, or, if the error is
	// target.ErrProcessUnknown, it may not be the process that accepted this one.
	Grant(ctx context.Context, to fleet.Target, slice fleet.Slice, again bool, hold time.Duration, handover string) error
	// Release takes a slice back from a target. It returns the target's handover
	// data, which goes to the next owner with its grant.
	Release(ctx context.Context, from fleet.Target, slice fleet.Slice) (handover string, err error)
}

// Config configures a Coordinator.
type Config struct {
	Self fleet.Member
	// RecordName is the name of the store object that holds the leader record.
	RecordName string
	// Names are the store prefixes and the decoders of the declarations.
	Names observer.Names
	// Loop runs everything that uses the coordinator's state.
	Loop  *loop.Loop
	Store store.Store
	// Eras are the eras of Store; nil if it is never restored from a copy.
	Eras    *store.Eras
	Sender  peer.ControlSender
	Targets Targets
	// StartedBefore is set unless the deployment starts for the first time: then there has
	// been a record.
	StartedBefore bool
	// LongestHold is the longest duration of a grant that targets accept.
	LongestHold time.Duration
	// LinkRate is the bandwidth of the VM's link in bytes per second; 0 if unknown.
	LinkRate float64
	// Publish receives every new view. It is called on the loop.
	Publish func(*fleet.View)
	// Observe returns the measurements of a target by this VM's broker, and false if
	// there are none.
	Observe func(service, target string) (admission.Observation, bool)
	// SteadyKeys is set if a target that is slow for a moment is to keep its keys.
	SteadyKeys bool
	// Dial opens a connection to an address and closes it.
	Dial func(ctx context.Context, address string) error
	// Demand calls use with the demand for the keys of a service that this VM's
	// broker has measured.
	Demand func(service string, now time.Time, use func(*keyspace.Load))
	// Repeats returns the retry-budget counters of this VM's broker, by service.
	// AdoptRepeats takes over the counters of the former leader's broker; heard is
	// the time of its last heartbeat.
	Repeats      func(now time.Time) map[string]admission.RepeatCount
	AdoptRepeats func(counts map[string]admission.RepeatCount, heard time.Time)
	// Quotas exchanges the use of the teams' quotas between the VMs; nil for none.
	Quotas Quotas
	// Uptime returns the time since the VM's start, including time suspended.
	Uptime func() time.Duration
	Logger *zerolog.Logger
}

// Quotas is the use of the teams' quotas as this VM counts it.
type Quotas interface {
	// QuotaState returns what a leader tells all VMs; nil if no team has a limit.
	QuotaState(now time.Time) *peerv1.QuotaState
	// QuotaHeard records what the leader has told.
	QuotaHeard(state *peerv1.QuotaState, now time.Time)
	// QuotaUses returns what this VM reports to the leader.
	QuotaUses(now time.Time) []*peerv1.TeamUse
	// QuotaReported records a report of another VM to this leader.
	QuotaReported(vm string, uses []*peerv1.TeamUse, now time.Time)
}

// Coordinator runs on every VM, as the leader or as a follower.
type Coordinator struct {
	config   Config
	ctx      context.Context
	view     *fleet.View
	observer *observer.Observer

	// The following fields are a follower's state.

	// startedAt is when the coordinator started.
	startedAt time.Time
	// heartbeatAt is when the last heartbeat of the leader arrived. A VM that finds a
	// new leader in the record sets it to the recent past, so that this leader has time
	// to send its first heartbeat.
	heartbeatAt time.Time
	// freshness is the age of the view, for readers outside the loop; nil at the start.
	freshness atomic.Pointer[freshness]
	// source is where the targets in the view come from, and how recent they are.
	source viewSource
	// leaderTellsAge is set if the last heartbeat told the age of the leader's knowledge; a
	// leader of an earlier release does not.
	leaderTellsAge bool
	// watchRetryAt is when this VM's own watch may begin again after a failed call, and
	// watchPause the pause after the next one. recordUnreadable is set if the last check of
	// the record could not reach the store.
	watchRetryAt     time.Time
	watchPause       time.Duration
	recordUnreadable bool
	// askPeersAt is when this VM may ask other VMs for the declarations again.
	askPeersAt time.Time
	// sharedHeartbeatAt is the arrival of the last heartbeat for readers outside the loop;
	// nil before the first one.
	sharedHeartbeatAt atomic.Pointer[time.Time]
	// leaderRepeats are the retry-budget counters in the leader's last heartbeat.
	leaderRepeats []*peerv1.ServiceRepeats
	// reportAt is when the next report to the leader is due, reportedAt when the last one was
	// sent.
	reportAt, reportedAt time.Time
	// leaderYielding is set if the leader has asked in its last heartbeat that this VM
	// take over.
	leaderYielding bool
	// leaderLacksStore is set if the leader has lost the store and is not shutting down.
	// storeFailedAt is when the store last failed to answer this VM.
	leaderLacksStore bool
	storeFailedAt    time.Time
	// haveVersions are the versions of the parts of the leader's state that this VM has.
	haveVersions *peerv1.PartVersions
	// checkAt is when the next check of the leader record is due; zero while
	// heartbeats arrive.
	checkAt time.Time
	// leaderUptimeMillis is the leader's uptime in milliseconds in its last heartbeat; 0
	// if there was none.
	leaderUptimeMillis uint64
	// leaderWrite is the number of the leader's last write of the record, as of its
	// last heartbeat.
	leaderWrite uint64
	// lastFence is the highest LastFence of a record that this VM has heard of.
	lastFence uint64
	// recordRevision is the record's revision when it was last read, recordRevisionSince
	// when it was first read at that revision.
	recordRevision      int64
	recordRevisionSince time.Time
	// checkPause is the pause before the next check of the record.
	checkPause time.Duration
	// checking is set while a check of the record or a takeover is in flight.
	checking bool

	// brokerState is nil on a follower.
	brokerState atomic.Pointer[brokerState]
	// formerStopped is set if the leader that this VM is about to replace has asked for it or
	// its process has been replaced.
	formerStopped bool

	// saidLeaving are the targets that have said in a response that they are leaving.
	saidLeaving map[fleet.Life]bool

	// lead is the leader's state; nil on a follower.
	lead *leadership
	// leaving is set once this VM is shutting down.
	leaving bool
}

// New returns a coordinator that does nothing until Start is called.
func New(config Config) *Coordinator {
	c := &Coordinator{config: config, view: &fleet.View{}, haveVersions: &peerv1.PartVersions{}, checkPause: checkPauseMin, watchPause: watchRetryMin}
	c.observer = observer.New(observer.Config{
		Names: config.Names, Store: config.Store, Loop: config.Loop, Logger: config.Logger,
		Changed: c.declarationsChanged, Contact: c.noteStoreAnswer,
		Uptime: config.Uptime, Eras: config.Eras,
	})
	return c
}

// Start starts the coordinator. It runs until the context is canceled.
func (c *Coordinator) Start(ctx context.Context) {
	c.ctx = ctx
	c.config.Loop.Post(func() {
		now := time.Now()
		c.startedAt = now
		c.heartbeatAt = now.Add(-heartbeatTimeout)
		c.checkAt = now.Add(rankDelay(c.config.Self, c.view))
	})
	c.config.Loop.Every(ctx, tickEvery, c.tick)
}

// Leave notes that this VM is shutting down. A leader asks the others to take over;
// a follower no longer becomes the leader.
func (c *Coordinator) Leave() {
	c.leaving = true
	if c.lead != nil {
		c.pushAll()
	}
}

// Leads reports whether this VM is the leader.
func (c *Coordinator) Leads() bool { return c.lead != nil }

// ReceivesHeartbeats reports whether a heartbeat of the leader has arrived within the
// heartbeat timeout. It may be called from any goroutine.
func (c *Coordinator) ReceivesHeartbeats() bool {
	at := c.sharedHeartbeatAt.Load()
	return at != nil && time.Since(*at) < heartbeatTimeout
}

// tick checks the timeouts of a leader or of a follower.
func (c *Coordinator) tick() {
	now := time.Now()
	if c.lead != nil {
		c.leadTick(now)
		return
	}
	c.followTick(now)
}

// declarationsChanged is called when the observer has read new declarations.
func (c *Coordinator) declarationsChanged() {
	if c.lead != nil {
		c.lead.declarationsChanged = true
		c.leadTick(time.Now())
		return
	}
	c.publishObserved()
}

// noteStoreAnswer records whether a call of the observer to the store was answered.
func (c *Coordinator) noteStoreAnswer(err error) {
	if c.lead != nil {
		c.lead.noteStoreAnswer(err, time.Now())
		return
	}
	c.noteWatchFailure(err, time.Now())
}

// publishObserved publishes a view built from this VM's own watches of the store.
func (c *Coordinator) publishObserved() {
	view := *c.view
	if config := c.observer.Config(); config != nil && (view.Config == nil || config.Version > view.Config.Version) {
		view.Config = config
	}
	if c.observer.Complete() {
		view.Targets, view.Evacuated = c.markLeaving(c.observer.Targets()), c.observer.Evacuated()
		// A leader that has read the same sends no list to this VM.
		if digest := digestTargets(view.Targets, view.Evacuated); digest != c.haveVersions.Targets {
			c.haveVersions.Targets, c.source.changedAt = digest, c.config.Uptime()
		}
		c.source.leader, c.source.era = "", c.observer.Era()
		c.noteObserved()
	}
	c.publish(&view)
}

func (c *Coordinator) publish(view *fleet.View) {
	c.view = view
	c.config.Publish(view)
}

// Handle processes a message from another VM. It returns the reply, or nil, and
// reports whether the message was for the coordinator.
func (c *Coordinator) Handle(sender peer.Peer, message *peerv1.Control) (*peerv1.Control, bool) {
	switch kind := message.Kind.(type) {
	case *peerv1.Control_MemberReport:
		c.handleReport(sender, kind.MemberReport)
	case *peerv1.Control_FleetState:
		c.handleState(sender, kind.FleetState)
	case *peerv1.Control_LeaderQuery:
		return &peerv1.Control{Kind: &peerv1.Control_LeaderQueryReply{LeaderQueryReply: c.answerLeaderQuery(kind.LeaderQuery)}}, true
	case *peerv1.Control_ProbeRequest:
		go c.answerProbe(sender, message.Call, kind.ProbeRequest.Address)
	default:
		return nil, false
	}
	return nil, true
}
