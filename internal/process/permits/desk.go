// Package permits obtains permits for this VM's requests from the broker of each
// service, and runs the broker of the services that are assigned to this VM.
// While a remote broker does not answer, requests are decided locally from what
// this VM knows.
package permits

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/request/quota"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

const (
	// replyTimeout is how long a broker may take for its first reply: several round
	// trips between failure domains.
	replyTimeout = 60 * time.Millisecond
	// brokerBackoff is how long a broker is not asked after it has failed to reply.
	brokerBackoff = 500 * time.Millisecond
	// maxUnusedPermits limits how often a request asks again because its permit is for a
	// target that has said that it must get none. One is normal, since the broker learns of
	// it with the return of the permit; more mean a broker that does not listen.
	maxUnusedPermits = 4
	// unusedRetryAfter is the retry delay suggested to callers after that.
	unusedRetryAfter = brokerBackoff
	// resendAfter is how long a request that only the broker can decide waits for the
	// first reply before it is sent again: the message may have been lost with its
	// session.
	resendAfter = brokerBackoff
	// aliveCheckInterval is the interval at which a request that waits for a remote
	// broker checks whether the broker is still alive.
	aliveCheckInterval = 100 * time.Millisecond
	// initialNumberRange is the size of the range from which a process draws its first
	// request number: large enough that consecutive processes of a VM do not
	// collide, small enough for a short encoding.
	initialNumberRange = 1 << 48
	// viewPoll is how often a request that was sent to a VM which is not the broker checks
	// whether this VM has learned of another one.
	viewPoll = 5 * time.Millisecond
	// tickInterval is the interval at which the brokers of this VM are ticked while they
	// have requests.
	tickInterval = 10 * time.Millisecond
)

// Config configures a Desk.
type Config struct {
	// Self is the name of this VM.
	Self string
	// Broker configures the brokers of this VM; New sets Decide, Serve, Cautious and VM. Sole and
	// FormerLease are those of the brokers that decide for all VMs.
	// Loads, if set, is used by local decisions only.
	Broker admission.Config
	Sender peer.ControlSender
	// View returns the current view.
	View func() *fleet.View
	// Alive reports whether messages from a VM have arrived recently.
	Alive func(vm string) bool
	// ContactLost, if set, returns when this VM noticed that the target has closed all of
	// its connections; zero if it has not. It is called without locks of the desk.
	ContactLost func(fleet.Life) time.Time
	// Quota is the rule for teams that have a limit.
	Quota quota.Rule
	// Metrics, if set, receives counts of permits and the balance of the load.
	Metrics tally.Scope
	// QuotaGrown, if set, is called on the broker if the VMs should hear of QuotaState before
	// the next heartbeat. It is called without locks of the desk.
	QuotaGrown func()
}

// Desk obtains and grants permits on one VM: it is the broker of the services that
// are assigned to the VM, and a client of the brokers of the others. It is safe
// for concurrent use.
type Desk struct {
	config Config
	// number is the number of this VM's last request. It starts at a random value
	// because a broker may still hold requests of a previous process of this VM.
	number atomic.Uint64

	mu sync.Mutex
	// broker decides for all VMs. fallback decides for this VM only, in place of remote
	// brokers that do not reply. applied holds the view that each of the two has
	// applied: an idle one applies the latest only when it gets a request.
	broker   *admission.Broker
	fallback *admission.Broker
	latest   *fleet.View
	applied  map[*admission.Broker]*fleet.View
	// demand is the measured demand for keys, by service.
	demand map[string]*keyspace.Load
	// pending holds this VM's requests without a decision. queued marks those that
	// a remote broker has confirmed as queued. backoffUntil holds the time before which
	// a broker is not asked.
	pending      map[uint64]chan admission.Decision
	queued       map[uint64]bool
	backoffUntil map[string]time.Time
	doubts       doubts
	// reported has a lock of its own.
	reported *reported
	quotas   quotas
	// moved holds the keys that have changed owner lately, by service.
	moved   map[string][]movedRange
	metrics *metrics
	ticking bool
	// replies are the messages to send after mu has been released.
	replies []reply
}

// reply is a message to another VM.
type reply struct {
	vm      string
	message *peerv1.PermitReply
}

