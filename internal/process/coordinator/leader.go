package coordinator

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// leaderLease is how long a leader may act after its leadership was last confirmed
	// by the store or by a majority of the VMs.
	leaderLease = 2 * time.Second
	// recordRenewEvery is the interval at which the leader writes an otherwise unchanged
	// record. It thus learns of another leader, shows the others that it is alive,
	// and finds out whether the store answers, even if no watch event arrives for
	// minutes.
	recordRenewEvery = 600 * time.Millisecond
	// recordRenewRetry is the pause after such a write failed.
	recordRenewRetry = 300 * time.Millisecond
	// stallThreshold is the time without a tick after which the process counts as having
	// stalled, for instance because the VM was suspended. It then sends no orders for
	// stallRecovery, and only once its leadership is confirmed again: messages that wait
	// in its connections predate the stall.
	stallThreshold = 600 * time.Millisecond
	stallRecovery  = 300 * time.Millisecond
	// storeLostAfter is the time without an answer from the store after which the
	// leader asks the others to take over.
	storeLostAfter = 1200 * time.Millisecond
	// memberTimeout is the time without a report after which a VM is removed from the
	// members.
	memberTimeout = 4 * time.Second
	// pushPause is how long changes of the declarations are collected before they are
	// sent to the other VMs.
	pushPause = 20 * time.Millisecond
	// writeTimeout bounds a write of the record.
	writeTimeout = 1500 * time.Millisecond
	// writeRetry is the pause after a write of the record that failed.
	writeRetry = 200 * time.Millisecond
)

// leadership is the state of a VM while it leads.
type leadership struct {
	record     fleet.Record
	revision   int64
	leaseTable *leaseTable
	// orderContext is the context of the orders to targets; cancelOrders cancels it.
	orderContext context.Context
	cancelOrders context.CancelFunc
	members      map[string]*member
	parts        *parts

	// storeConfirmedAt is the uptime at which the last write of the record that succeeded
	// was begun; it confirmed the leadership.
	storeConfirmedAt time.Duration
	// membersAtConfirmation is the number of other VMs at that time.
	membersAtConfirmation int
	// renewRecordAt is when the record is to be written again, even if unchanged.
	renewRecordAt time.Time
	// tickedAt is the uptime of the last tick; stalledAt is that of the first tick after
	// the last stall, 0 if there was none.
	tickedAt, stalledAt time.Duration
	// laterLeaderSeenAt is the uptime at which a target last refused a grant with a higher
	// fence, which a later leader must have issued; 0 if never.
	laterLeaderSeenAt time.Duration
	// leadingSince is when the leadership began.
	leadingSince time.Time
	// soleLeader is set once a majority follows this leader, there are no other VMs, or
	// the former leader has ended: no former leader can act for longer than leaderLease
	// after that.
	soleLeader bool
	// formerBrokerLease is as in brokerState.
	formerBrokerLease time.Duration

	// repeats are the retry-budget counters of this VM's broker as of repeatsAt.
	repeats   []*peerv1.ServiceRepeats
	repeatsAt time.Time
	// quota is the use of the teams' quotas as of quotaAt.
	quota   *peerv1.QuotaState
	quotaAt time.Time

	// storeAnsweredAt is when the store last answered; storeLost is set if that was too
	// long ago.
	storeAnsweredAt time.Time
	storeLost       bool
	// outranked is set while a larger VM is asked to take over.
	outranked bool

	// reachChecks are the targets for which a check whether other VMs reach them is in
	// flight.
	reachChecks map[fleet.Life]bool

	// declarationsChanged is set if there are declarations to publish.
	declarationsChanged bool
	// slicesPending is set while publishing the owners of keys is due, targetsPending if the
	// targets are to be published as well. slicesPublishedAt and targetsPublishedAt are when
	// they last were.
	slicesPending, targetsPending         bool
	slicesPublishedAt, targetsPublishedAt time.Time
	// joined are the VMs that have joined since the members were last published for some.
	joined []*member
	// pushAt is when pending changes are sent to the other VMs; zero if there are
	// none.
	pushAt time.Time
	// writing is set while a write of the record is in flight.
	writing bool
	// writes is the number of writes of the record, including failed ones.
	writes uint64
	// planAt is when moves of keys are planned next; tidyAt is when slices with
	// little load are joined next.
	planAt, tidyAt time.Time
	// speeds are the speeds of targets that were observed lately.
	speeds steadySpeeds
}

