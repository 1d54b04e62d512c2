package permits

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// ownReportInterval is how often the ledger takes over the counts of its own VM.
const ownReportInterval = 100 * time.Millisecond

// grownInterval is the shortest interval at which VMs are told of the growth of teams.
const grownInterval = 100 * time.Millisecond

// quotas counts the requests of teams that have a limit. Its methods are called under the
// lock of the desk. Without such teams it holds nothing.
type quotas struct {
	rule quota.Rule
	self string
	// share counts the requests of this VM; it decides in place of remote brokers that do
	// not reply. ledger counts those of all VMs while this VM leads.
	share  *quota.Share
	ledger *quota.Ledger[admission.ID]
	// reportedAt is when the ledger last took over the counts of this VM.
	reportedAt time.Time
	// grownAt is when all VMs were last told before a heartbeat was due.
	grownAt time.Time
}

// limit returns the limit of a team; false if it has none.
func (q *quotas) limit(view *fleet.View, team string) (quota.Limit, bool) {
	if team == "" || view.Config == nil {
		return quota.Limit{}, false
	}
	t := view.Config.Team(team)
	if t == nil {
		return quota.Limit{}, false
	}
	limit := quota.Limit{Rate: t.Rate, Burst: t.Burst}
	return limit, q.rule.Limited(limit)
}

// hasLimits reports whether any team of a view has a limit.
func (q *quotas) hasLimits(view *fleet.View) bool {
	return view.Config != nil && slices.ContainsFunc(view.Config.Teams, func(t fleet.Team) bool {
		return q.rule.Limited(quota.Limit{Rate: t.Rate, Burst: t.Burst})
	})
}

// leaderChanged records that another VM, or this one anew, is the broker.
func (q *quotas) leaderChanged(now time.Time) {
	q.ledger = nil
	q.share.BrokerChanged(now)
}

// openLedger returns the ledger, with the counts of this VM. One of a new leader begins with
// what the former broker said last, and with the VMs of the view.
func (q *quotas) openLedger(view *fleet.View, now time.Time) *quota.Ledger[admission.ID] {
	if q.ledger == nil {
		q.ledger = quota.NewLedger[admission.ID](q.rule, q.share.State(), slices.Collect(maps.Keys(view.Members)), now)
		q.reportedAt = time.Time{}
	}
	if now.Sub(q.reportedAt) >= ownReportInterval {
		q.reportedAt = now
		q.ledger.Report(q.self, q.share.AllForeign(now), now)
	}
	return q.ledger
}

// counts reports whether a target may have run a request.
func counts(end admission.End) bool {
	switch end.Result {
	case admission.NotRun, admission.NotOwner, admission.Refused, admission.Unreachable:
		return false
	case admission.Canceled:
		// The caller left after the request had been sent, or the permit was not used.
		return end.Took > 0
	}
	return true
}

// admit reserves a place for a request in the quota of its team, for all VMs if ofAll is
// set. It returns false and the decision if there is none. foreign is the number of requests
// of the team that the VM ran without permits of this broker.
func (q *quotas) admit(r *admission.Request, ofAll bool, foreign int, view *fleet.View, now time.Time) (admission.Decision, bool) {
	limit, limited := q.limit(view, r.Team)
	if !limited {
		return admission.Decision{}, true
	}
	if ofAll {
		after, ok := q.openLedger(view, now).Ask(r.ID, r.ID.VM, r.Team, limit, foreign, now)
		return admission.Decision{ID: r.ID, Refused: admission.QuotaSpent, RetryAfter: after}, ok
	}
	after, reached, ok := q.share.Ask(r.ID.Number, r.Team, limit, now)
	if reached {
		return admission.Decision{ID: r.ID, Refused: admission.QuotaSpent, RetryAfter: after}, ok
	}
	return admission.Decision{ID: r.ID, Refused: admission.QuotaUnknown, RetryAfter: min(after, brokerBackoff)}, ok
}

