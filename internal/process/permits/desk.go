// Package permits carries requests for permits to the broker of a service and
// the permits back, and stands in with decisions on own knowledge while the
// broker does not answer.
package permits

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

const (
	// answerWithin is how long a broker may take for a first word, several round
	// trips between failure domains.
	answerWithin = 60 * time.Millisecond
	// distrust is how long a broker is not asked after it gave no word.
	distrust = 500 * time.Millisecond
	// askAgain is how long a request that this VM cannot decide waits for a first word
	// before it is asked anew: the question may have been lost with its session.
	askAgain = distrust
	// queuedCheck is the interval at which a queued request looks whether its
	// broker is still heard.
	queuedCheck = 100 * time.Millisecond
	// firstNumbers is the number of numbers from which a process of a VM draws its
	// first: too many for two processes to meet, in few bytes.
	firstNumbers = 1 << 48
	// tickEvery is the interval at which the broker looks at what waits.
	tickEvery = 10 * time.Millisecond
)

// Config configures a Desk.
type Config struct {
	Self   string
	Broker admission.Config
	Sender peer.ControlSender
	// View returns the present view.
	View func() *fleet.View
	// Hears reports whether a VM has been heard lately.
	Hears func(vm string) bool
}

// Desk is one VM's part in the giving out of permits: the broker of some
// services, and the client of the brokers of the others.
type Desk struct {
	config Config
	// number is that of the last own request. It begins at random, since a broker may
	// still have requests of a former process of this VM.
	number atomic.Uint64

	mu sync.Mutex
	// broker serves other VMs; alone stands in for brokers that do not answer. They
	// have the view in following; one that has nothing to do follows the latest once
	// it is asked.
	broker    *admission.Broker
	alone     *admission.Broker
	latest    *fleet.View
	following map[*admission.Broker]*fleet.View
	demand    map[string]*keyspace.Load
	// waiting are the own requests without a decision.
	waiting  map[uint64]chan admission.Decision
	queued   map[uint64]bool
	distrust map[string]time.Time
	ticking  bool
	// replies are the messages to send once the lock is free.
	replies []reply
}

type reply struct {
	vm      string
	message *peerv1.PermitReply
}

// New returns a desk without targets.
func New(config Config) *Desk {
	d := &Desk{
		config: config, demand: map[string]*keyspace.Load{}, waiting: map[uint64]chan admission.Decision{},
		queued: map[uint64]bool{}, distrust: map[string]time.Time{}, following: map[*admission.Broker]*fleet.View{},
	}
	d.number.Store(rand.Uint64N(firstNumbers))
	serving := config.Broker
	serving.Decide = d.decided
	serving.Serve = func(service string) bool { return config.View().Brokers[service] == config.Self }
	d.broker = admission.New(serving)
	alone := config.Broker
	alone.Decide = d.decided
	alone.Cautious = true
	d.alone = admission.New(alone)
	return d
}

// Permit is the right to send one request to a target.
type Permit struct {
	admission.Decision
	// Broker is the VM that gave the permit; empty if this VM decided alone.
	Broker string
}

// Update follows a new view.
func (d *Desk) Update(view *fleet.View) {
	now := time.Now()
	d.mu.Lock()
	d.latest = view
	for _, b := range []*admission.Broker{d.broker, d.alone} {
		if b.Busy() {
			d.follow(b, now)
		}
	}
	d.mu.Unlock()
	d.flush()
}

// follow brings a broker up to the latest view; the lock is held.
func (d *Desk) follow(b *admission.Broker, now time.Time) {
	if d.latest != nil && d.following[b] != d.latest {
		d.following[b] = d.latest
		b.Update(d.latest, now)
	}
}

// Acquire asks for a permit. The decision may be a refusal. The error is that
// of the context.
func (d *Desk) Acquire(ctx context.Context, r admission.Request) (Permit, error) {
	for {
		broker := d.config.View().Brokers[r.Service]
		switch {
		case broker == d.config.Self:
			return d.acquireHere(ctx, r, d.broker, broker)
		case broker == "", !d.trusts(broker) && !d.needs(broker, &r):
			return d.acquireHere(ctx, r, d.alone, "")
		}
		permit, decided, err := d.acquireFrom(ctx, broker, r)
		if decided || err != nil {
			return permit, err
		}
	}
}