// takeOver writes this VM into the record as the leader of the next term, and starts
// to lead if the write succeeds. formerEnded is set if the former leader's process is
// known to have ended; pastEra if the store has been restored since the record was written.
func (c *Coordinator) takeOver(former *fleet.Record, revision int64, reason string, formerEnded, pastEra bool) {
	record := *former
	record.Term++
	record.Leader = c.config.Self
	record.Write = 1
	record.Era = c.config.Eras.Name(revision)
	reserved := fencesAfter(former)
	if pastEra {
		record.Term = max(former.Term, c.view.Term) + termJump
		record.Slices = c.recoveredSlices(former)
		reserved = recoveredFences(max(former.LastFence, c.lastFence), record.Slices)
		record.Recovering = true
	}
	formerEnded = formerEnded && !record.Recovering
	record.LastFence = reserved.last
	c.checking = true
	began := c.config.Uptime()
	go func() {
		version, err := c.writeRecord(&record, revision)
		c.config.Loop.Post(func() {
			c.checking = false
			c.observer.NoteStoreAnswer(err, time.Now())
			if err != nil {
				events.TakeoverFailed.Log(c.config.Logger).Uint64("term", record.Term).Str("reason", reason).Err(err).Send()
				return
			}
			if c.ofPastEra(&record, version) {
				events.TakeoverFailed.Log(c.config.Logger).Uint64("term", record.Term).Str("reason", reason).Err(store.ErrRestored).Send()
				return
			}
			c.lastFence = max(c.lastFence, record.LastFence)
			c.lead = newLeadership(record, version, reserved, formerEnded, c.view, c.leaseDuration(), time.Now())
			c.lead.orderContext, c.lead.cancelOrders = context.WithCancel(c.ctx)
			c.lead.storeConfirmedAt, c.lead.tickedAt = began, c.config.Uptime()
			c.beginLeading(reason, former)
		})
	}()
}

// newLeadership returns the state of a leader that has just been written into the
// record. reserved are the fences that this write reserved; hold is the duration of a
// grant. formerEnded is set if no former leader can act any more.
func newLeadership(record fleet.Record, revision int64, reserved fenceRange, formerEnded bool, view *fleet.View, hold time.Duration, now time.Time) *leadership {
	l := &leadership{
		record: record, revision: revision, writes: record.Write, leaseTable: newLeaseTable(record.Slices, reserved, hold),
		members: map[string]*member{}, parts: newParts(), reachChecks: map[fleet.Life]bool{}, speeds: steadySpeeds{},
		leadingSince: now, storeAnsweredAt: now, renewRecordAt: now.Add(recordRenewEvery),
	}
	l.leaseTable.recovering = record.Recovering
	if formerEnded {
		l.soleLeader = true
		l.leaseTable.formerLeaderEnded = true
		l.leaseTable.setSoleLeader(now)
	}
	for name, m := range view.Members {
		if name != record.Leader.VM {
			l.members[name] = &member{Member: m, joinedAt: now, reportedAt: now}
		}
	}
	l.membersAtConfirmation = len(l.members)
	return l
}