// New returns a desk without targets; Update sets them.
func New(config Config) *Desk {
	d := &Desk{
		config: config, demand: map[string]*keyspace.Load{}, pending: map[uint64]chan admission.Decision{},
		queued: map[uint64]bool{}, backoffUntil: map[string]time.Time{}, applied: map[*admission.Broker]*fleet.View{},
		doubts: doubts{}, reported: newReported(), moved: map[string][]movedRange{}, metrics: newMetrics(config.Metrics),
		quotas: quotas{rule: config.Quota, self: config.Self, share: quota.NewShare(config.Quota, config.Self, time.Now())},
	}
	d.number.Store(rand.Uint64N(initialNumberRange))
	brokerConfig := config.Broker
	brokerConfig.Loads = nil
	brokerConfig.Decide = d.deliver
	brokerConfig.Serve = func(service string) bool { return config.View().Brokers[service] == config.Self }
	d.broker = admission.New(brokerConfig)
	fallbackConfig := config.Broker
	fallbackConfig.Decide = d.deliver
	fallbackConfig.Cautious, fallbackConfig.Sole, fallbackConfig.FormerLease = true, nil, nil
	if fallbackConfig.Loads != nil {
		fallbackConfig.VM = config.Self
	}
	// The fallback decides under mu.
	fallbackConfig.Doubt = func(life fleet.Life, now time.Time) bool { return d.doubts.about(life, now) }
	fallbackConfig.Restricted = d.reported.restriction
	d.fallback = admission.New(fallbackConfig)
	return d
}

// Permit is the right to send one request to a target.
type Permit struct {
	admission.Decision
	// Broker is the VM whose broker granted the permit; empty if this VM decided
	// without the broker.
	Broker string
}

// Update sets the latest view. Brokers without requests apply it later, when they
// are asked.
func (d *Desk) Update(view *fleet.View) {
	now := time.Now()
	d.mu.Lock()
	if previous := d.latest; previous == nil || previous.Term != view.Term || previous.Leader != view.Leader {
		d.quotas.leaderChanged(now)
	}
	d.recordMoves(d.latest, view, now)
	d.latest = view
	for _, b := range []*admission.Broker{d.broker, d.fallback} {
		if b.Busy() {
			d.applyLatest(b, now)
		}
	}
	d.mu.Unlock()
	d.flush()
}

// applyLatest applies the latest view to a broker. The caller holds mu.
func (d *Desk) applyLatest(b *admission.Broker, now time.Time) {
	if d.latest != nil && d.applied[b] != d.latest {
		d.applied[b] = d.latest
		b.Update(d.latest, now)
	}
}

// Acquire requests a permit and waits for the decision, which may be a refusal. It
// assigns the ID of the request. The only error is that of the context.
func (d *Desk) Acquire(ctx context.Context, r admission.Request) (Permit, error) {
	for range maxUnusedPermits {
		permit, err := d.acquire(ctx, r)
		if err != nil || permit.Refused != "" {
			return permit, err
		}
		d.started(permit)
		if d.MaySend(permit.Target) {
			return permit, nil
		}
		d.End(permit, admission.Canceled, 0, fleet.Load{}, false)
	}
	return Permit{Decision: admission.Decision{Refused: admission.NoTarget, RetryAfter: unusedRetryAfter}}, nil
}

// acquire is like Acquire, but the target may have said that it must get no requests.
func (d *Desk) acquire(ctx context.Context, r admission.Request) (Permit, error) {
	for {
		broker := d.config.View().Brokers[r.Service]
		switch {
		case broker == d.config.Self:
			permit, err := d.acquireLocal(ctx, r, d.broker, broker)
			if err == nil && permit.Refused == admission.NotBroker {
				// The view has changed in between.
				continue
			}
			d.countPermitted(permit, r.Team)
			return permit, err
		case broker == "", !d.mayAsk(broker) && !d.needsBroker(broker, &r):
			permit, err := d.acquireLocal(ctx, r, d.fallback, "")
			if err == nil && permit.Refused == "" && d.lostContact(permit.Target) {
				d.endLocal(d.fallback, admission.End{ID: permit.ID, Result: admission.Canceled})
				continue
			}
			return permit, err
		}
		permit, decided, err := d.acquireRemote(ctx, broker, r)
		if decided || err != nil {
			d.countPermitted(permit, r.Team)
			return permit, err
		}
	}
}

// needsBroker reports whether a request must wait for a broker that is slow but alive. A
// repeat must, because local decisions refuse all repeats. So must a request for which this
// VM knows no warm target, or whose key has changed owner lately, or for which it has spent its
// share of the team's quota. The broker may still permit it: local decisions send nothing to
// cold targets, a change of the owner of a key reaches this VM up to a second later than the
// broker, and other VMs may use less than their shares.
func (d *Desk) needsBroker(broker string, r *admission.Request) bool {
	if !d.config.Alive(broker) {
		return false
	}
	now := time.Now()
	return r.Repeat || !d.hasWarmTarget(d.config.View(), r, now) || d.movedLately(r.Service, r.Key, now) || d.shareSpent(r.Team)
}

