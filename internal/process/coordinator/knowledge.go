package coordinator

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// currentWithin is the age up to which knowledge of the store is current: changes have
	// to be in force everywhere 2 s after the store has accepted them.
	currentWithin = 2 * time.Second
	// watchAfter is the age of a VM's knowledge of the store after which it watches the store
	// itself, whatever the reason: a leader that has lost the store, or that has ended, or
	// several of them. Usually the age is at most 1.05 s in a large fleet: 0.5 s of a poll,
	// a report interval of 0.5 s and one tick.
	watchAfter = 1200 * time.Millisecond
	// watchSpread is added to it, as a share that depends on the VM, so that 300 VMs do not
	// list the declarations at the same moment. Of the 2 s, 0.4 s are left for the lists.
	watchSpread = 400 * time.Millisecond
	// leaderReturnTime is the time that a leader which has regained the store has to list the
	// declarations before other VMs begin to do so.
	leaderReturnTime = 200 * time.Millisecond
	// storeReturnSpread bounds the pause of a VM that reaches the store again while it hears
	// a leader: most VMs then get what is new from the leader, which retries each 0.5 s.
	storeReturnSpread = time.Second
	// watchedEnough is the age of what a heartbeat brings below which a VM ends its own watch.
	watchedEnough = 1100 * time.Millisecond
	// askBefore is how long before that a VM begins to ask others, peersAsked at a time,
	// whether they know more: once some have read the declarations, or hear the leader, most
	// others need not read them, and those that do not reach the store get them, too.
	askBefore  = 100 * time.Millisecond
	peersAsked = 2
	// askPause is the pause before it asks again, so that a VM without the store asks several
	// times within the 2 s. From askOftenUntil on, as the age of what it knows, it asks once in
	// a report interval: the store is then away for most.
	askPause      = 150 * time.Millisecond
	askOftenUntil = 2500 * time.Millisecond
	// heartbeatLate is the time beyond a report interval after which a VM that is about to
	// watch reports again: the leader's answer may have been lost.
	heartbeatLate = 100 * time.Millisecond
	// watchRetryMin and watchRetryMax bound the backoff of a VM's own watch after a failed
	// call.
	watchRetryMin = 150 * time.Millisecond
	watchRetryMax = 2 * time.Second
)

// freshness is what a VM knows of the age of its view, for readers outside the loop. Times
// are uptimes.
type freshness struct {
	// heardAt is when the last heartbeat arrived or, on the leader, the present.
	heardAt time.Duration
	// knownAt is the time up to which the leader's knowledge of the store is in this VM's
	// view; known is false if there is no such time.
	knownAt time.Duration
	known   bool
}

// Current reports whether this VM is sure to be up to date: it receives heartbeats, and has
// all that the leader knows of the store, which is less than currentWithin old. It may be
// called from any goroutine.
func (c *Coordinator) Current() bool {
	f := c.freshness.Load()
	if f == nil || !f.known {
		return false
	}
	now := c.config.Uptime()
	return now-f.heardAt < heartbeatTimeout && now-f.knownAt < currentWithin
}

// viewSource is what this VM knows of the origin of the targets in its view.
type viewSource struct {
	// leader is the incarnation of the leader that has the same targets, or had when it last
	// sent a heartbeat; empty if this VM has read them from the store itself.
	leader string
	// knownAt is the uptime up to which the view has all changes; zero if unknown. It may have
	// later ones, but none that were made after changedAt, when the targets last changed.
	knownAt, changedAt time.Duration
	// era is the era of the store that the targets are of; empty if unknown.
	era string
}

// noteKnowledge records how recent the leader's knowledge is that this VM has after a
// heartbeat. While parts are missing, the time of the former heartbeat still holds.
func (c *Coordinator) noteKnowledge(state *peerv1.FleetState) {
	f := freshness{heardAt: c.config.Uptime()}
	if former := c.freshness.Load(); former != nil {
		f.knownAt, f.known = former.knownAt, former.known
	}
	c.leaderTellsAge = state.Known != nil
	c.noteStoreReached(state)
	if c.hasDeclarations(state.Versions) {
		c.source.leader, c.source.era = state.Leader.Incarnation, state.StoreEra
		if at, ok := c.knownAtOf(state); ok {
			c.source.knownAt = max(c.source.knownAt, at)
			f.knownAt, f.known = max(f.knownAt, at), true
		}
	}
	c.freshness.Store(&f)
}

// noteStoreReached tells the observer up to when the store has answered another VM: entries
// that are missing after a time in which only this VM did not reach it have been removed.
func (c *Coordinator) noteStoreReached(state *peerv1.FleetState) {
	if at, ok := c.knownAtOf(state); ok {
		c.observer.NoteStoreReached(time.Now().Add(at - c.config.Uptime()))
	}
}