// beginLeading starts the leader's work after a takeover.
func (c *Coordinator) beginLeading(reason string, former *fleet.Record) {
	l := c.lead
	if !c.formerStopped {
		l.formerBrokerLease = brokerLease
	}
	c.noteBrokerState()
	events.LeadershipTaken.Log(c.config.Logger).Uint64("term", l.record.Term).Int64("revision", l.revision).
		Str("reason", reason).Str("leader_before", former.Leader.VM).Int("members", len(l.members)).Send()
	if !c.observer.Watching() {
		c.observer.Seed(c.view, c.source.era)
		c.observer.Start(c.ctx)
	}
	// The follower's lists become the base of the diffs that this leader sends.
	l.parts.adoptLists(c.view, c.haveVersions)
	c.haveVersions = &peerv1.PartVersions{}
	l.leaseTable.adoptReady(c.view.Slices, time.Now())
	c.config.AdoptRepeats(repeatsFromWire(c.leaderRepeats), c.heartbeatAt)
	c.leaderRepeats = nil
	view := *c.view
	view.Term, view.Leader = l.record.Term, c.config.Self
	c.publish(&view)
	c.publishSlices()
	l.declarationsChanged = true
	c.leadTick(time.Now())
	c.pushAll()
}

// stepDown ends the leadership. It cancels orders in flight, which must not reach
// targets after orders of the next leader.
func (c *Coordinator) stepDown(reason string) {
	if c.lead == nil {
		return
	}
	events.LeadershipLost.Log(c.config.Logger).Uint64("term", c.lead.record.Term).Str("reason", reason).Send()
	c.lead.cancelOrders()
	c.lead = nil
	c.brokerState.Store(nil)
	if f := c.freshness.Load(); f != nil {
		c.freshness.Store(&freshness{heardAt: c.config.Uptime() - heartbeatTimeout, knownAt: f.knownAt, known: f.known})
		c.source.leader, c.source.changedAt = "", c.config.Uptime()
	}
	c.observer.Stop()
	c.heartbeatAt = time.Now().Add(-heartbeatTimeout)
	c.checkAt = time.Time{}
	c.leaderYielding = false
}

// leadTick checks a leader's timeouts and does the work that is due.
func (c *Coordinator) leadTick(now time.Time) {
	l := c.lead
	c.detectStall()
	if c.observer.Tick(now) {
		l.declarationsChanged = true
	}
	c.dropSilentMembers(now)
	c.detectStoreLoss(now)
	c.noteLeaderKnowledge()
	c.noteBrokerState()
	l.outranked = l.isOutranked(now)
	c.detectSoleLeader(now)
	c.endRecovery(now)
	c.renewRecord(now)
	if l.declarationsChanged {
		l.declarationsChanged = false
		c.publishDeclarations(now)
	}
	c.publishAssumed(now)
	if !l.pushAt.IsZero() && !now.Before(l.pushAt) {
		c.pushAll()
	}
	c.manageKeys(now)
}

// publishDeclarations publishes the declarations that the watches have read, and sends
// them to the other VMs.
func (c *Coordinator) publishDeclarations(now time.Time) {
	l := c.lead
	view := *c.view
	if config := c.observer.Config(); config != nil && (view.Config == nil || config.Version >= view.Config.Version) {
		l.parts.setConfig(config)
		view.Config = config
	}
	if c.observer.Complete() {
		view.Targets, view.Evacuated = c.markLeaving(c.observer.Targets()), c.observer.Evacuated()
		l.parts.setTargets(view.Targets, view.Evacuated)
		c.noteRestarts(view.Targets, now)
	}
	view.Brokers = c.brokers(view.Config)
	l.parts.setMembers(view.Members, view.Brokers)
	c.publish(&view)
	c.schedulePush(pushPause)
}

// noteRestarts records in the lease table which owners and former owners of slices have
// restarted.
func (c *Coordinator) noteRestarts(targets map[string]*fleet.Target, now time.Time) {
	leases := c.lead.leaseTable
	restarted := map[fleet.Life]fleet.Life{}
	for _, list := range leases.slices {
		for _, s := range list {
			for _, life := range append([]fleet.Life{s.Owner}, s.FormerOwners...) {
				if t := targets[life.ID]; t != nil && t.Born > life.Born {
					restarted[life] = t.Life
				}
			}
		}
	}
	for former, present := range restarted {
		leases.markRestarted(former, present, now)
	}
}
