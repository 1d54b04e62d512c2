package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// reportEvery is the interval of a VM's reports to the leader. The leader answers
	// each with a heartbeat.
	reportEvery = 250 * time.Millisecond
	// largeFleet is the number of VMs above which reports are half as frequent, and the
	// owners of keys and the list of VMs are sent less often.
	largeFleet = 40
	// queryTimeout bounds a query to another VM.
	queryTimeout = 250 * time.Millisecond
	// queryCount is the number of VMs that are asked whether they hear from the leader:
	// enough that VMs partitioned off together do not count as a majority.
	queryCount = 9
	// watchStoreAfter is the time without a heartbeat after which a VM watches the store
	// itself if it does not know how recent its view is.
	watchStoreAfter = 2 * time.Second
)

// followTick reports to the leader, and checks whether to take over if its heartbeats
// are missing or it has asked for that.
func (c *Coordinator) followTick(now time.Time) {
	silentFor := now.Sub(c.heartbeatAt)
	if c.view.Leader.VM != "" && (!now.Before(c.reportAt) || c.reportIsLate(now, silentFor)) {
		c.report(now)
	}
	c.watchIfStale(now, silentFor)
	if silentFor < heartbeatTimeout && !c.leaderYielding {
		c.checkAt = time.Time{}
		return
	}
	if c.checkAt.IsZero() {
		c.checkAt = now.Add(rankDelay(c.config.Self, c.view))
		c.checkPause = checkPauseMin
	}
	if !c.checking && !now.Before(c.checkAt) {
		c.checkLeader(now, silentFor)
	}
}

// report sends the leader this VM's properties and the versions that it has.
func (c *Coordinator) report(now time.Time) {
	c.reportAt, c.reportedAt = now.Add(c.reportInterval()), now
	report := &peerv1.MemberReport{
		Term: c.view.Term, Address: c.config.Self.Address, ProcessorMillis: c.config.Self.Processor,
		FailureDomain: c.config.Self.FailureDomain, Have: proto.Clone(c.haveVersions).(*peerv1.PartVersions), HeardMillis: c.leaderUptimeMillis,
		SentMillis: uint64(c.config.Uptime().Milliseconds()), LastFence: c.lastFence,
	}
	if c.config.Quotas != nil {
		report.QuotaUses = c.config.Quotas.QuotaUses(now)
	}
	c.config.Sender.Send(c.view.Leader.VM, &peerv1.Control{Kind: &peerv1.Control_MemberReport{MemberReport: report}})
}

// reportInterval returns the interval of reports for the present number of VMs.
func (c *Coordinator) reportInterval() time.Duration {
	if len(c.view.Members) > largeFleet {
		return 2 * reportEvery
	}
	return reportEvery
}

// handleState processes a heartbeat of the leader, which may carry parts of its state.
func (c *Coordinator) handleState(sender peer.Peer, state *peerv1.FleetState) {
	now := time.Now()
	if state.Leader == nil || c.precedes(state.Term, state.Leader.Incarnation) {
		return
	}
	if state.Versions == nil {
		// Every leader sends the versions of its state.
		c.config.Logger.Warn().Str("from", sender.VM).Msg("ignored a heartbeat without versions")
		return
	}
	if c.lead != nil {
		if state.Leader.Incarnation == c.config.Self.Incarnation {
			return
		}
		c.stepDown("another VM leads a higher term")
	}
	view := *c.view
	changed := state.Config != nil || state.Targets != nil || state.Slices != nil || state.Members != nil
	if state.Term > view.Term || view.Leader.Incarnation != state.Leader.Incarnation {
		// The leader's knowledge can be told once it has a report of this VM.
		changed, c.reportAt = true, time.Time{}
		events.LeaderFollowed.Log(c.config.Logger).Uint64("term", state.Term).Str("leader", state.Leader.Vm).
			Uint64("term_before", view.Term).Str("leader_before", view.Leader.VM).Send()
	}
	view.Term = state.Term
	view.Leader = memberFromWire(state.Leader)
	c.noteHeartbeat(now)
	c.lastFence = max(c.lastFence, state.LastFence)
	c.leaderUptimeMillis, c.leaderWrite, c.leaderRepeats = state.SentMillis, state.RecordWrite, state.Repeats
	c.leaderLacksStore = state.StoreLost && !state.Leaving
	c.leaderYielding = state.StoreLost || state.Leaving || state.Outranked && outranks(c.config.Self, view.Leader)
	if changed {
		c.applyParts(&view, state, now)
		c.publish(&view)
	}
	c.noteKnowledge(state)
	if c.config.Quotas != nil && state.Quota != nil {
		c.config.Quotas.QuotaHeard(state.Quota, now)
	}
	if !now.Before(c.reportAt) {
		c.report(now)
	}
}

