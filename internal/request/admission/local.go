package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// A VM that cannot reach the broker decides by itself. All VMs may do so at once, and none
// sees what the others send. This file answers load that is then uneven, and targets that
// get more than their slots and queues hold; docs/design/even-load.md compares the ways.
//
// Each slot of a service without keys belongs to one VM, if there are enough of them. This
// needs no messages, and the VMs together send no more than the slots. With fewer slots, a
// VM uses a few targets only, so that it hears from each of them often, and sends what fits
// by their reports. The same estimate decides whether the owner of a key gets a request.

const (
	// minSharedSlots is the number of slots per VM from which on each slot belongs to one
	// VM. With fewer, many requests find the slots of their VM in use and others free.
	minSharedSlots = 4
	// subsetTargets is the number of targets that a VM uses if slots are not shared out.
	subsetTargets = 8
	// estimateBound is the estimated number of requests at a target, relative to its
	// slots, up to which a VM sends. Targets queue some requests; a bound of 1 refuses a
	// third of the requests at 90% of the capacity, since estimates are rough, and one of
	// 1.5 an eighth at 120%, to save half as many resets.
	estimateBound = 1.75
	// ownerEstimateBound is the same for the owner of a key, for which there is no choice.
	// Reports of an owner are 2 s old on average in a large fleet: a bound of 1.75 has no
	// effect, one of 1.25 refuses an eighth at 90% of the capacity.
	ownerEstimateBound = 1.5
	// reportTime is the time in which a report loses all but 1/e of its weight against the
	// mean of the service: about as long as two requests take.
	reportTime = 400 * time.Millisecond
	// meanTime is the same for the weight of a report in the mean.
	meanTime = 3 * time.Second
	// priorWeight is the weight in the mean, in reports, of the assumption that half of
	// the slots are in use. It lets a VM send again when all reports are old.
	priorWeight = 0.3
	// reportMaxAge is the age from which on a report is dropped.
	reportMaxAge = 10 * time.Second
)

// Loads is what one VM knows of the load of targets: the reports in their responses, and what
// the VM itself has in flight. It is not safe for concurrent use.
type Loads struct {
	targets  map[fleet.Life]*knownLoad
	prunedAt time.Time
}

type knownLoad struct {
	// elsewhere is the number of the VM's requests in flight that another broker permitted.
	elsewhere int
	// others is the number of requests of other VMs as of the last report; reportedAt is
	// zero if there is none.
	others     float64
	reportedAt time.Time
	// full is set if the target has not reported it but turned a request away. That is no
	// sample of the load of all targets.
	full bool
}

// NewLoads returns the loads of a VM that knows nothing yet.
func NewLoads() *Loads { return &Loads{targets: map[fleet.Life]*knownLoad{}} }

func (l *Loads) of(life fleet.Life) *knownLoad {
	known := l.targets[life]
	if known == nil {
		known = &knownLoad{}
		l.targets[life] = known
	}
	return known
}

// Started counts a request that another broker has permitted to this VM.
func (l *Loads) Started(life fleet.Life) { l.of(life).elsewhere++ }

// Ended undoes Started.
func (l *Loads) Ended(life fleet.Life) {
	if known := l.targets[life]; known != nil && known.elsewhere > 0 {
		known.elsewhere--
	}
}

// Report records the load that a target has reported. running is the number of requests that
// this VM has permitted itself and that are still in flight there.
func (l *Loads) Report(life fleet.Life, load fleet.Load, running int, now time.Time) {
	if now.Sub(l.prunedAt) > reportMaxAge {
		l.prunedAt = now
		maps.DeleteFunc(l.targets, func(_ fleet.Life, known *knownLoad) bool {
			return known.elsewhere == 0 && now.Sub(known.reportedAt) > reportMaxAge
		})
	}
	known := l.of(life)
	known.others = math.Max(float64(load.Running+load.Waiting-running-known.elsewhere), 0)
	known.reportedAt, known.full = now, false
}

// Full records that a target of a number of slots has turned a request away without saying
// its load: its slots and its queue, which is assumed to be as long, are probably full.
func (l *Loads) Full(life fleet.Life, slots, running int, now time.Time) {
	l.Report(life, fleet.Load{Running: slots, Waiting: slots}, running, now)
	l.targets[life].full = true
}

// age returns the age of the last report of a target; false if there is none.
func (l *Loads) age(life fleet.Life, now time.Time) (time.Duration, bool) {
	known := l.targets[life]
	if known == nil || known.reportedAt.IsZero() {
		return 0, false
	}
	return now.Sub(known.reportedAt), true
}

// elsewhere returns the number of the VM's requests at a target that another broker permitted.
func (l *Loads) elsewhere(life fleet.Life) int {
	if known := l.targets[life]; known != nil {
		return known.elsewhere
	}
	return 0
}