// needs reports whether only the broker, which lives, can let a request run: one that
// decides alone sends to no cold target, and owners of keys reach this VM up to a second
// after the broker. A repeat does not wait: it is refused where its broker is late.
func (d *Desk) needs(broker string, r *admission.Request) bool {
	return !r.Repeat && d.config.Hears(broker) && !hasWarmTarget(d.config.View(), r, time.Now())
}

// hasWarmTarget reports whether a view has a target for a request that is not cold.
func hasWarmTarget(view *fleet.View, r *admission.Request, now time.Time) bool {
	if view.Config == nil {
		return false
	}
	warm := func(t *fleet.Target) bool { return view.Usable(t) && !now.Before(t.ColdUntil) }
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

func (d *Desk) trusts(broker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().After(d.distrust[broker])
}

// register gives a request its ID and a channel for the decision.
func (d *Desk) register(r *admission.Request) chan admission.Decision {
	r.ID = admission.ID{VM: d.config.Self, Number: d.number.Add(1)}
	answer := make(chan admission.Decision, 1)
	d.mu.Lock()
	d.waiting[r.ID.Number] = answer
	d.mu.Unlock()
	return answer
}

func (d *Desk) forget(number uint64) {
	d.mu.Lock()
	delete(d.waiting, number)
	delete(d.queued, number)
	d.mu.Unlock()
}

// acquireHere asks a broker of this VM.
func (d *Desk) acquireHere(ctx context.Context, r admission.Request, b *admission.Broker, name string) (Permit, error) {
	answer := d.register(&r)
	defer d.forget(r.ID.Number)
	d.ask(b, r)
	select {
	case decision := <-answer:
		return Permit{Decision: decision, Broker: name}, nil
	case <-ctx.Done():
		d.endHere(b, admission.End{ID: r.ID, Result: admission.Canceled})
		return Permit{}, ctx.Err()
	}
}

// acquireFrom asks another VM's broker. decided is false if it gave no word.
func (d *Desk) acquireFrom(ctx context.Context, broker string, r admission.Request) (Permit, bool, error) {
	answer := d.register(&r)
	defer d.forget(r.ID.Number)
	asked := time.Now()
	d.config.Sender.Send(broker, &peerv1.Control{Kind: &peerv1.Control_PermitRequest{PermitRequest: requestToWire(r, asked)}})
	timer := time.NewTimer(answerWithin)
	defer timer.Stop()
	for {
		select {
		case decision := <-answer:
			return Permit{Decision: decision, Broker: broker}, true, nil
		case <-ctx.Done():
			d.endAt(broker, admission.End{ID: r.ID, Result: admission.Canceled})
			return Permit{}, true, ctx.Err()
		case <-timer.C:
			if d.isQueued(r.ID.Number) && d.config.Hears(broker) || d.needs(broker, &r) && time.Since(asked) < askAgain {
				timer.Reset(queuedCheck)
				continue
			}
			d.endAt(broker, admission.End{ID: r.ID, Result: admission.Canceled})
			d.mu.Lock()
			d.distrust[broker] = time.Now().Add(distrust)
			d.mu.Unlock()
			return Permit{}, false, nil
		}
	}
}

func (d *Desk) isQueued(number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queued[number]
}

// End gives a permit back with the result of its request.
func (d *Desk) End(p Permit, result admission.Result, took time.Duration, load fleet.Load, hasLoad bool) {
	end := admission.End{ID: p.ID, Result: result, Took: took, Load: load, HasLoad: hasLoad}
	switch p.Broker {
	case "":
		d.endHere(d.alone, end)
	case d.config.Self:
		d.endHere(d.broker, end)
	default:
		d.endAt(p.Broker, end)
	}
}

func (d *Desk) endHere(b *admission.Broker, end admission.End) {
	d.mu.Lock()
	b.End(end, time.Now())
	d.mu.Unlock()
	d.flush()
}

func (d *Desk) endAt(broker string, end admission.End) {
	message := &peerv1.PermitEnd{
		Number: end.ID.Number, Result: peerv1.PermitResult(end.Result), ServiceMicros: uint32(end.Took.Microseconds()),
	}
	if end.HasLoad {
		message.Load = &peerv1.ObservedLoad{
			Running: int32(end.Load.Running), Waiting: int32(end.Load.Waiting),
			Slots: int32(end.Load.Slots), Pace: int32(end.Load.Pace),
		}
	}
	d.config.Sender.Send(broker, &peerv1.Control{Kind: &peerv1.Control_PermitEnd{PermitEnd: message}})
}

// ask puts a request to a broker of this VM and counts the demand for its key.
func (d *Desk) ask(b *admission.Broker, r admission.Request) {
	now := time.Now()
	d.mu.Lock()
	d.follow(b, now)
	if b == d.broker {
		d.countDemand(r, now)
	}
	b.Ask(r, now)
	if b == d.broker && r.ID.VM != d.config.Self && b.Waiting(r.Service, r.ID) {
		d.replies = append(d.replies, reply{r.ID.VM, &peerv1.PermitReply{Number: r.ID.Number, Queued: true}})
	}
	d.startTicking()
	d.mu.Unlock()
	d.flush()
}

func (d *Desk) countDemand(r admission.Request, now time.Time) {
	config := d.config.View().Config
	if config == nil || r.Repeat {
		return
	}
	service := config.Service(r.Service)
	if service == nil || !service.Keyed {
		return
	}
	d.loadOf(r.Service, now).Add(r.Key, d.broker.Work(r.Service, r.Class))
}

// Demand hands out the measured demand for the keys of a service.
func (d *Desk) Demand(service string, now time.Time, use func(*keyspace.Load)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.loadOf(service, now)
	load.Fade(now)
	use(load)
}

// loadOf returns the measured demand for a service; the lock is held.
func (d *Desk) loadOf(service string, now time.Time) *keyspace.Load {
	load := d.demand[service]
	if load == nil {
		load = keyspace.NewLoad(now)
		d.demand[service] = load
	}
	return load
}

// Repeats returns the use of the own broker's budgets.
func (d *Desk) Repeats(now time.Time) map[string]admission.RepeatCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broker.Repeats(now)
}