// precedes reports whether a leader comes before the one that this VM follows. Two leaders may
// have the same term after the store has been restored from a copy; a VM that has followed one
// of them and then the other does not go back.
func (c *Coordinator) precedes(term uint64, incarnation string) bool {
	if term == c.view.Term {
		return incarnation < c.view.Leader.Incarnation
	}
	return term < c.view.Term
}

// noteHeartbeat records the arrival of a heartbeat.
func (c *Coordinator) noteHeartbeat(now time.Time) {
	c.heartbeatAt = now
	c.sharedHeartbeatAt.Store(&now)
}

// applyParts applies the parts that a heartbeat carries to the view. A diff against a
// version that this VM does not have is ignored; the leader sends the part again,
// because the next report contains the versions that the VM has.
func (c *Coordinator) applyParts(view *fleet.View, state *peerv1.FleetState, now time.Time) {
	if state.Config != nil {
		c.applyConfig(view, state)
	}
	targets, sliceList, members := &peerv1.TargetList{}, &peerv1.SliceList{}, &peerv1.MemberList{}
	if c.acceptsTargets(state) && c.decodeList(state.Targets, c.haveVersions.Targets, targets) {
		c.haveVersions.Targets, c.source.changedAt = state.Versions.Targets, c.config.Uptime()
		// The list is at least as recent as what this VM's own watch has found. If it is not
		// recent enough, the watch begins again from it.
		c.observer.Stop()
		view.Targets, view.Evacuated = applyTargets(targets, baseOf(state.Targets, view.Targets), now)
		if state.Targets.Base == 0 {
			// The leader sends the owners of keys to this VM, and full lists to
			// others that wait, only after this report.
			c.reportAt = now
		}
	}
	if c.decodeList(state.Slices, c.haveVersions.Slices, sliceList) {
		c.haveVersions.Slices = state.Versions.Slices
		view.Slices = applySlices(sliceList, baseOf[sliceSet](state.Slices, view.Slices))
	}
	if c.decodeList(state.Members, c.haveVersions.Members, members) {
		c.haveVersions.Members = state.Versions.Members
		updated := applyMembers(members, baseOf(state.Members, memberSet{view.Members, view.Brokers}))
		view.Members, view.Brokers = updated.members, updated.brokers
	}
}

// decodeList decodes a list. It reports false if there is none, if it cannot be decoded,
// or if it is a diff against a version other than have.
func (c *Coordinator) decodeList(part *peerv1.Part, have uint64, list proto.Message) bool {
	if part == nil || part.Base != 0 && part.Base != have {
		return false
	}
	if err := decodePart(part, list); err != nil {
		c.config.Logger.Warn().Err(err).Msg("cannot decode a list in the leader's heartbeat")
		return false
	}
	return true
}

// applyConfig applies the leader's configuration to the view if it is newer.
func (c *Coordinator) applyConfig(view *fleet.View, state *peerv1.FleetState) {
	config := &fleet.Config{}
	body, err := bodyOf(state.Config)
	if err == nil {
		err = json.Unmarshal(body, config)
	}
	if err != nil {
		c.config.Logger.Warn().Err(err).Msg("cannot decode the configuration in the leader's heartbeat")
		return
	}
	c.haveVersions.Config = state.Versions.Config
	if view.Config == nil || config.Version > view.Config.Version {
		config.Index()
		view.Config = config
		events.ConfigurationInForce.Log(c.config.Logger).Uint64("version", config.Version).Uint64("term", state.Term).Send()
	}
}