// acceptsTargets reports whether the targets in a heartbeat may replace those in the view:
// they come from the leader whose targets the view has, or have all changes up to the last
// that the view has. A new leader may know less than this VM, and a target that this VM has
// seen leave must not come back for that.
func (c *Coordinator) acceptsTargets(state *peerv1.FleetState) bool {
	if state.Known == nil || c.source.knownAt == 0 || c.source.leader == state.GetLeader().GetIncarnation() {
		return true
	}
	at, ok := c.knownAtOf(state)
	return ok && at >= c.source.changedAt
}

// watchIfStale watches the store while what this VM hears from the leader is not recent.
func (c *Coordinator) watchIfStale(now time.Time, silentFor time.Duration) {
	if c.isStale(now, silentFor, askBefore) && !now.Before(c.askPeersAt) && !c.observer.Complete() {
		c.askPeersAt = now.Add(askPause)
		if c.config.Uptime()-c.source.knownAt > askOftenUntil {
			c.askPeersAt = now.Add(c.reportInterval())
		}
		c.askPeers()
	}
	if c.observer.Watching() {
		if c.observer.Tick(now) {
			c.publishObserved()
		}
		c.noteObserved()
		if c.hearsEnough(silentFor) {
			c.observer.Stop()
		}
		return
	}
	if !c.isStale(now, silentFor, 0) || now.Before(c.watchRetryAt) {
		return
	}
	if c.recordUnreadable {
		// The checks of the record show when the store is back, unless the leader has it
		// first. Then all VMs stop checking at once, and most get what is new from the leader
		// before they have to read it.
		if c.checkAt.IsZero() {
			c.recordUnreadable, c.watchRetryAt = false, now.Add(leaderReturnTime+rand.N(watchSpread))
		}
		return
	}
	c.observer.Seed(c.view, c.source.era)
	c.observer.StartCautiously(c.ctx)
}

// noteStoreReturned lets this VM's own watch begin again after a check of the record has
// reached the store.
func (c *Coordinator) noteStoreReturned(now time.Time) {
	pause := watchSpread
	if now.Sub(c.heartbeatAt) < heartbeatTimeout {
		pause = storeReturnSpread
	}
	c.watchRetryAt = now.Add(rand.N(pause))
}

// isStale reports whether this VM has to watch the store itself in a time from now, unless
// it hears something recent by then.
func (c *Coordinator) isStale(now time.Time, silentFor, in time.Duration) bool {
	spread := time.Duration(float64(xxh3.HashString(c.config.Self.VM)%1000) / 1000 * float64(watchSpread))
	if c.source.knownAt == 0 || !c.leaderTellsAge {
		return silentFor > watchStoreAfter+spread && now.Sub(c.startedAt) > watchStoreAfter+spread
	}
	return c.config.Uptime()-c.source.knownAt > watchAfter+spread-in
}

// askPeers asks some other VMs for the declarations.
func (c *Coordinator) askPeers() {
	query := &peerv1.LeaderQuery{SentMillis: uint64(c.config.Uptime().Milliseconds()), Have: c.declarationVersions()}
	others := c.otherVMs(c.view.Leader)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, vm := range others[:min(len(others), peersAsked)] {
		go func() {
			reply, err := c.call(vm, &peerv1.Control{Kind: &peerv1.Control_LeaderQuery{LeaderQuery: query}})
			if state := reply.GetLeaderQueryReply().GetDeclarations(); err == nil && state.GetVersions() != nil {
				c.config.Loop.Post(func() { c.applyDeclarations(state) })
			}
		}()
	}
}

// declarationVersions returns the versions of the configuration and the targets in the view.
func (c *Coordinator) declarationVersions() *peerv1.PartVersions {
	versions := &peerv1.PartVersions{Targets: c.haveVersions.Targets}
	if c.lead != nil {
		versions.Targets = c.lead.parts.targets.digest
	}
	if c.view.Config != nil {
		versions.Config = c.view.Config.Version
	}
	return versions
}

// declarationsFor returns the declarations for a VM that asks for them, or nil if this VM
// knows nothing recent.
func (c *Coordinator) declarationsFor(query *peerv1.LeaderQuery) *peerv1.FleetState {
	age := c.config.Uptime() - c.source.knownAt
	versions := c.declarationVersions()
	if c.source.knownAt == 0 || age > watchedEnough || versions.Config == 0 || versions.Targets == 0 {
		return nil
	}
	state := &peerv1.FleetState{
		Term: c.view.Term, Versions: versions, StoreEra: c.source.era,
		Known: &peerv1.StoreKnowledge{ReportMillis: query.SentMillis, AfterMillis: -age.Milliseconds()},
	}
	if query.Have.Config < versions.Config {
		state.Config = partOf(encodeConfig(c.view.Config))
	}
	if query.Have.Targets != versions.Targets {
		state.Targets = encodePart(diffTargets(targetSet{}, targetSet{c.view.Targets, c.view.Evacuated}, time.Now()))
	}
	return state
}