// AdoptRepeats counts what the broker in whose place this VM's serves had let run
// when it was last heard.
func (d *Desk) AdoptRepeats(counts map[string]admission.RepeatCount, heard time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.follow(d.broker, now)
	d.broker.AdoptRepeats(counts, heard, now)
}

// Observe returns what the own broker has measured of a target.
func (d *Desk) Observe(service, target string) (admission.Observation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.broker, time.Now())
	return d.broker.Observe(service, target)
}

// decided passes a decision on; the lock is held.
func (d *Desk) decided(decision admission.Decision) {
	if decision.ID.VM != d.config.Self {
		d.replies = append(d.replies, reply{decision.ID.VM, decisionToWire(decision)})
		return
	}
	if answer := d.waiting[decision.ID.Number]; answer != nil {
		select {
		case answer <- decision:
		default:
		}
	}
}

// flush sends the messages that were collected under the lock.
func (d *Desk) flush() {
	d.mu.Lock()
	replies := d.replies
	d.replies = nil
	d.mu.Unlock()
	for _, r := range replies {
		d.config.Sender.Send(r.vm, &peerv1.Control{Kind: &peerv1.Control_PermitReply{PermitReply: r.message}})
	}
}

// startTicking looks at what waits until nothing does; the lock is held.
func (d *Desk) startTicking() {
	if d.ticking || !d.broker.Busy() && !d.alone.Busy() {
		return
	}
	d.ticking = true
	time.AfterFunc(tickEvery, d.tick)
}

func (d *Desk) tick() {
	now := time.Now()
	d.mu.Lock()
	d.broker.Tick(now)
	d.alone.Tick(now)
	d.ticking = false
	d.startTicking()
	d.mu.Unlock()
	d.flush()
}

// Handle takes a message of another VM. It reports whether it was for the desk.
func (d *Desk) Handle(from peer.Peer, message *peerv1.Control) bool {
	switch kind := message.Kind.(type) {
	case *peerv1.Control_PermitRequest:
		d.ask(d.broker, requestFromWire(from.VM, kind.PermitRequest, time.Now()))
	case *peerv1.Control_PermitReply:
		d.receive(from.VM, kind.PermitReply)
	case *peerv1.Control_PermitEnd:
		d.endHere(d.broker, endFromWire(from.VM, kind.PermitEnd))
	default:
		return false
	}
	return true
}

// receive takes a broker's word on an own request.
func (d *Desk) receive(broker string, message *peerv1.PermitReply) {
	d.mu.Lock()
	answer := d.waiting[message.Number]
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
		// The request was given up meanwhile.
		d.endAt(broker, admission.End{ID: decision.ID, Result: admission.Canceled})
	}
}

// Forget withdraws what waits here for a VM that is gone.
func (d *Desk) Forget(vm string) {
	d.mu.Lock()
	d.broker.Forget(vm)
	d.mu.Unlock()
}
