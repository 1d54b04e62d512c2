package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
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
	// resendAfter is the time after which a part is sent again that a VM does
	// not report.
	resendAfter = 2 * time.Second
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
	keeper   *keeper
	members  map[string]*member
	parts    *parts

	// confirmedAt is the uptime at which the store last showed that this VM leads.
	confirmedAt time.Duration
	touchAt     time.Time
	// tickedAt and stalledAt are the uptimes of the last tick and of the last
	// tick that came much too late.
	tickedAt, stalledAt time.Duration
	// since is when the leadership began.
	since time.Time
	// superseded is set once no former leader can act any more.
	superseded bool

	storeHeardAt time.Time
	storeLost    bool

	declarationsChanged bool
	// pushAt is when pending changes are passed on; zero if there are none.
	pushAt  time.Time
	writing bool
	// writes numbers the writes of the record, also those that failed.
	writes uint64
	planAt time.Time
}

// member is what the leader knows of another VM.
type member struct {
	fleet.Member
	heardAt time.Time
	// followedAt is the uptime at which the VM last said that it follows this one.
	followedAt time.Duration
	term       uint64
	leaving    bool
	// sent are the versions that were last sent, at sentAt; nil until the VM has
	// said what it has. detailsAt is when owners of keys or VMs were last sent.
	sent      *peerv1.PartVersions
	sentAt    time.Time
	detailsAt time.Time
}

// takeOver writes this VM into the record and leads if that succeeds.
func (c *Coordinator) takeOver(former *fleet.Record, revision int64, why string, formerEnded bool) {
	record := *former
	record.Term++
	record.Leader = c.config.Self
	record.Write = 1
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
			c.lead = newLeadership(record, version, formerEnded, c.view, c.hold(), time.Now())
			c.lead.confirmedAt, c.lead.tickedAt = began, c.config.Uptime()
			c.beginLeading(why, former)
		})
	}()
}

// newLeadership returns the state of a leader that has just been written into the
// record. formerEnded is set if no former leader can act any more.
func newLeadership(record fleet.Record, revision int64, formerEnded bool, view *fleet.View, hold time.Duration, now time.Time) *leadership {
	l := &leadership{
		record: record, revision: revision, writes: record.Write, keeper: newKeeper(record.Slices, hold),
		members: map[string]*member{}, parts: newParts(),
		since: now, storeHeardAt: now, touchAt: now.Add(touchEvery),
	}
	if formerEnded {
		l.superseded = true
		l.keeper.formerIsGone = true
		l.keeper.formerEnded(now)
	}
	for name, m := range view.Members {
		if name != record.Leader.VM {
			l.members[name] = &member{Member: m, heardAt: now}
		}
	}
	return l
}

// beginLeading starts the leader's work.
func (c *Coordinator) beginLeading(why string, former *fleet.Record) {
	l := c.lead
	events.LeadershipTaken.Log(c.config.Logger).Uint64("term", l.record.Term).Int64("revision", l.revision).
		Str("reason", why).Str("leader_before", former.Leader.VM).Int("members", len(l.members)).Send()
	if !c.observer.Watching() {
		c.observer.Seed(c.view)
		c.observer.Start(c.ctx)
	}
	// The own view goes its own ways from here on.
	c.have = &peerv1.PartVersions{}
	l.keeper.adopt(c.view.Slices)
	view := *c.view
	view.Term, view.Leader = l.record.Term, c.config.Self
	c.publish(&view)
	c.slicesChanged()
	l.declarationsChanged = true
	c.leadTick(time.Now())
	c.pushAll()
}

// stepDown ends the leadership.
func (c *Coordinator) stepDown(why string) {
	if c.lead == nil {
		return
	}
	events.LeadershipLost.Log(c.config.Logger).Uint64("term", c.lead.record.Term).Str("reason", why).Send()
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
	c.supersede(now)
	c.touch(now)
	if l.declarationsChanged {
		l.declarationsChanged = false
		c.publishDeclared(now)
	}
	if !l.pushAt.IsZero() && !now.Before(l.pushAt) {
		c.pushAll()
	}
	c.keepKeys(now)
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
		c.noteLives(view.Targets)
	}
	view.Brokers = c.brokers(view.Config)
	l.parts.setMembers(view.Members, view.Brokers)
	c.publish(&view)
	c.pushWithin(pushPause)
}

// pushWithin passes changes on after a pause, together with those that follow.
func (c *Coordinator) pushWithin(pause time.Duration) {
	at := time.Now().Add(pause)
	if c.lead.pushAt.IsZero() || at.Before(c.lead.pushAt) {
		c.lead.pushAt = at
		time.AfterFunc(pause, func() { c.config.Loop.Post(c.pushPending) })
	}
}

// pushPending passes changes on whose pause is over.
func (c *Coordinator) pushPending() {
	if l := c.lead; l != nil && !l.pushAt.IsZero() && !time.Now().Before(l.pushAt) {
		c.pushAll()
	}
}

