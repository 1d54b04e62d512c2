// Package admission decides which request may run at which target, and when.
//
// A Broker tracks the targets of its services, the requests in flight at them
// and the requests that wait. It answers every request with a permit for one
// target or with a refusal, and refuses at once if the request cannot be served
// in time. Its methods take the current time as an argument, and the package does
// no I/O, so that tests can simulate any load.
//
// It handles bursts above capacity (requests that can still meet their aim run
// first; those that cannot meet their deadline are refused on arrival), slow
// and failing targets (service times and failures are measured per target),
// cold targets (the rate limit covers all senders, because one broker serves
// them all), and hot keys (each owner has its own queue, so that requests for
// other owners do not wait).
package admission

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// Reason says why a request was refused.
type Reason string

const (
	// NoTarget: no target of the service accepts requests at the moment.
	NoTarget Reason = "no-target"
	// NoOwner: no target owns the key at the moment.
	NoOwner Reason = "no-owner"
	// WouldBeLate: the request cannot be answered before its deadline.
	WouldBeLate Reason = "would-be-late"
	// NotBroker: this broker does not decide for the service, or not any more. The request
	// has to be submitted to another.
	NotBroker Reason = "not-broker"
	// BudgetSpent: the retry budget of the service is exhausted.
	BudgetSpent Reason = "budget-spent"
	// QuotaSpent: the team has reached its limit. It has room again after RetryAfter.
	QuotaSpent Reason = "quota-spent"
	// QuotaUnknown: the broker, which knows whether the team has reached its limit, cannot be
	// asked, and the VM has used its share of the limit.
	QuotaUnknown Reason = "quota-unknown"
)

// Result is how a permitted request ended.
type Result uint8

// The results. Their values are sent to other VMs.
const (
	// Answered: the target ran the request and answered.
	Answered Result = iota + 1
	// NotRun: the target refused the request without running it.
	NotRun
	// NotOwner: the target does not own the key, or another target answered
	// at its address.
	NotOwner
	// Broken: the connection failed after the request had been sent.
	Broken
	// Refused: the connection was refused; no process listens at the target's
	// address.
	Refused
	// Unreachable: no connection to the target could be opened in time.
	Unreachable
	// Timeout: no answer arrived in time.
	Timeout
	// Canceled: the caller disconnected, or the permit was not used.
	Canceled
	// Failed: the target answered with an error.
	Failed
	// Unanswered: the target did not answer in time, though it runs: it was full.
	Unanswered
)

// TurnedAway reports whether a target that is full may end a request with the result.
func (r Result) TurnedAway() bool { return r == NotRun || r == Broken }

// ID identifies a request across all VMs.
type ID struct {
	VM     string
	Number uint64
}

// Request asks for a permit.
type Request struct {
	ID      ID
	Service string
	// Key is the key that the request is for, if the service is keyed.
	Key uint16
	// Class groups requests that need a similar amount of work.
	Class string
	// Domain is the failure domain of the VM that will send the request.
	Domain string
	// Team is the team of the caller; empty if the configuration has no teams.
	Team string
	// Priority orders waiting requests; 0 is the highest priority.
	Priority int
	// Aim is when the answer should arrive. Deadline is when it becomes useless
	// to the caller.
	Aim, Deadline time.Time
	// Repeat is set if the request has been sent to a target before.
	Repeat bool
	// Exclude lists targets that have failed the request and must not get it again.
	Exclude []string
	// Large is set for requests that are expensive to send to another failure
	// domain.
	Large bool

	arrived time.Time
	// localUntil is the time before which only targets in the request's own
	// failure domain may run it; zero if any target may.
	localUntil time.Time
	// turn orders the waiting requests of a priority; turnCost is the distance to the next
	// turn of the team, 0 without teams.
	turn, turnCost float64
}

// Decision is the answer to a request: a permit for a target, or a refusal.
type Decision struct {
	ID     ID
	Target fleet.Life
	// Refused is the reason of a refusal; empty for a permit.
	Refused Reason
	// RetryAfter is how long a refused caller should wait before it tries again.
	RetryAfter time.Duration
	// Shared is set for a local permit for a slot that belongs to the VM. LoadAge is the
	// age of the target's last report at a local permit, if LoadKnown.
	Shared    bool
	LoadAge   time.Duration
	LoadKnown bool
}

// End reports the end of a permitted request.
type End struct {
	ID     ID
	Result Result
	// Took is the time from sending to the answer.
	Took time.Duration
	// Load is the load that the target reported with its answer; HasLoad is
	// false if it reported none.
	Load    fleet.Load
	HasLoad bool
	// Leaving is set if the target has said in its response that it is leaving.
	Leaving bool
	// Rest is how long the target has asked to get no requests.
	Rest time.Duration
}

