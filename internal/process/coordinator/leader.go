package coordinator

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// authority is how long a leader acts after it was last known to be the one:
	// by the store, or by a majority of the other VMs.
	authority = 2 * time.Second
	// touchEvery is the interval at which the leader writes the record if nothing
	// else does, so that it learns of another leader, others see it alive, and it
	// knows whether the store answers; watches are quiet for minutes.
	touchEvery = 600 * time.Millisecond
	// touchRetry is the pause after a touch that failed.
	touchRetry = 300 * time.Millisecond
	// stall is the time without a tick after which this VM counts as having been
	// stopped. Until it has heard anew for afterStall that it leads, it sends no
	// orders: what waits in its connections is from before.
	stall      = 600 * time.Millisecond
	afterStall = 300 * time.Millisecond
	// storeLostAfter is the time without an answer of the store after which the
	// leader asks for another.
	storeLostAfter = 1200 * time.Millisecond
	// memberGone is the time after which a VM that does not report is forgotten.
	memberGone = 4 * time.Second
	// pushPause gathers changes of the declarations before they are passed on.
	pushPause = 20 * time.Millisecond
	// writeTimeout bounds a write of the record.
	writeTimeout = 1500 * time.Millisecond
	// writeRetry is the pause after a write of the record that failed.
	writeRetry = 200 * time.Millisecond
)

// leadership is the state of a VM while it leads.
type leadership struct {
	record   fleet.Record
	revision int64
	keeper   *leaseTable
	// orders is the context of the orders to targets; stop ends it.
	orders  context.Context
	stop    context.CancelFunc
	members map[string]*member
	parts   *parts

	// confirmedAt is the uptime at which the store last showed that this VM leads.
	confirmedAt time.Duration
	// confirmedMembers is the number of other VMs at that time.
	confirmedMembers int
	touchAt          time.Time
	// tickedAt and stalledAt are the uptimes of the last tick and of the last
	// tick that came much too late.
	tickedAt, stalledAt time.Duration
	// outdoneAt is the uptime at which a target last showed the fence of a later leader.
	outdoneAt time.Duration
	// since is when the leadership began.
	since time.Time
	// superseded is set once no former leader can act any more.
	superseded bool

	// repeats are the counts of the own broker as of repeatsAt.
	repeats   []*peerv1.ServiceRepeats
	repeatsAt time.Time

	storeHeardAt time.Time
	storeLost    bool
	// outranked is set while the lead is left to a VM that can do more.
	outranked bool

	// confirming are the targets of which it is being found out whether they have ended.
	confirming map[fleet.Life]bool

	declarationsChanged bool
	// slicesPending is set while a publication of the owners of keys is posted.
	slicesPending bool
	// pushAt is when pending changes are passed on; zero if there are none.
	pushAt  time.Time
	writing bool
	// writes numbers the writes of the record, also those that failed.
	writes         uint64
	planAt, tidyAt time.Time
}

// takeOver writes this VM into the record and leads if that succeeds.
func (c *Coordinator) takeOver(former *fleet.Record, revision int64, why string, formerEnded bool) {
	record := *former
	record.Term++
	record.Leader = c.config.Self
	record.Write = 1
	given := fencesAfter(former)
	record.LastFence = given.last
	c.looking = true
	began := c.config.Uptime()
	go func() {
		version, err := c.writeRecord(&record, revision)
		c.config.Loop.Post(func() {
			c.looking = false
			if err != nil {
				events.TakeoverFailed.Log(c.config.Logger).Uint64("term", record.Term).Str("reason", why).Err(err).Send()
				return
			}
			c.lead = newLeadership(record, version, given, formerEnded, c.view, c.leaseDuration(), time.Now())
			c.lead.orders, c.lead.stop = context.WithCancel(c.ctx)
			c.lead.confirmedAt, c.lead.tickedAt = began, c.config.Uptime()
			c.beginLeading(why, former)
		})
	}()
}