// meanOthers returns the mean number of requests of other VMs at the targets of a service.
func (l *Loads) meanOthers(targets []*target, now time.Time) float64 {
	sum, weights, slots := 0.0, priorWeight, 0
	for _, t := range targets {
		slots += t.declaredSlots
		if age, ok := l.age(t.Life, now); ok && !l.targets[t.Life].full {
			weight := math.Exp(-age.Seconds() / meanTime.Seconds())
			sum, weights = sum+weight*l.targets[t.Life].others, weights+weight
		}
	}
	prior := float64(slots) / float64(2*max(len(targets), 1))
	return (sum + priorWeight*prior) / weights
}

// planLocal assigns to the targets of the pool the slots that this VM may use by itself.
func (p *pool) planLocal(view *fleet.View) {
	vms := slices.Sorted(maps.Keys(view.Members))
	if position, found := slices.BinarySearch(vms, p.broker.config.VM); !found {
		vms = slices.Insert(vms, position, p.broker.config.VM)
	}
	p.vms, p.shared = len(vms), false
	if p.service.Keyed || p.vms == 1 {
		return
	}
	var usable []*target
	for _, t := range p.sortedTargets {
		if t.usable {
			usable = append(usable, t)
		}
	}
	if p.slots >= minSharedSlots*p.vms {
		p.shared = true
		p.share(usable, vms)
		return
	}
	p.restrict(usable)
}

// share leaves each target the slots that belong to this VM. The slots are dealt to the VMs
// in turn, the first ones of all targets first, so that all VMs get equally many and a VM's
// slots are at different targets.
func (p *pool) share(usable []*target, vms []string) {
	position, _ := slices.BinarySearch(vms, p.broker.config.VM)
	most := 0
	for _, t := range usable {
		most = max(most, t.Slots)
		t.Slots = 0
	}
	dealt := 0
	for round := range most {
		for _, t := range usable {
			if round >= t.declaredSlots {
				continue
			}
			if dealt%len(vms) == position {
				t.Slots++
			}
			dealt++
		}
	}
	for _, t := range usable {
		t.usable = t.Slots > 0
	}
}

// restrict leaves this VM a few targets, by rendezvous hashing: a target that is added or
// removed changes few of the others.
func (p *pool) restrict(usable []*target) {
	slices.SortFunc(usable, func(a, b *target) int { return cmp.Compare(a.rank, b.rank) })
	for _, t := range usable[min(subsetTargets, len(usable)):] {
		t.usable = false
	}
}

// estimate returns the number of requests that are probably at a target: those of this VM,
// and those of others by the last report, which tends to the mean of the service as it ages.
func (p *pool) estimate(t *target, now time.Time) float64 {
	loads := p.broker.config.Loads
	if now.Sub(p.meanAt) > capacityMaxAge {
		p.meanAt, p.meanOthers = now, loads.meanOthers(p.sortedTargets, now)
	}
	others := p.meanOthers
	if age, ok := loads.age(t.Life, now); ok {
		others += math.Exp(-age.Seconds()/reportTime.Seconds()) * (loads.targets[t.Life].others - others)
	}
	return others + float64(t.running+loads.elsewhere(t.Life))
}

// localSlowdown returns the expected time of a request at a target in its present state,
// relative to that at an idle one.
func (p *pool) localSlowdown(t *target, now time.Time) float64 {
	slots := float64(max(t.declaredSlots, 1))
	if p.shared {
		return 1 + occupancySlowdown*float64(t.running)/slots
	}
	estimate := p.estimate(t, now)
	return 1 + occupancySlowdown*min(estimate/slots, 1) + math.Max(estimate+1-slots, 0)/slots
}

// hasRoom reports whether this VM may send a request to a target by itself.
func (p *pool) hasRoom(t *target, now time.Time) bool {
	if p.shared {
		return t.running+p.broker.config.Loads.elsewhere(t.Life) < t.Slots
	}
	bound := estimateBound
	if p.service.Keyed {
		bound = ownerEstimateBound
	}
	return p.vms == 1 || p.estimate(t, now)+1 <= bound*float64(t.Slots)
}

// localSlots returns how many of a number of slots a waiting request of this VM can count on.
// Other VMs use them too; how many of them wait is not known.
func (p *pool) localSlots(slots int) int {
	if p.broker.config.Loads == nil || p.shared || slots == 0 {
		return slots
	}
	return min(slots, minSharedSlots)
}

// describe adds to a local decision what it is based on.
func (p *pool) describe(d *Decision, t *target, now time.Time) {
	if p.broker.config.Loads == nil {
		return
	}
	d.Shared = p.shared
	d.LoadAge, d.LoadKnown = p.broker.config.Loads.age(t.Life, now)
}