// Restriction is what keeps requests from a target, by its own word or by its silence.
type Restriction struct {
	// Leaving is set if the target is leaving, and has said so at Since.
	Leaving bool
	Since   time.Time
	// Until is when the target takes requests again.
	Until time.Time
}

// Budget bounds the repeated requests of a service: within Window, Allowance
// plus Ratio times the number of first attempts.
type Budget struct {
	Ratio     float64
	Allowance int
	Window    time.Duration
}

// Config configures a Broker.
type Config struct {
	Budget Budget
	// ColdFactor and ColdAllowance describe the limit on the requests per second
	// to a cold target: the service's cold rate * ColdFactor + ColdAllowance. The
	// broker stays below it: it uses a part of the first term and none of the
	// allowance (see coldLimit).
	ColdFactor    float64
	ColdAllowance float64
	// Serve reports whether this broker decides for a service; nil means that it
	// decides for all of them.
	Serve func(service string) bool
	// Cautious is set for a broker that does not see the requests of other VMs.
	// It sends nothing to cold targets and refuses all repeats, because it cannot
	// tell how much of these limits is already in use.
	Cautious bool
	// Sole, if set, reports whether no other VM decides for the services of this broker. While
	// one may, the broker sends nothing to cold targets and refuses all repeats, too.
	Sole func() bool
	// FormerLease, if set, returns for how long the brokers of the term before may go on after
	// this broker has begun. It is called when a term begins.
	FormerLease func() time.Duration
	// Doubt, if set, reports whether a target may have restarted unseen. A cautious broker
	// treats it as cold.
	Doubt func(target fleet.Life, now time.Time) bool
	// Restricted, if set, returns what is known of a target besides the ends of permits.
	Restricted func(target fleet.Life) Restriction
	// Leaving, if set, is called when the end of a permit first says that its target is
	// leaving.
	Leaving func(target fleet.Life)
	// Loads, if set, is what the VM of a cautious broker knows of the load of targets.
	// Without it, the broker takes into account only its own permits.
	Loads *Loads
	// VM is the name of the VM of a broker with Loads. Of targets of equal cost, each VM
	// prefers others.
	VM string
	// NotOwner, if set, is called when a target has refused a request because
	// it does not own the key.
	NotOwner func(service string, key uint16, target fleet.Life)
	// Decide receives every decision. It is called synchronously from the
	// methods of the broker.
	Decide func(Decision)
}

// Broker grants and refuses permits. It is not safe for concurrent use.
type Broker struct {
	config Config
	view   *fleet.View
	// termSince is when this broker first had a view of the present term. Until then
	// another may have decided.
	termSince time.Time
	// formerLease is for how long after termSince another may still decide.
	formerLease time.Duration
	pools       map[string]*pool
	// turnCosts are the costs of a turn by team; nil without teams.
	turnCosts map[string]float64
	// permits holds the permits of the requests in flight.
	permits map[ID]*permit
}

// permit is the right of a request to run at a target, from the decision until
// its end is reported.
type permit struct {
	pool      *pool
	target    *target
	request   Request
	grantedAt time.Time
}

// New returns a broker without targets; Update sets them.
func New(config Config) *Broker {
	return &Broker{config: config, pools: map[string]*pool{}, permits: map[ID]*permit{}}
}

// Update applies a new view. Requests in flight are not affected; waiting
// requests are decided again.
func (b *Broker) Update(view *fleet.View, now time.Time) {
	previous := b.view
	b.view = view
	if previous == nil && view.Term > 0 || previous != nil && previous.Term != view.Term {
		b.termSince, b.formerLease = now, 0
		if b.config.FormerLease != nil {
			b.formerLease = b.config.FormerLease()
		}
	}
	if view.Config == nil {
		return
	}
	if previous != nil && previous.SameTargets(view) && (b.config.Loads == nil || previous.SameMembers(view)) {
		// Most views differ only in the owners of keys, and going through the
		// targets is expensive: there are thousands.
		for _, p := range b.pools {
			p.updateOwners(view, now)
		}
	} else {
		b.turnCosts = turnCosts(view.Config)
		b.updateTargets(view, now)
	}
	b.Tick(now)
}

// updateTargets applies a view whose targets, evacuations or configuration have
// changed.
func (b *Broker) updateTargets(view *fleet.View, now time.Time) {
	declared := map[string][]*fleet.Target{}
	for _, t := range view.Targets {
		declared[t.Service] = append(declared[t.Service], t)
	}
	for i := range view.Config.Services {
		service := &view.Config.Services[i]
		p := b.pools[service.Name]
		if p == nil {
			p = newPool(b, service.Name)
			b.pools[service.Name] = p
		}
		p.update(service, declared[service.Name], view, now)
	}
	for name, p := range b.pools {
		if view.Config.Service(name) == nil {
			p.refuseAll(NoTarget, now)
			delete(b.pools, name)
		}
	}
}