// hasWarmTarget reports whether a view has a usable target for a request and that
// target is not cold, as far as this VM knows.
func (d *Desk) hasWarmTarget(view *fleet.View, r *admission.Request, now time.Time) bool {
	if view.Config == nil {
		return false
	}
	warm := func(t *fleet.Target) bool {
		return view.Usable(t) && !now.Before(t.ColdUntil) && !d.doubtful(t.Life, now) && d.MaySend(t.Life)
	}
	if service := view.Config.Service(r.Service); service != nil && service.Keyed {
		slice := fleet.Find(view.Slices[r.Service], r.Key)
		if slice == nil || !slice.Ready {
			return false
		}
		owner := view.Targets[slice.Owner.ID]
		return warm(owner) && owner.Life == slice.Owner
	}
	for _, t := range view.Targets {
		if t.Service == r.Service && warm(t) {
			return true
		}
	}
	return false
}

// mayAsk reports whether a broker may be asked, that is, whether its last failure to
// reply is long enough ago.
func (d *Desk) mayAsk(broker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().After(d.backoffUntil[broker])
}

// register assigns an ID to a request and returns the channel for its decision.
func (d *Desk) register(r *admission.Request) chan admission.Decision {
	r.ID = admission.ID{VM: d.config.Self, Number: d.number.Add(1)}
	answer := make(chan admission.Decision, 1)
	d.mu.Lock()
	d.pending[r.ID.Number] = answer
	d.mu.Unlock()
	return answer
}

// unregister undoes register.
func (d *Desk) unregister(number uint64) {
	d.mu.Lock()
	delete(d.pending, number)
	delete(d.queued, number)
	d.mu.Unlock()
}

// acquireLocal gets a decision from a broker of this VM; brokerName becomes the broker
// of the permit.
func (d *Desk) acquireLocal(ctx context.Context, r admission.Request, b *admission.Broker, brokerName string) (Permit, error) {
	answer := d.register(&r)
	defer d.unregister(r.ID.Number)
	foreign := 0
	if b == d.broker {
		foreign = d.quotaUse(r.Team)
	}
	d.submit(b, r, foreign)
	select {
	case decision := <-answer:
		return Permit{Decision: decision, Broker: brokerName}, nil
	case <-ctx.Done():
		d.endLocal(b, admission.End{ID: r.ID, Result: admission.Canceled})
		return Permit{}, ctx.Err()
	}
}

// acquireRemote gets a decision from the broker of another VM. The boolean is false if
// the broker did not reply in time, so that the request has to be decided again.
func (d *Desk) acquireRemote(ctx context.Context, broker string, r admission.Request) (Permit, bool, error) {
	answer := d.register(&r)
	defer d.unregister(r.ID.Number)
	sentAt := time.Now()
	message := requestToWire(r, sentAt)
	message.QuotaUse = uint32(d.quotaUse(r.Team))
	d.config.Sender.Send(broker, &peerv1.Control{Kind: &peerv1.Control_PermitRequest{PermitRequest: message}})
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		select {
		case decision := <-answer:
			if decision.Refused == admission.NotBroker {
				return Permit{}, false, d.awaitOtherBroker(ctx, r.Service, broker)
			}
			return Permit{Decision: decision, Broker: broker}, true, nil
		case <-ctx.Done():
			d.endRemote(broker, admission.End{ID: r.ID, Result: admission.Canceled})
			return Permit{}, true, ctx.Err()
		case <-timer.C:
			if d.isQueued(r.ID.Number) && d.config.Alive(broker) || d.needsBroker(broker, &r) && time.Since(sentAt) < resendAfter {
				timer.Reset(aliveCheckInterval)
				continue
			}
			d.endRemote(broker, admission.End{ID: r.ID, Result: admission.Canceled})
			d.backOff(broker)
			return Permit{}, false, nil
		}
	}
}

// backOff makes this VM decide without a broker for a while.
func (d *Desk) backOff(broker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffUntil[broker] = time.Now().Add(brokerBackoff)
}

