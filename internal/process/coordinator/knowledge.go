package coordinator

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
)

// currentWithin is the age up to which knowledge of the store is current: changes have to
// be in force everywhere 2 s after the store has accepted them.
const currentWithin = 2 * time.Second

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

// noteKnowledge records how recent the leader's knowledge is that this VM has after a
// heartbeat. While parts are missing, the time of the former heartbeat still holds.
func (c *Coordinator) noteKnowledge(state *peerv1.FleetState) {
	f := freshness{heardAt: c.config.Uptime()}
	if former := c.freshness.Load(); former != nil {
		f.knownAt, f.known = former.knownAt, former.known
	}
	if at, ok := knownAtOf(state); ok && c.hasDeclarations(state.Versions) && (!f.known || at > f.knownAt) {
		f.knownAt, f.known = at, true
	}
	c.freshness.Store(&f)
}

// knownAtOf returns the time, in this VM's uptime, up to which the leader knew the store
// when it sent a heartbeat.
func knownAtOf(state *peerv1.FleetState) (time.Duration, bool) {
	if state.Known == nil {
		return 0, false
	}
	return time.Duration(int64(state.Known.ReportMillis)+state.Known.AfterMillis) * time.Millisecond, true
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
	f := freshness{heardAt: c.config.Uptime()}
	if former := c.freshness.Load(); former != nil {
		f.knownAt, f.known = former.knownAt, former.known
	}
	if at, ok := c.observer.KnownAt(); ok {
		f.knownAt, f.known = at, true
	}
	c.freshness.Store(&f)
}

// knowledgeFor returns the leader's knowledge of the store in a member's clock, or nil.
func (c *Coordinator) knowledgeFor(m *member) *peerv1.StoreKnowledge {
	f := c.freshness.Load()
	if f == nil || !f.known || m.reportSentMillis == 0 {
		return nil
	}
	return &peerv1.StoreKnowledge{ReportMillis: m.reportSentMillis, AfterMillis: (f.knownAt - m.reportArrivedAt).Milliseconds()}
}
