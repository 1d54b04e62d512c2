package coordinator

import (
	"encoding/json"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// listLinkTime bounds how long the leader's link is busy with the full lists of targets
// that are in flight at once. It is well below heartbeatTimeout, so that no heartbeat is
// missed behind them.
const listLinkTime = 100 * time.Millisecond

// membersPause is how long VMs that report for the first time wait until they are published
// as members. Their reports are answered at once.
const membersPause = 50 * time.Millisecond

// member is what the leader knows about another VM.
type member struct {
	fleet.Member
	// joinedAt is when the VM became a member, reportedAt when its last report arrived.
	joinedAt, reportedAt time.Time
	// followConfirmedAt is the uptime of this leader up to which the VM is known to have
	// followed it: the send time of the last heartbeat that the VM acknowledged. The
	// arrival of reports does not count, since a partition may delay them for as long
	// as it lasts.
	followConfirmedAt time.Duration
	// term is the term in the VM's last report.
	term uint64
	// reportSentMillis is when the VM sent its last report, by its own clock;
	// reportArrivedAt is this VM's uptime at its arrival.
	reportSentMillis uint64
	reportArrivedAt  time.Duration
	// sentVersions are the versions that were last sent; nil until the VM's first report.
	// detailsSentAt is when the owners of keys or the list of VMs were last sent.
	sentVersions  *peerv1.PartVersions
	deliveries    deliveries
	detailsSentAt time.Time
	// awaitsTargets is set while the VM needs the full list of targets and the link is
	// busy with the lists of others. fullListSentAt is when the full list was sent; zero
	// once the VM has reported it.
	awaitsTargets  bool
	fullListSentAt time.Time
}

// schedulePush schedules a push of changes after at most the given pause, so that
// changes within it are sent together.
func (c *Coordinator) schedulePush(pause time.Duration) {
	at := time.Now().Add(pause)
	if c.lead.pushAt.IsZero() || at.Before(c.lead.pushAt) {
		c.lead.pushAt = at
		c.config.Loop.PostAfter(pause, c.pushIfDue)
	}
}

// pushIfDue sends the pending changes if their pause is over.
func (c *Coordinator) pushIfDue() {
	if l := c.lead; l != nil && !l.pushAt.IsZero() && !time.Now().Before(l.pushAt) {
		c.pushAll()
	}
}

// brokers maps each service to the VM that issues its permits: the leader.
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
		// Cannot happen: all fields are plain values.
		panic(err)
	}
	return encoded
}

// pushAll sends every VM a heartbeat with the parts whose present version it lacks.
func (c *Coordinator) pushAll() {
	c.lead.pushAt = time.Time{}
	for _, m := range c.lead.members {
		c.push(m, time.Now())
	}
}

// push sends a VM a heartbeat with the parts whose present version it lacks.
func (c *Coordinator) push(m *member, now time.Time) {
	l := c.lead
	state := &peerv1.FleetState{
		Term: l.record.Term, Leader: memberToWire(c.config.Self), Versions: l.parts.versions(now),
		StoreLost: l.storeLost, Leaving: c.leaving, Outranked: l.outranked, RecordWrite: l.record.Write,
		Repeats: c.currentRepeats(now), SentMillis: uint64(c.config.Uptime().Milliseconds()),
		Known: c.knowledgeFor(m), Quota: c.currentQuota(now), StoreEra: c.source.era, LastFence: l.record.LastFence,
	}
	if m.sentVersions != nil {
		c.addParts(state, m, now)
	}
	c.config.Sender.Send(m.VM, &peerv1.Control{Kind: &peerv1.Control_FleetState{FleetState: state}})
}

// currentRepeats returns the retry-budget counters, at most maxPartAge old.
func (c *Coordinator) currentRepeats(now time.Time) []*peerv1.ServiceRepeats {
	l := c.lead
	if now.Sub(l.repeatsAt) > maxPartAge {
		l.repeats, l.repeatsAt = repeatsToWire(c.config.Repeats(now)), now
	}
	return l.repeats
}

// PushQuota sends all VMs a heartbeat with the present use of the teams' quotas, if this VM
// leads.
func (c *Coordinator) PushQuota() {
	if c.lead != nil {
		c.lead.quotaAt = time.Time{}
		c.pushAll()
	}
}

// currentQuota returns the use of the teams' quotas, at most maxPartAge old.
func (c *Coordinator) currentQuota(now time.Time) *peerv1.QuotaState {
	l := c.lead
	if c.config.Quotas != nil && now.Sub(l.quotaAt) > maxPartAge {
		l.quota, l.quotaAt = c.config.Quotas.QuotaState(now), now
	}
	return l.quota
}