// decided records the decision on a request.
func (q *quotas) decided(decision admission.Decision, now time.Time) {
	if q.ledger != nil {
		q.ledger.Decided(decision.ID, decision.Refused == "", now)
	}
	if decision.ID.VM == q.self {
		q.share.Decided(decision.ID.Number, decision.Refused == "", now)
	}
}

// shareSpent reports whether this VM may run no more requests of a team without the broker.
func (d *Desk) shareSpent(team string) (spent bool) {
	if team == "" {
		return false
	}
	d.locked(func() {
		limit, limited := d.quotas.limit(d.config.View(), team)
		spent = limited && d.quotas.share.Spent(team, limit, time.Now())
	})
	return spent
}

// quotaUse returns the number of requests of a team that this VM ran without permits of the
// present broker.
func (d *Desk) quotaUse(team string) (use int) {
	if team != "" {
		d.locked(func() { use = d.quotas.share.Foreign(team, time.Now()) })
	}
	return use
}

// countPermitted counts a request of this VM that has a permit of a broker.
func (d *Desk) countPermitted(p Permit, team string) {
	if team == "" || p.Refused != "" {
		return
	}
	d.locked(func() {
		if _, limited := d.quotas.limit(d.config.View(), team); limited {
			d.quotas.share.Permitted(p.ID.Number, team, time.Now())
		}
	})
}

// quotaGrown reports whether all VMs should hear of the quotas now; at most each
// grownInterval.
func (d *Desk) quotaGrown(now time.Time) (grown bool) {
	d.locked(func() {
		q := &d.quotas
		if q.ledger != nil && now.Sub(q.grownAt) >= grownInterval && q.ledger.Grown() {
			q.grownAt, grown = now, true
		}
	})
	return grown
}

// QuotaState returns what this VM's broker tells all VMs of the teams' quotas; nil if no
// team has a limit.
func (d *Desk) QuotaState(now time.Time) (message *peerv1.QuotaState) {
	d.locked(func() {
		view, q := d.config.View(), &d.quotas
		if !q.hasLimits(view) {
			return
		}
		state := q.openLedger(view, now).State(func(team string) (quota.Limit, bool) { return q.limit(view, team) }, now)
		q.share.Heard(state, now)
		message = &peerv1.QuotaState{FloorPermille: uint32(state.Floor * 1000), Vms: uint32(state.VMs)}
		for team, used := range state.Used {
			message.Used = append(message.Used, &peerv1.TeamUse{Team: team, Requests: uint32(used)})
		}
	})
	return message
}

// QuotaHeard records what the broker of another VM tells of the teams' quotas.
func (d *Desk) QuotaHeard(message *peerv1.QuotaState, now time.Time) {
	state := quota.State{Used: map[string]int{}, Floor: float64(message.FloorPermille) / 1000, VMs: int(message.Vms)}
	for _, u := range message.Used {
		state.Used[u.Team] = int(u.Requests)
	}
	d.locked(func() { d.quotas.share.Heard(state, now) })
}

// QuotaUses returns what this VM ran without permits of the present broker.
func (d *Desk) QuotaUses(now time.Time) (uses []*peerv1.TeamUse) {
	d.locked(func() {
		for team, count := range d.quotas.share.AllForeign(now) {
			uses = append(uses, &peerv1.TeamUse{Team: team, Requests: uint32(count)})
		}
	})
	return uses
}

// QuotaReported records on the broker what another VM ran without its permits.
func (d *Desk) QuotaReported(vm string, uses []*peerv1.TeamUse, now time.Time) {
	d.locked(func() {
		view, q := d.config.View(), &d.quotas
		if !q.hasLimits(view) {
			return
		}
		foreign := map[string]int{}
		for _, u := range uses {
			foreign[u.Team] = int(u.Requests)
		}
		q.openLedger(view, now).Report(vm, foreign, now)
	})
}