// noteLives notes targets that have started again.
func (c *Coordinator) noteLives(targets map[string]*fleet.Target) {
	k := c.lead.keeper
	for _, list := range k.slices {
		for _, s := range list {
			for _, life := range append(append([]fleet.Life(nil), s.From...), s.Owner) {
				if t := targets[life.ID]; t != nil && t.Born > life.Born {
					k.startedAgain(life, t.Life)
				}
			}
		}
	}
}

// brokers names the VM that gives out the permits of each service.
func (c *Coordinator) brokers(config *fleet.Config) map[string]string {
	brokers := map[string]string{}
	if config == nil {
		return brokers
	}
	for _, service := range config.Services {
		brokers[service.Name] = c.config.Self.VM
	}
	return brokers
}

func encodeConfig(config *fleet.Config) []byte {
	encoded, err := json.Marshal(config)
	if err != nil {
		// All fields are plain values.
		panic(err)
	}
	return encoded
}

// pushAll sends every VM what it lacks.
func (c *Coordinator) pushAll() {
	c.lead.pushAt = time.Time{}
	for _, m := range c.lead.members {
		c.push(m, time.Now())
	}
}

// push sends a VM a heartbeat and the parts that it lacks.
func (c *Coordinator) push(m *member, now time.Time) {
	l := c.lead
	state := &peerv1.FleetState{
		Term: l.record.Term, Leader: identity(c.config.Self), Versions: l.parts.versions(),
		StoreLost: l.storeLost, Leaving: c.leaving,
	}
	if m.sent != nil {
		c.addParts(state, m, now)
	}
	c.config.Sender.Send(m.VM, &peerv1.Control{Kind: &peerv1.Control_FleetState{FleetState: state}})
}

// addParts adds the parts to a state that a VM lacks.
func (c *Coordinator) addParts(state *peerv1.FleetState, m *member, now time.Time) {
	p := c.lead.parts
	if m.sent.Config < p.digests.Config {
		state.Config, m.sent.Config, m.sentAt = p.config, p.digests.Config, now
	}
	if m.sent.Targets != p.digests.Targets {
		state.Targets = p.targetList(m.sent.Targets, now)
		m.sent.Targets, m.sentAt = p.digests.Targets, now
	}
	if now.Sub(m.detailsAt) < c.detailPause() {
		return
	}
	if p.slices != nil && m.sent.Slices != p.digests.Slices {
		state.Slices, m.sent.Slices, m.sentAt, m.detailsAt = p.slices, p.digests.Slices, now, now
	}
	if m.sent.Members != p.digests.Members {
		state.Members, m.sent.Members, m.sentAt, m.detailsAt = p.members, p.digests.Members, now, now
	}
}

func (c *Coordinator) detailPause() time.Duration {
	if len(c.lead.members) > largeFleet {
		return largePause
	}
	return detailPause
}

// handleReport takes in a VM's report and answers with what it lacks.
func (c *Coordinator) handleReport(from peer.Peer, report *peerv1.MemberReport) {
	l := c.lead
	if l == nil {
		return
	}
	now := time.Now()
	if report.Term > l.record.Term {
		c.stepDown("a VM knows a higher term")
		return
	}
	m := l.members[from.VM]
	if m == nil || m.Incarnation != from.Incarnation {
		m = &member{Member: fleet.Member{VM: from.VM, Incarnation: from.Incarnation, Address: report.Address}}
		l.members[from.VM] = m
		c.membersChanged()
	}
	m.heardAt, m.followedAt, m.term, m.leaving = now, c.config.Uptime(), report.Term, report.Leaving
	if m.sent == nil || now.Sub(m.sentAt) > resendAfter {
		m.sent = &peerv1.PartVersions{}
		if report.Have != nil {
			m.sent = proto.Clone(report.Have).(*peerv1.PartVersions)
		}
	}
	c.push(m, now)
}

// membersChanged publishes the VMs that the leader knows.
func (c *Coordinator) membersChanged() {
	l := c.lead
	view := *c.view
	view.Members = map[string]fleet.Member{c.config.Self.VM: c.config.Self}
	for name, m := range l.members {
		view.Members[name] = m.Member
	}
	l.parts.setMembers(view.Members, view.Brokers)
	c.publish(&view)
}

func (c *Coordinator) dropMembers(now time.Time) {
	dropped := false
	for name, m := range c.lead.members {
		if now.Sub(m.heardAt) > memberGone {
			delete(c.lead.members, name)
			dropped = true
			events.MemberLost.Log(c.config.Logger).Str("vm", name).Dur("silent", now.Sub(m.heardAt)).Send()
		}
	}
	if dropped {
		c.membersChanged()
	}
}