// addParts adds the parts whose present version a VM lacks to a heartbeat. A list that
// this leader does not have yet is not sent, so that VMs keep the one they have.
func (c *Coordinator) addParts(state *peerv1.FleetState, m *member, now time.Time) {
	p := c.lead.parts
	if m.sentVersions.Config < p.configVersion {
		m.deliveries.config.markSent(m.sentVersions.Config == 0, now)
		state.Config, m.sentVersions.Config = p.config, p.configVersion
	}
	m.awaitsTargets = false
	if p.targets.digest != 0 && m.sentVersions.Targets != p.targets.digest {
		part := p.targets.since(m.sentVersions.Targets, now)
		if m.awaitsTargets = part.Base == 0 && !c.reserveListTurn(m, len(part.Body), now); !m.awaitsTargets {
			state.Targets, m.sentVersions.Targets = part, p.targets.digest
			m.deliveries.targets.markSent(part.Base == 0, now)
		}
	}
	if now.Sub(m.detailsSentAt) < c.detailPause() {
		return
	}
	if p.members.digest != 0 && m.sentVersions.Members != p.members.digest {
		state.Members = p.members.since(m.sentVersions.Members, now)
		m.sentVersions.Members, m.detailsSentAt = p.members.digest, now
		m.deliveries.members.markSent(state.Members.Base == 0, now)
	}
	// A VM cannot use the owners of keys before it has the targets.
	if p.slices.digest != 0 && m.sentVersions.Slices != p.slices.digest && !m.awaitsTargets && m.fullListSentAt.IsZero() {
		state.Slices = p.slices.since(m.sentVersions.Slices, now)
		m.sentVersions.Slices, m.detailsSentAt = p.slices.digest, now
		m.deliveries.slices.markSent(state.Slices.Base == 0, now)
	}
}

// reserveListTurn reports whether a full list of targets, of a size in bytes, may be
// sent to a VM now, and if so records that it is. When a whole fleet starts at once,
// heartbeats must not queue behind the lists, so these occupy the link for listLinkTime
// at most.
func (c *Coordinator) reserveListTurn(m *member, size int, now time.Time) bool {
	bytesInFlight := 0
	for _, other := range c.lead.members {
		if other != m && now.Sub(other.fullListSentAt) < listLostAfter {
			bytesInFlight += size
		}
	}
	if c.config.LinkRate > 0 && bytesInFlight > 0 && float64(bytesInFlight+size) > c.config.LinkRate*listLinkTime.Seconds() {
		return false
	}
	m.fullListSentAt = now
	return true
}

// targetsDelivered records that a VM has reported the list of targets, and sends the list
// to another VM that waits for it.
func (c *Coordinator) targetsDelivered(m *member, now time.Time) {
	m.fullListSentAt, m.detailsSentAt = time.Time{}, time.Time{}
	for _, next := range c.lead.members {
		if next.awaitsTargets {
			c.push(next, now)
			return
		}
	}
}

// detailPause returns the minimum time between two messages to one VM with the owners of
// keys or the list of VMs.
func (c *Coordinator) detailPause() time.Duration {
	if len(c.lead.members) > largeFleet {
		return largeFleetDetailInterval
	}
	return detailInterval
}

// handleReport processes a VM's report on the leader, and answers with a heartbeat.
func (c *Coordinator) handleReport(sender peer.Peer, report *peerv1.MemberReport) {
	l := c.lead
	if l == nil {
		return
	}
	now := time.Now()
	if report.Term > l.record.Term {
		c.stepDown("a VM knows a higher term")
		return
	}
	m := l.members[sender.VM]
	if m == nil || m.Incarnation != sender.Incarnation {
		m = &member{Member: fleet.Member{
			VM: sender.VM, Incarnation: sender.Incarnation, Address: report.Address, Processor: report.ProcessorMillis,
			FailureDomain: report.FailureDomain,
		}, joinedAt: now, detailsSentAt: now}
		l.members[sender.VM] = m
		c.publishMembersSoon(m)
	}
	m.reportedAt, m.term = now, report.Term
	c.lastFence = max(c.lastFence, report.LastFence)
	m.reportSentMillis, m.reportArrivedAt = report.SentMillis, c.config.Uptime()
	if report.Term == l.record.Term {
		if c.config.Quotas != nil {
			c.config.Quotas.QuotaReported(sender.VM, report.QuotaUses, now)
		}
		m.followConfirmedAt = max(m.followConfirmedAt, time.Duration(report.HeardMillis)*time.Millisecond)
	}
	m.updateDeliveries(report.Have, c.reportInterval(), now)
	if !m.fullListSentAt.IsZero() && l.parts.targets.has(report.Have.GetTargets()) {
		c.targetsDelivered(m, now)
	}
	c.push(m, now)
}

// publishMembersSoon publishes the members after membersPause, with all VMs that report for
// the first time until then: hundreds do when a whole fleet starts. These are sent the list
// at once.
func (c *Coordinator) publishMembersSoon(joined *member) {
	l := c.lead
	l.joined = append(l.joined, joined)
	if len(l.joined) > 1 {
		return
	}
	c.config.Loop.PostAfter(membersPause, func() {
		if c.lead != l {
			return
		}
		c.publishMembers()
		now := time.Now()
		for _, m := range l.joined {
			if l.members[m.VM] == m {
				m.detailsSentAt = time.Time{}
				c.push(m, now)
			}
		}
		l.joined = nil
	})
}

// publishMembers publishes the members. Other VMs get them with the next heartbeats.
func (c *Coordinator) publishMembers() {
	l := c.lead
	view := *c.view
	view.Members = map[string]fleet.Member{c.config.Self.VM: c.config.Self}
	for name, m := range l.members {
		view.Members[name] = m.Member
	}
	l.parts.setMembers(view.Members, view.Brokers)
	c.publish(&view)
}

// dropSilentMembers removes members that have not reported for memberTimeout.
func (c *Coordinator) dropSilentMembers(now time.Time) {
	dropped := false
	for name, m := range c.lead.members {
		if now.Sub(m.reportedAt) > memberTimeout {
			delete(c.lead.members, name)
			dropped = true
			events.MemberLost.Log(c.config.Logger).Str("vm", name).Dur("silent", now.Sub(m.reportedAt)).Send()
		}
	}
	if dropped {
		c.publishMembers()
	}
}