// newLeadership returns the state of a leader that has just been written into the
// record, which gives it fences. formerEnded is set if no former leader can act any more.
func newLeadership(record fleet.Record, revision int64, given fenceRange, formerEnded bool, view *fleet.View, hold time.Duration, now time.Time) *leadership {
	l := &leadership{
		record: record, revision: revision, writes: record.Write, keeper: newLeaseTable(record.Slices, given, hold),
		members: map[string]*member{}, parts: newParts(), confirming: map[fleet.Life]bool{},
		since: now, storeHeardAt: now, touchAt: now.Add(touchEvery),
	}
	if formerEnded {
		l.superseded = true
		l.keeper.formerLeaderEnded = true
		l.keeper.setSoleLeader(now)
	}
	for name, m := range view.Members {
		if name != record.Leader.VM {
			l.members[name] = &member{Member: m, joinedAt: now, heardAt: now}
		}
	}
	l.confirmedMembers = len(l.members)
	return l
}

// beginLeading starts the leader's work.
func (c *Coordinator) beginLeading(why string, former *fleet.Record) {
	l := c.lead
	events.LeadershipTaken.Log(c.config.Logger).Uint64("term", l.record.Term).Int64("revision", l.revision).
		Str("reason", why).Str("leader_before", former.Leader.VM).Int("members", len(l.members)).Send()
	if !c.observer.Watching() {
		c.observer.Seed(c.view)
		c.observer.Start(c.ctx, c.storeFailedAt)
	}
	// The own view goes its own ways from here on.
	l.parts.adoptLists(c.view, c.have)
	c.have = &peerv1.PartVersions{}
	l.keeper.adoptReady(c.view.Slices, time.Now())
	c.config.AdoptRepeats(repeatsFromWire(c.repeats), c.heardAt)
	c.repeats = nil
	view := *c.view
	view.Term, view.Leader = l.record.Term, c.config.Self
	c.publish(&view)
	c.publishSlices()
	l.declarationsChanged = true
	c.leadTick(time.Now())
	c.pushAll()
}

// stepDown ends the leadership. What is under way to targets must not reach them after
// the next leader's orders.
func (c *Coordinator) stepDown(why string) {
	if c.lead == nil {
		return
	}
	events.LeadershipLost.Log(c.config.Logger).Uint64("term", c.lead.record.Term).Str("reason", why).Send()
	c.lead.stop()
	c.lead = nil
	c.observer.Stop()
	c.heardAt = time.Now().Add(-silentAfter)
	c.lookAt = time.Time{}
	c.yielding = false
}

// leadTick does the leader's work that depends on time.
func (c *Coordinator) leadTick(now time.Time) {
	l := c.lead
	c.noteStall()
	if c.observer.Tick(now) {
		l.declarationsChanged = true
	}
	c.dropMembers(now)
	c.noteStore(now)
	l.outranked = l.isOutranked(now)
	c.supersede(now)
	c.touch(now)
	if l.declarationsChanged {
		l.declarationsChanged = false
		c.publishDeclared(now)
	}
	if !l.pushAt.IsZero() && !now.Before(l.pushAt) {
		c.pushAll()
	}
	c.manageKeys(now)
}

// publishDeclared passes on what the watches have brought.
func (c *Coordinator) publishDeclared(now time.Time) {
	l := c.lead
	view := *c.view
	if config := c.observer.Config(); config != nil && (view.Config == nil || config.Version >= view.Config.Version) {
		l.parts.setConfig(config)
		view.Config = config
	}
	if c.observer.Complete() {
		view.Targets, view.Evacuated = c.observer.Targets(), c.observer.Evacuated()
		l.parts.setTargets(view.Targets, view.Evacuated)
		c.noteLives(view.Targets, now)
	}
	view.Brokers = c.brokers(view.Config)
	l.parts.setMembers(view.Members, view.Brokers)
	c.publish(&view)
	c.pushWithin(pushPause)
}

// noteLives notes targets that have started again.
func (c *Coordinator) noteLives(targets map[string]*fleet.Target, now time.Time) {
	k := c.lead.keeper
	started := map[fleet.Life]fleet.Life{}
	for _, list := range k.slices {
		for _, s := range list {
			for _, life := range append([]fleet.Life{s.Owner}, s.From...) {
				if t := targets[life.ID]; t != nil && t.Born > life.Born {
					started[life] = t.Life
				}
			}
		}
	}
	for former, present := range started {
		k.markRestarted(former, present, now)
	}
}