// awaitOtherBroker waits until this VM knows another broker than one that does not decide
// any more. The new leader tells all VMs one after the other, within replyTimeout as a rule;
// after that this VM decides alone. The error is that of the context.
func (d *Desk) awaitOtherBroker(ctx context.Context, service, former string) error {
	for deadline := time.Now().Add(replyTimeout); d.config.View().Brokers[service] == former; {
		if !time.Now().Before(deadline) {
			d.backOff(former)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(viewPoll):
		}
	}
	return nil
}

// isQueued reports whether a remote broker has confirmed a request as queued.
func (d *Desk) isQueued(number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queued[number]
}

// End returns a permit with the result of its request. took is the time from
// sending to the answer; load is the load that the target reported, if hasLoad.
func (d *Desk) End(p Permit, result admission.Result, took time.Duration, load fleet.Load, hasLoad bool) {
	if mayHaveEnded(result) {
		d.doubt(p.Target, time.Now())
	}
	d.ended(p, result, load, hasLoad, time.Now())
	end := admission.End{ID: p.ID, Result: result, Took: took, Load: load, HasLoad: hasLoad}
	d.reported.addTo(&end, p.Target, time.Now())
	if p.Broker != "" {
		d.locked(func() { d.quotas.share.End(p.ID.Number, counts(end), took, time.Now()) })
	}
	switch p.Broker {
	case "":
		d.endLocal(d.fallback, end)
	case d.config.Self:
		d.endLocal(d.broker, end)
	default:
		d.endRemote(p.Broker, end)
	}
}

// endLocal reports an end to a broker of this VM.
func (d *Desk) endLocal(b *admission.Broker, end admission.End) {
	d.locked(func() {
		now := time.Now()
		switch {
		case b == d.fallback:
			d.quotas.share.End(end.ID.Number, counts(end), end.Took, now)
		case d.quotas.ledger != nil:
			d.quotas.ledger.End(end.ID, counts(end), end.Took, now)
		}
		b.End(end, now)
	})
	d.flush()
}

// endRemote reports an end to the broker of another VM.
func (d *Desk) endRemote(broker string, end admission.End) {
	message := &peerv1.PermitEnd{
		Number: end.ID.Number, Result: peerv1.PermitResult(end.Result), ServiceMicros: uint32(end.Took.Microseconds()),
		Leaving: end.Leaving, RestMillis: uint32(end.Rest.Milliseconds()),
	}
	if end.HasLoad {
		message.Load = &peerv1.ObservedLoad{
			Running: int32(end.Load.Running), Waiting: int32(end.Load.Waiting),
			Slots: int32(end.Load.Slots), Pace: int32(end.Load.Pace),
		}
	}
	d.config.Sender.Send(broker, &peerv1.Control{Kind: &peerv1.Control_PermitEnd{PermitEnd: message}})
}

// submit submits a request to a broker of this VM. If the broker decides for all VMs,
// submit also records the demand for the key and confirms a queued request to the VM
// that sent it. foreign is the number of requests of the team that this VM ran without
// permits of the broker.
func (d *Desk) submit(b *admission.Broker, r admission.Request, foreign int) {
	now := time.Now()
	d.locked(func() {
		d.applyLatest(b, now)
		view := d.config.View()
		ofAll := b == d.broker
		if !ofAll || view.Brokers[r.Service] == d.config.Self {
			if refusal, ok := d.quotas.admit(&r, ofAll, foreign, view, now); !ok {
				d.deliver(refusal)
				return
			}
		}
		if ofAll {
			d.countDemand(r, now)
		}
		b.Ask(r, now)
		if b == d.broker && r.ID.VM != d.config.Self && b.Waiting(r.Service, r.ID) {
			d.replies = append(d.replies, reply{r.ID.VM, &peerv1.PermitReply{Number: r.ID.Number, Queued: true}})
		}
		d.scheduleTick()
	})
	d.flush()
	if d.config.QuotaGrown != nil && r.Team != "" && d.quotaGrown(now) {
		d.config.QuotaGrown()
	}
}

// locked runs a function under mu, which is released even if the function panics.
func (d *Desk) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// countDemand adds the expected work of a first attempt to the demand for its key.
// The caller holds mu.
func (d *Desk) countDemand(r admission.Request, now time.Time) {
	config := d.config.View().Config
	if config == nil || r.Repeat {
		return
	}
	service := config.Service(r.Service)
	if service == nil || !service.Keyed {
		return
	}
	d.demandFor(r.Service, now).Add(r.Key, d.broker.Work(r.Service, r.Class))
}