// noteStall notices that this VM has been stopped for a while.
func (c *Coordinator) noteStall() {
	l := c.lead
	now := c.config.Uptime()
	if l.tickedAt != 0 && now-l.tickedAt > stall {
		l.stalledAt = now
		l.touchAt = time.Time{}
		events.LeaderStalled.Log(c.config.Logger).Uint64("term", l.record.Term).Dur("stopped", now-l.tickedAt).Send()
	}
	l.tickedAt = now
}

// mayAct reports whether this VM is known to lead: the store or a majority of
// the VMs has said so lately, and since it was last stopped.
func (c *Coordinator) mayAct() bool {
	l := c.lead
	now := c.config.Uptime()
	if now-l.tickedAt > stall || l.stalledAt != 0 && now-l.stalledAt < afterStall {
		return false
	}
	return now-l.confirmedAt < authority && l.confirmedAt >= l.stalledAt || c.majority()
}

// majority reports whether most VMs follow this one. A VM follows one leader at
// a time and never goes back to a lower term.
func (c *Coordinator) majority() bool {
	l := c.lead
	now := c.config.Uptime()
	following := 1
	for _, m := range l.members {
		if m.term == l.record.Term && now-m.followedAt < authority && m.followedAt >= l.stalledAt+afterStall/2 {
			following++
		}
	}
	return len(l.members) > 0 && 2*following > len(l.members)+1
}

// supersede notes when no former leader can act any more: most VMs follow this
// one, or there are no others.
func (c *Coordinator) supersede(now time.Time) {
	l := c.lead
	if l.superseded || !c.majority() && len(l.members) > 0 {
		return
	}
	l.superseded = true
	l.keeper.formerEnded(now.Add(authority))
}

// noteStore tells the others when the store is lost or regained.
func (c *Coordinator) noteStore(now time.Time) {
	l := c.lead
	lost := now.Sub(l.storeHeardAt) > storeLostAfter
	if lost == l.storeLost {
		return
	}
	l.storeLost = lost
	events.StoreReach.Log(c.config.Logger).Bool("lost", lost).Dur("silent", now.Sub(l.storeHeardAt)).Send()
	c.pushAll()
}

// touch writes the record unchanged, but for the number of the write.
func (c *Coordinator) touch(now time.Time) {
	l := c.lead
	if l.writing || now.Before(l.touchAt) {
		return
	}
	c.write(l.record, func(err error) {
		if err != nil {
			l.touchAt = time.Now().Add(touchRetry)
		}
	})
}

// write writes the leader's record and calls done on the loop while it leads.
func (c *Coordinator) write(record fleet.Record, done func(error)) {
	l := c.lead
	l.writing = true
	l.writes++
	record.Write = l.writes
	revision := l.revision
	began := c.config.Uptime()
	go func() {
		version, err := c.writeRecord(&record, revision)
		c.config.Loop.Post(func() {
			if c.lead != l {
				return
			}
			l.writing = false
			l.storeContact(err, time.Now())
			if fault.Is(err, fault.Conflict) {
				c.stepDown("the record has been changed by another VM")
				return
			}
			if err == nil {
				l.record, l.revision, l.confirmedAt = record, version, began
				l.touchAt = time.Now().Add(touchEvery)
			}
			done(err)
		})
	}()
}

// storeContact notes the result of a call to the store.
func (l *leadership) storeContact(err error, now time.Time) {
	if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		l.storeHeardAt = now
	}
}

// writeRecord writes the record and resolves lost answers. A write without an
// answer may still take effect later, so it is repeated until the store answers
// or the object has moved on.
func (c *Coordinator) writeRecord(record *fleet.Record, revision int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	for unknown := false; ; time.Sleep(writeRetry) {
		ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
		version, err := c.config.Store.Put(ctx, c.config.RecordName, value, revision)
		cancel()
		if err == nil || c.ctx.Err() != nil {
			return version, err
		}
		if fault.Is(err, fault.Conflict) {
			return c.readBack(record, err)
		}
		unknown = unknown || fault.Is(err, fault.UnknownOutcome)
		if !unknown {
			return 0, err
		}
	}
}

// readBack finds out whether a write that was refused had taken effect before.
func (c *Coordinator) readBack(record *fleet.Record, refused error) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	object, err := c.config.Store.Get(ctx, c.config.RecordName)
	if err != nil {
		return 0, fault.Wrap(err, fault.UnknownOutcome, "read the record again", "the record cannot be read back")
	}
	var found fleet.Record
	if err := json.Unmarshal(object.Value, &found); err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "delete the object", "the record in the store cannot be read")
	}
	if found.Leader.Incarnation == record.Leader.Incarnation && found.Term == record.Term && found.Write == record.Write {
		return object.Version, nil
	}
	return 0, refused
}

// next returns the record with changed slices of one service.
func (l *leadership) next(service string, list []fleet.Slice, lastFence uint64) fleet.Record {
	record := l.record
	record.LastFence = lastFence
	record.Slices = maps.Clone(record.Slices)
	if record.Slices == nil {
		record.Slices = map[string][]fleet.Slice{}
	}
	record.Slices[service] = list
	return record
}