// checkLeader reads the record and queries other VMs about the leader. Then leaderChecked
// decides whether to follow or to take over.
func (c *Coordinator) checkLeader(now time.Time, silentFor time.Duration) {
	c.checking = true
	view, leader, yielding, leaderWrite := c.view, c.view.Leader, c.leaderYielding, c.leaderWrite
	others := c.otherVMs(leader)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, checkPauseMax)
		defer cancel()
		record, version, err := c.readRecord(ctx)
		e := evidence{known: len(others), silentFor: silentFor}
		if fault.Is(err, fault.NotFound) && (view.Term > 0 || c.config.StartedBefore) {
			// There has been a record, so the store has been restored from a copy without one.
			e.pastEra, err = true, nil
		}
		e.pastEra = e.pastEra || err == nil && c.ofPastEra(record, version)
		named := record.Leader
		if e.pastEra && leader.VM != "" {
			named = leader
		}
		if err == nil && named.Incarnation == leader.Incarnation && (e.pastEra || record.Term == view.Term) {
			// The record still names the leader that this VM follows, or is of a past era,
			// so what is known of that leader applies.
			e.yielding = yielding
			e.recordWritten = !e.pastEra && record.Write > leaderWrite
			c.queryVMs(&e, others, view.Term)
		}
		if err == nil && named.VM != "" {
			e.ended, e.replaced = c.leaderEnded(named, view)
		}
		c.config.Loop.Post(func() { c.leaderChecked(record, version, err, e) })
	}()
}

// otherVMs returns the known VMs, in arbitrary order, without this one and the leader.
func (c *Coordinator) otherVMs(leader fleet.Member) []string {
	var found []string
	for vm := range c.view.Members {
		if vm != c.config.Self.VM && vm != leader.VM {
			found = append(found, vm)
		}
	}
	return found
}

// queryVMs asks up to queryCount VMs whether they receive heartbeats of the leader of
// a term, and counts the answers in e. If the record is of a past era, heartbeats of the leader
// of any term count: VMs may have followed different ones, of which no record tells.
func (c *Coordinator) queryVMs(e *evidence, others []string, term uint64) {
	type answer struct {
		reply *peerv1.LeaderQueryReply
		err   error
	}
	answers := make(chan answer, queryCount)
	e.asked = min(len(others), queryCount)
	for _, vm := range others[:e.asked] {
		go func() {
			reply, err := c.sendLeaderQuery(vm, term)
			answers <- answer{reply, err}
		}()
	}
	for range e.asked {
		a := <-answers
		switch {
		case errors.Is(a.err, syscall.ECONNREFUSED):
			e.refused++
		case a.reply != nil:
			e.answered++
			e.lastFence = max(e.lastFence, a.reply.LastFence)
			if (a.reply.Term == term || e.pastEra) && (a.reply.HeardMillisAgo < 0 || a.reply.HeardMillisAgo > heartbeatTimeout.Milliseconds()*3/4) {
				e.withoutLeader++
			}
		}
	}
}

// sendLeaderQuery asks a VM, by its name or address, for its term, its incarnation and
// the time since the last heartbeat that it received. term is this VM's.
func (c *Coordinator) sendLeaderQuery(vm string, term uint64) (*peerv1.LeaderQueryReply, error) {
	reply, err := c.call(vm, &peerv1.Control{Kind: &peerv1.Control_LeaderQuery{LeaderQuery: &peerv1.LeaderQuery{Term: term}}})
	return reply.GetLeaderQueryReply(), err
}

// call sends a request to another VM and waits up to queryTimeout for the reply.
func (c *Coordinator) call(vm string, question *peerv1.Control) (*peerv1.Control, error) {
	ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
	defer cancel()
	return c.config.Sender.Call(ctx, vm, question)
}

// answerLeaderQuery returns this VM's answer to a leader query; on a leader the time
// since the last heartbeat is 0.
func (c *Coordinator) answerLeaderQuery(query *peerv1.LeaderQuery) *peerv1.LeaderQueryReply {
	c.noteHigherTerm(query.GetTerm())
	reply := &peerv1.LeaderQueryReply{
		Term: c.view.Term, HeardMillisAgo: time.Since(c.heartbeatAt).Milliseconds(), Incarnation: c.config.Self.Incarnation, LastFence: c.lastFence,
	}
	if c.lead != nil {
		reply.HeardMillisAgo = 0
	}
	if query.GetHave() != nil {
		reply.Declarations = c.declarationsFor(query)
	}
	return reply
}