// Demand calls use with the measured demand for the keys of a service. The value
// must not be used after use has returned.
func (d *Desk) Demand(service string, now time.Time, use func(*keyspace.Load)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.demandFor(service, now)
	load.Fade(now)
	use(load)
}

// demandFor returns the measured demand for a service. The caller holds mu.
func (d *Desk) demandFor(service string, now time.Time) *keyspace.Load {
	load := d.demand[service]
	if load == nil {
		load = keyspace.NewLoad(now)
		d.demand[service] = load
	}
	return load
}

// Repeats returns the retry budget use that the broker of this VM has counted, by
// service.
func (d *Desk) Repeats(now time.Time) map[string]admission.RepeatCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broker.Repeats(now)
}

// AdoptRepeats takes over the counts of the broker that this VM replaces, as of the
// last heartbeat received from it.
func (d *Desk) AdoptRepeats(counts map[string]admission.RepeatCount, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.applyLatest(d.broker, now)
	d.broker.AdoptRepeats(counts, asOf, now)
}

// Observe returns what the broker of this VM has measured of a target; false if the
// target is unknown.
func (d *Desk) Observe(service, target string) (admission.Observation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLatest(d.broker, time.Now())
	return d.broker.Observe(service, target)
}

// deliver passes a decision to the waiting request of this VM, or queues a reply to
// the VM that asked. The caller holds mu.
func (d *Desk) deliver(decision admission.Decision) {
	d.quotas.decided(decision, time.Now())
	if decision.ID.VM != d.config.Self {
		d.replies = append(d.replies, reply{decision.ID.VM, decisionToWire(decision)})
		return
	}
	if answer := d.pending[decision.ID.Number]; answer != nil {
		select {
		case answer <- decision:
		default:
		}
	}
}

// flush sends the replies that were collected under mu. The caller must not hold mu.
func (d *Desk) flush() {
	d.mu.Lock()
	replies := d.replies
	d.replies = nil
	d.mu.Unlock()
	for _, r := range replies {
		d.config.Sender.Send(r.vm, &peerv1.Control{Kind: &peerv1.Control_PermitReply{PermitReply: r.message}})
	}
}

// scheduleTick schedules the next tick if a broker has any request. The caller holds
// mu.
func (d *Desk) scheduleTick() {
	if d.ticking || !d.broker.Busy() && !d.fallback.Busy() {
		return
	}
	d.ticking = true
	time.AfterFunc(tickInterval, d.tick)
}

func (d *Desk) tick() {
	now := time.Now()
	d.mu.Lock()
	d.broker.Tick(now)
	d.metrics.balance(d.broker, now)
	d.fallback.Tick(now)
	d.ticking = false
	d.scheduleTick()
	d.mu.Unlock()
	d.flush()
}

// Handle processes a message from another VM. It reports whether the message was for
// the desk.
func (d *Desk) Handle(from peer.Peer, message *peerv1.Control) bool {
	switch kind := message.Kind.(type) {
	case *peerv1.Control_PermitRequest:
		d.submit(d.broker, requestFromWire(from.VM, kind.PermitRequest, time.Now()), int(kind.PermitRequest.QuotaUse))
	case *peerv1.Control_PermitReply:
		d.handleReply(from.VM, kind.PermitReply)
	case *peerv1.Control_PermitEnd:
		d.endLocal(d.broker, endFromWire(from.VM, kind.PermitEnd))
	default:
		return false
	}
	return true
}

// handleReply processes a broker's reply to a request of this VM.
func (d *Desk) handleReply(broker string, message *peerv1.PermitReply) {
	d.mu.Lock()
	answer := d.pending[message.Number]
	if message.Queued {
		if answer != nil {
			d.queued[message.Number] = true
		}
		d.mu.Unlock()
		return
	}
	delivered := false
	decision := decisionFromWire(d.config.Self, message)
	if answer != nil {
		select {
		case answer <- decision:
			delivered = true
		default:
		}
	}
	d.mu.Unlock()
	if !delivered && decision.Refused == "" {
		// The request was abandoned in the meantime, or already has a decision.
		d.endRemote(broker, admission.End{ID: decision.ID, Result: admission.Canceled})
	}
}

// Forget withdraws the requests of a VM that has left or failed from the queues of
// this VM's broker.
func (d *Desk) Forget(vm string) {
	d.mu.Lock()
	d.broker.Forget(vm)
	if d.quotas.ledger != nil {
		d.quotas.ledger.Forget(vm)
	}
	d.mu.Unlock()
}