// applyDeclarations applies the declarations that another VM has sent if they are more recent
// than those of this VM.
func (c *Coordinator) applyDeclarations(state *peerv1.FleetState) {
	c.noteStoreReached(state)
	at, ok := c.knownAtOf(state)
	if !ok || c.lead != nil || at <= c.source.knownAt {
		return
	}
	view, changed := *c.view, false
	if state.Config != nil {
		c.applyConfig(&view, state)
		changed = view.Config != c.view.Config
	}
	targets := &peerv1.TargetList{}
	if at >= c.source.changedAt && state.Targets != nil && state.Targets.Base == 0 && c.decodeList(state.Targets, 0, targets) {
		c.haveVersions.Targets, c.source.leader, c.source.changedAt = state.Versions.Targets, "", c.config.Uptime()
		c.source.era = state.StoreEra
		view.Targets, view.Evacuated = applyTargets(targets, nil, time.Now())
		c.observer.Stop()
		changed = true
	}
	if changed {
		c.publish(&view)
	}
	if c.hasDeclarations(state.Versions) {
		c.source.knownAt = at
	}
}

// hearsEnough reports whether the leader's heartbeats make a watch of this VM unnecessary.
func (c *Coordinator) hearsEnough(silentFor time.Duration) bool {
	if !c.leaderTellsAge {
		return silentFor < heartbeatTimeout
	}
	f := c.freshness.Load()
	return f != nil && f.known && c.config.Uptime()-f.knownAt < watchedEnough
}

// reportIsLate reports whether another report is due because this VM is about to watch the
// store and the answer to the last report is missing.
func (c *Coordinator) reportIsLate(now time.Time, silentFor time.Duration) bool {
	return c.leaderTellsAge && c.source.knownAt != 0 && silentFor > c.reportInterval()+heartbeatLate &&
		c.config.Uptime()-c.source.knownAt > watchedEnough && now.Sub(c.reportedAt) >= reportEvery
}

// noteObserved records how recent the view is that this VM's own watches have filled.
func (c *Coordinator) noteObserved() {
	if at, ok := c.observer.KnownAt(); ok {
		c.source.knownAt, c.source.era = max(c.source.knownAt, at), c.observer.Era()
	}
}

// noteWatchFailure ends a follower's own watch after a failed call; it begins again after a
// pause, or once a check of the record has reached the store.
func (c *Coordinator) noteWatchFailure(err error, now time.Time) {
	if !fault.Is(err, fault.Unavailable) {
		c.watchPause = watchRetryMin
		return
	}
	c.observer.Stop()
	c.watchRetryAt = now.Add(c.watchPause/2 + rand.N(c.watchPause/2+1))
	c.watchPause = min(2*c.watchPause, watchRetryMax)
}

// knownAtOf returns the time, in this VM's uptime, up to which another VM knew the store when
// it sent its state.
func (c *Coordinator) knownAtOf(state *peerv1.FleetState) (time.Duration, bool) {
	if state.Known.GetReportMillis() == 0 {
		return 0, false
	}
	at := time.Duration(int64(state.Known.ReportMillis)+state.Known.AfterMillis) * time.Millisecond
	return min(at, c.config.Uptime()), true
}

// hasDeclarations reports whether this VM has the configuration and the targets of a leader
// with the given versions.
func (c *Coordinator) hasDeclarations(versions *peerv1.PartVersions) bool {
	return versions.Config != 0 && c.view.Config != nil && c.view.Config.Version >= versions.Config &&
		versions.Targets != 0 && c.haveVersions.Targets == versions.Targets
}

// noteLeaderKnowledge records on the leader how recent its knowledge of the store is. Until
// its watches have listed everything, it knows what it knew as a follower.
func (c *Coordinator) noteLeaderKnowledge() {
	c.noteObserved()
	c.freshness.Store(&freshness{heardAt: c.config.Uptime(), knownAt: c.source.knownAt, known: c.source.knownAt != 0})
}

// knowledgeFor returns the leader's knowledge of the store in a member's clock.
func (c *Coordinator) knowledgeFor(m *member) *peerv1.StoreKnowledge {
	f := c.freshness.Load()
	if f == nil || !f.known || m.reportSentMillis == 0 {
		return &peerv1.StoreKnowledge{}
	}
	return &peerv1.StoreKnowledge{ReportMillis: m.reportSentMillis, AfterMillis: (f.knownAt - m.reportArrivedAt).Milliseconds()}
}