// leaderEnded reports whether the process of a leader has ended; replaced is set if
// another incarnation answers at its address. It runs outside the loop.
func (c *Coordinator) leaderEnded(leader fleet.Member, view *fleet.View) (ended, replaced bool) {
	if leader.VM == c.config.Self.VM {
		replaced = leader.Incarnation != c.config.Self.Incarnation
		return replaced, replaced
	}
	reply, err := c.sendLeaderQuery(leader.Address, view.Term)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false, false
		}
		return c.portClosed(leader.Address, c.chooseWitnesses(leader.FailureDomain, view, leader.VM)), false
	}
	incarnation := reply.GetIncarnation()
	replaced = incarnation != "" && incarnation != leader.Incarnation
	return replaced, replaced
}

// leaderChecked decides, after a check of the record, whether to follow the leader that
// it names, to take over, or to wait.
func (c *Coordinator) leaderChecked(record *fleet.Record, revision int64, err error, e evidence) {
	c.checking = false
	now := time.Now()
	c.lastFence = max(c.lastFence, e.lastFence)
	c.observer.NoteStoreAnswer(err, now)
	wasUnreadable := c.recordUnreadable
	c.recordUnreadable = err != nil && !fault.Is(err, fault.NotFound)
	if wasUnreadable && !c.recordUnreadable {
		c.noteStoreReturned(now)
	}
	c.checkAt = now.Add(c.checkPause)
	c.checkPause = min(2*c.checkPause, checkPauseMax)
	switch {
	case c.lead != nil || c.leaving:
	case fault.Is(err, fault.NotFound):
		c.formerStopped = true
		c.takeOver(&fleet.Record{}, store.Absent, "no-record", true, false)
	case err != nil:
		c.storeFailedAt = now
		events.RecordUnreadable.Log(c.config.Logger).Err(err).Uint64("term", c.view.Term).Dur("silent", e.silentFor).Send()
	case record.Term > c.view.Term && !e.ended && !e.pastEra:
		c.follow(record, now)
	default:
		e.recordUnchangedFor = c.recordUnchangedFor(revision, now)
		// A heartbeat during the check may have withdrawn the request.
		e.yielding = e.yielding && c.leaderYielding
		e.storeReturned = c.leaderLacksStore && now.Sub(c.storeFailedAt) < storeReturnGrace
		may, reason := mayTakeOver(e)
		events.LeaderMissed.Log(c.config.Logger).Uint64("term", record.Term).Str("leader", record.Leader.VM).
			Dur("silent", e.silentFor).Int("known", e.known).Int("asked", e.asked).Int("answered", e.answered).
			Int("deaf", e.withoutLeader).Int("dead", e.refused).Bool("written", e.recordWritten).Dur("record_unchanged", e.recordUnchangedFor).
			Bool("ended", e.ended).Bool("yielding", e.yielding).Bool("takes_over", may).Str("reason", reason).Send()
		if may {
			c.formerStopped = e.yielding || e.replaced
			c.takeOver(record, revision, reason, e.replaced && !e.yielding, e.pastEra)
		}
	}
}

// recordUnchangedFor returns how long this VM has read the record at a revision.
func (c *Coordinator) recordUnchangedFor(revision int64, now time.Time) time.Duration {
	if revision != c.recordRevision || c.recordRevisionSince.IsZero() {
		c.recordRevision, c.recordRevisionSince = revision, now
	}
	return now.Sub(c.recordRevisionSince)
}

// follow makes this VM follow the leader that the record names.
func (c *Coordinator) follow(record *fleet.Record, now time.Time) {
	view := *c.view
	view.Term, view.Leader = record.Term, record.Leader
	c.leaderYielding, c.leaderUptimeMillis, c.leaderWrite = false, 0, record.Write
	if c.heartbeatAt.Before(now.Add(-heartbeatTimeout)) {
		// Gives the new leader half of heartbeatTimeout to send its first heartbeat.
		c.heartbeatAt = now.Add(-heartbeatTimeout / 2)
	}
	c.publish(&view)
	c.report(now)
}