// Ask submits a request. The request is decided at once or queued.
func (b *Broker) Ask(r Request, now time.Time) {
	if b.config.Serve != nil && !b.config.Serve(r.Service) {
		b.config.Decide(Decision{ID: r.ID, Refused: NotBroker, RetryAfter: minRetryAfter})
		return
	}
	p := b.pools[r.Service]
	if p == nil {
		b.config.Decide(Decision{ID: r.ID, Refused: NoTarget, RetryAfter: minRetryAfter})
		return
	}
	r.arrived, r.turn, r.turnCost = now, 0, b.turnCost(r.Team)
	p.ask(&r, now)
}

// mayUseLimits reports whether this broker may use the limits that hold for all VMs together.
func (b *Broker) mayUseLimits() bool {
	return !b.config.Cautious && (b.config.Sole == nil || b.config.Sole())
}

// Repeats returns the retry budget use of the services that have had repeats
// within the window.
func (b *Broker) Repeats(now time.Time) map[string]RepeatCount {
	counts := map[string]RepeatCount{}
	for name, p := range b.pools {
		if count := p.repeats.sum(now); count.Repeated > 0 {
			counts[name] = count
		}
	}
	return counts
}

// AdoptRepeats takes over the counts of the broker that this one replaces, as of
// the last heartbeat received from it, so that a change of broker does not
// renew the budget.
func (b *Broker) AdoptRepeats(counts map[string]RepeatCount, asOf, now time.Time) {
	for name, count := range counts {
		if p := b.pools[name]; p != nil {
			p.repeats.adopt(count, asOf, now)
		}
	}
}

// Waiting reports whether a request to a service is queued.
func (b *Broker) Waiting(service string, id ID) bool {
	p := b.pools[service]
	return p != nil && p.waiting[id] != nil
}

// End releases the slot of a request in flight, or withdraws a queued request.
func (b *Broker) End(end End, now time.Time) {
	if granted := b.permits[end.ID]; granted != nil {
		delete(b.permits, end.ID)
		granted.pool.finish(granted, end, now)
		return
	}
	for _, p := range b.pools {
		p.withdraw(end.ID)
	}
}

// Forget withdraws the queued requests of a VM that has left or failed. Its
// requests in flight keep their slots until shortly after their deadline,
// because the targets may still be working on them.
func (b *Broker) Forget(vm string) {
	for _, p := range b.pools {
		p.withdrawVM(vm)
	}
}

// Tick starts the waiting requests that can run now, refuses those that can no
// longer be answered in time, and ends permits whose end was never reported.
// It must be called every few milliseconds while Busy returns true.
func (b *Broker) Tick(now time.Time) {
	for id, granted := range b.permits {
		if now.Sub(granted.request.Deadline) > permitGrace {
			delete(b.permits, id)
			granted.pool.finish(granted, End{ID: id, Result: Timeout}, now)
		}
	}
	for _, p := range b.pools {
		p.tick(now)
	}
}

// Busy reports whether any request is queued or in flight.
func (b *Broker) Busy() bool {
	if len(b.permits) > 0 {
		return true
	}
	for _, p := range b.pools {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// Observation is what the broker has measured of one target.
type Observation struct {
	// Slowness is the target's service time relative to the mean of its service.
	Slowness float64
	// FailureShare is the recent share of requests that failed at the target or
	// were refused by it, from 0 to 1.
	FailureShare float64
	// Running is the number of requests in flight at the target.
	Running int
}

// Observe returns what was measured of a target; false if the target is unknown.
func (b *Broker) Observe(service, id string) (Observation, bool) {
	p := b.pools[service]
	if p == nil || p.targets[id] == nil {
		return Observation{}, false
	}
	t := p.targets[id]
	return Observation{Slowness: t.steadySlowness, FailureShare: t.failures, Running: t.running}, true
}

// Balance returns, for each service with requests in flight, the number at the busiest usable
// target over the mean of these targets.
func (b *Broker) Balance() map[string]float64 {
	ratios := map[string]float64{}
	for name, p := range b.pools {
		most, sum, count := 0, 0, 0
		for _, t := range p.targets {
			if t.usable {
				most, sum, count = max(most, t.running), sum+t.running, count+1
			}
		}
		if sum > 0 {
			ratios[name] = float64(most*count) / float64(sum)
		}
	}
	return ratios
}

// Work returns the expected work of one request of a class in seconds; 0 if
// none has been measured.
func (b *Broker) Work(service, class string) float64 {
	if p := b.pools[service]; p != nil {
		return p.classWork(class, 0)
	}
	return 0
}
