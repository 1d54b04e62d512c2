package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// tickInterval is the interval at which time alone advances the protocol.
const tickInterval = 20 * time.Millisecond

// Config is what a Driver works with. All functions are called on the loop and
// must not block.
type Config struct {
	Self assignment.Holder
	// FailureDomain is logged with takeovers.
	FailureDomain string
	Loop          *loop.Loop
	Sender        peer.ControlSender
	Targets       target.Controller
	// InFlight counts the requests that this VM sent to a target and that are
	// neither answered nor past their deadline. A nil slice means all slices.
	// A request is counted before its right to be sent is checked.
	InFlight func(target string, slice *assignment.Slice) int
	// ColdLimit returns the present limit of requests in flight at a target.
	ColdLimit func(target string) int
	// StartWith tells how many requests an earlier dispatcher still has in
	// flight at a target, and the cold-start limit that it had reached, 0 if
	// unknown. It is called again when the count changes.
	StartWith func(target string, inFlight, coldLimit int)
	// TargetChanged tells that a target was found, lost or restarted.
	TargetChanged func(name string, alive bool, incarnation string)
	// Publish receives a new table of rights.
	Publish func(*rights.Table)
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Driver runs the ownership protocol of one VM. Its methods, Start excepted,
// are called on the loop.
type Driver struct {
	config  Config
	machine *machine
	ctx     context.Context
	calls   sync.WaitGroup
}

// New returns a driver that begins with Start. It holds nothing until it has
// been given a record.
func New(config Config) *Driver {
	d := &Driver{config: config, ctx: context.Background()}
	d.machine = newMachine(config.Self, d, d)
	return d
}

// Start runs the protocol until the context ends.
func (d *Driver) Start(ctx context.Context) {
	d.ctx = ctx
	d.config.Loop.Every(ctx, tickInterval, func() { d.machine.tick(rights.Monotonic()) })
}

// SnapshotChanged takes in the newest record. Cells of older versions than
// those known are ignored.
func (d *Driver) SnapshotChanged(s *routing.Snapshot) {
	if s == nil || s.Manifest == nil {
		return
	}
	cells := map[string]cellVersion{}
	for _, service := range s.Services {
		for _, cell := range service.Cells {
			if cell != nil {
				cells[cell.Assignment.ID] = cellVersion{cell.Version, cell.Assignment}
			}
		}
	}
	d.machine.adopt(rights.Monotonic(), cells, targetsOf(s))
}

// targetsOf extracts what the protocol needs of the manifest.
func targetsOf(s *routing.Snapshot) map[string]targetInfo {
	targets := make(map[string]targetInfo, len(s.Targets))
	for name, declared := range s.Targets {
		service := s.Services[declared.Service]
		if service == nil {
			continue
		}
		domain := s.Domains[declared.FailureDomain]
		targets[name] = targetInfo{
			address:   declared.Address,
			cell:      assignment.CellID(declared.Service, declared.Cell),
			free:      service.Declared.Placement == manifest.Free,
			leaving:   declared.Drain || domain != nil && domain.Out,
			unchecked: service.Declared.Fencing == manifest.Unchecked,
			hold:      service.Declared.Grants == manifest.Hold,
		}
	}
	return targets
}

// Handle takes a control message. It reports false for messages that are not
// part of the protocol. Answers are sent as messages of their own.
func (d *Driver) Handle(from peer.Peer, message *peerv1.Control) (reply *peerv1.Control, handled bool) {
	holder := assignment.Holder{VM: from.VM, Incarnation: from.Incarnation}
	answer, handled := d.machine.receive(rights.Monotonic(), holder, message)
	if answer != nil {
		d.config.Sender.Send(from.VM, answer)
	}
	return nil, handled
}

// Report returns what the controller of a cell has to know.
func (d *Driver) Report(cell string) Report {
	return d.machine.report(rights.Monotonic(), cell)
}

// Leave notes that a graceful stop has begun: the VM does not take over for
// others any more. Its rights pass on as the record names other dispatchers;
// Holds tells how far this has come.
func (d *Driver) Leave() { d.machine.leaving = true }

// Holds returns the number of targets that this VM still dispatches to or
// whose handover has not arrived.
func (d *Driver) Holds() int { return d.machine.holds() }

// Wait returns when the calls to targets have ended, after the end of the context.
func (d *Driver) Wait() { d.calls.Wait() }

func (d *Driver) inFlight(target string, slice *assignment.Slice) int {
	return d.config.InFlight(target, slice)
}

func (d *Driver) coldLimit(target string) int { return d.config.ColdLimit(target) }

func (d *Driver) send(vm string, message *peerv1.Control) { d.config.Sender.Send(vm, message) }

func (d *Driver) publish(table *rights.Table) { d.config.Publish(table) }

func (d *Driver) startWith(target string, inFlight, coldLimit int) {
	d.config.StartWith(target, inFlight, coldLimit)
}

func (d *Driver) targetChanged(target string, alive bool, incarnation string) {
	d.config.TargetChanged(target, alive, incarnation)
}

// callTarget makes a call on a goroutine of its own and posts its end back.
func (d *Driver) callTarget(call targetCall) {
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		ctx, cancel := context.WithTimeout(d.ctx, call.timeout)
		defer cancel()
		result := d.makeCall(ctx, call)
		d.config.Loop.Post(func() { d.machine.targetAnswered(rights.Monotonic(), result) })
	}()
}

func (d *Driver) makeCall(ctx context.Context, call targetCall) callResult {
	result := callResult{id: call.id, target: call.target}
	var err error
	switch call.kind {
	case callGrant:
		remaining := time.Duration(call.grant.DurationMillis)*time.Millisecond - (rights.Monotonic() - call.sentAt)
		if remaining <= 0 {
			// The call had to wait for longer than the lease; nothing was sent.
			result.failure = callRefused
			return result
		}
		call.grant.DurationMillis = remaining.Milliseconds()
		call.grant.NotAfter = time.Now().Add(remaining).UnixMilli()
		result.reply, err = d.config.Targets.Grant(ctx, call.address, call.grant)
		result.incarnation = result.reply.Incarnation
	case callRevoke:
		err = d.config.Targets.Revoke(ctx, call.address, call.revocation)
	case callProbe:
		var health target.Health
		health, err = d.config.Targets.Health(ctx, call.address)
		result.incarnation = health.Incarnation
	}
	switch {
	case err == nil:
	case fault.Is(err, fault.Unavailable):
		result.failure = callRefused
	default:
		result.failure = callUnanswered
	}
	return result
}
