// Package coordinator finds the leader of the VMs and does its work: it watches
// what is declared, decides who owns which keys, gives the keys to the targets,
// and passes all of it on to the other VMs.
//
// Guarantees: the leader is named by one record in the store, changed only by
// conditional writes that also carry the owners of all keys; a move is written
// before it begins, so that no leader undoes the move of another; a leader
// renews grants only while it is known to be the leader; targets check fences,
// which rise with every move, and no fence reaches two processes.
//
// Everything but calls runs on the loop.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/observer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

// tickEvery is the interval at which the coordinator looks at what depends on time.
const tickEvery = 50 * time.Millisecond

// Targets carries out orders. Errors are of the kinds NotFound (no process listens
// there), Refused (another process than the target is at its address; it has taken
// nothing), UnknownOutcome and Unavailable.
type Targets interface {
	// Grant gives a slice to a target, or renews it. again is set if the fence has
	// been sent before; then it is sent only to the process that took it. An error of
	// kind Conflict means that a higher fence is needed: the process has seen one, or,
	// if it is target.ErrProcessUnknown, it is not known to be the same.
	Grant(ctx context.Context, to fleet.Target, slice fleet.Slice, again bool, hold time.Duration, handover string) error
	Release(ctx context.Context, from fleet.Target, slice fleet.Slice) (handover string, err error)
}

// Config configures a Coordinator.
type Config struct {
	Self fleet.Member
	// RecordName is the store object that holds the record.
	RecordName string
	Names      observer.Names
	Loop       *loop.Loop
	Store      store.Store
	Sender     peer.ControlSender
	Targets    Targets
	// LongestHold is the longest grant that targets accept.
	LongestHold time.Duration
	// LinkRate is what the VM's link carries, in bytes a second; 0 if it is not known.
	LinkRate float64
	// Publish receives every new view; it runs on the loop.
	Publish func(*fleet.View)
	// Observe returns what the own broker has measured of a target.
	Observe func(service, target string) (admission.Observation, bool)
	// Dial opens and closes a connection to an address.
	Dial func(ctx context.Context, address string) error
	// Demand hands out the own broker's measured demand for keys of a service.
	Demand func(service string, now time.Time, use func(*keyspace.Load))
	// Repeats returns the use of the own broker's budgets; AdoptRepeats counts what
	// the former leader's broker had let run when it was last heard.
	Repeats      func(now time.Time) map[string]admission.RepeatCount
	AdoptRepeats func(counts map[string]admission.RepeatCount, heard time.Time)
	// Uptime is the time since the VM's start, with the time for which it was
	// suspended.
	Uptime func() time.Duration
	Logger *zerolog.Logger
}

// Coordinator is one VM's part in the coordination.
type Coordinator struct {
	config   Config
	ctx      context.Context
	view     *fleet.View
	observer *observer.Observer

	// Following: what is known of the leader.
	startedAt time.Time
	heardAt   time.Time
	// heardLast is heardAt for readers outside the loop; nil if never.
	heardLast atomic.Pointer[time.Time]
	// repeats are the leader's counts when it was last heard.
	repeats  []*peerv1.ServiceRepeats
	reportAt time.Time
	yielding bool
	// lacksStore is set if the leader yields only because it has lost the store;
	// storeFailedAt is when this VM last had no answer of it.
	lacksStore    bool
	storeFailedAt time.Time
	have          *peerv1.PartVersions
	lookAt        time.Time
	// heardMillis is the leader's time of the last state that was taken from it; 0 if none was.
	heardMillis uint64
	// heardWrite is the leader's last write of the record by its own word.
	heardWrite uint64
	// seenRevision is the record's revision when it was last read, seenSince when
	// it was first read at that revision.
	seenRevision int64
	seenSince    time.Time
	lookPause    time.Duration
	looking      bool

	lead    *leadership
	leaving bool
}

// New returns a coordinator that starts with Start.
func New(config Config) *Coordinator {
	c := &Coordinator{config: config, view: &fleet.View{}, have: &peerv1.PartVersions{}, lookPause: lookMin}
	c.observer = observer.New(observer.Config{
		Names: config.Names, Store: config.Store, Loop: config.Loop, Logger: config.Logger,
		Changed: c.declarationsChanged, Contact: c.storeContact,
	})
	return c
}

// Start begins the work; it ends with the context.
func (c *Coordinator) Start(ctx context.Context) {
	c.ctx = ctx
	c.config.Loop.Post(func() {
		now := time.Now()
		c.startedAt = now
		c.heardAt = now.Add(-silentAfter)
		c.lookAt = now.Add(rankDelay(c.config.Self, c.view))
	})
	c.config.Loop.Every(ctx, tickEvery, c.tick)
}

// Leave begins the end of this VM: a leader asks the others to take over.
func (c *Coordinator) Leave() {
	c.leaving = true
	if c.lead != nil {
		c.pushAll()
	}
}

// Leads reports whether this VM is the leader.
func (c *Coordinator) Leads() bool { return c.lead != nil }

// HearsLeader reports whether the leader has been heard lately. It may be
// called from any goroutine.
func (c *Coordinator) HearsLeader() bool {
	at := c.heardLast.Load()
	return at != nil && time.Since(*at) < silentAfter
}

// tick does what depends on time.
func (c *Coordinator) tick() {
	now := time.Now()
	if c.lead != nil {
		c.leadTick(now)
		return
	}
	c.followTick(now)
}

// declarationsChanged is called when the observer has learnt something.
func (c *Coordinator) declarationsChanged() {
	if c.lead != nil {
		c.lead.declarationsChanged = true
		c.leadTick(time.Now())
		return
	}
	c.publishObserved()
}

// storeContact notes the result of a call to the store.
func (c *Coordinator) storeContact(err error) {
	if c.lead != nil {
		c.lead.storeContact(err, time.Now())
	}
}

// publishObserved builds a view from the own watches, on a VM that does not
// hear a leader.
func (c *Coordinator) publishObserved() {
	view := *c.view
	if config := c.observer.Config(); config != nil && (view.Config == nil || config.Version > view.Config.Version) {
		view.Config = config
	}
	if c.observer.Complete() {
		view.Targets, view.Evacuated = c.observer.Targets(), c.observer.Evacuated()
		// A difference to the leader's last list no longer fits.
		c.have.Targets = 0
	}
	c.publish(&view)
}

func (c *Coordinator) publish(view *fleet.View) {
	c.view = view
	c.config.Publish(view)
}

// Handle takes a message of another VM. It reports whether the message was for
// the coordinator.
func (c *Coordinator) Handle(from peer.Peer, message *peerv1.Control) (*peerv1.Control, bool) {
	switch kind := message.Kind.(type) {
	case *peerv1.Control_MemberReport:
		c.handleReport(from, kind.MemberReport)
	case *peerv1.Control_FleetState:
		c.handleState(from, kind.FleetState)
	case *peerv1.Control_LeaderQuery:
		return &peerv1.Control{Kind: &peerv1.Control_LeaderQueryReply{LeaderQueryReply: c.answerQuery()}}, true
	case *peerv1.Control_ProbeRequest:
		go c.answerProbe(from, message.Call, kind.ProbeRequest.Address)
	default:
		return nil, false
	}
	return nil, true
}
