package placement

import (
	"fmt"
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// RoundInput is what a controller knows of a cell when it plans a round.
type RoundInput struct {
	// Cell is the present record; it is not changed.
	Cell *assignment.Cell
	// Free is set for the cell of a freely placed service: only its dispatch
	// rights matter, and its one slice is owned by nobody in earnest.
	Free bool
	// Targets are the manifest's targets of the cell. Targets of the record that
	// are missing here leave and are removed once they own nothing.
	Targets []Target
	// VMs may hold dispatch rights.
	VMs []VM
	// Staying are holders that are given no new rights, as their failure domain
	// is out or they are drained, but that go on until they are replaced.
	Staying []assignment.Holder
	// Gone are holders that certainly hold nothing any more, and have for
	// longer than a lease.
	Gone []assignment.Holder
	// Acceptances and Handovers are reported progress.
	Acceptances []Acceptance
	Handovers   []Handover
	// Loads are the measured loads; nil before the first report. The round adds
	// estimates for slices that it splits or isolates.
	Loads *Loads
	// Policy bounds the round.
	Policy Policy
	// Budget is the share of the cell's key space that may move now for the
	// sake of balance.
	Budget float64
	// Pinned are slices that were moved recently and stay for now.
	Pinned map[SliceID]bool
}

// Handover reports that the dispatcher of an epoch acts on it.
type Handover struct {
	Target     string
	Epoch      uint64
	Dispatcher assignment.Holder
}

// DecisionKind is the kind of a placement decision.
type DecisionKind string

// The kinds of decisions.
const (
	DecideAccept   DecisionKind = "accept"
	DecideMove     DecisionKind = "move"
	DecideNext     DecisionKind = "next"
	DecideSplit    DecisionKind = "split"
	DecideMerge    DecisionKind = "merge"
	DecideIsolate  DecisionKind = "isolate"
	DecideAbsorb   DecisionKind = "absorb"
	DecidePartners DecisionKind = "partners"
	DecideHandover DecisionKind = "handover"
	DecideRecover  DecisionKind = "recover"
	DecideAdd      DecisionKind = "add-target"
	DecideRemove   DecisionKind = "remove-target"
)

// Decision is one change of a round with its reason, for the log.
type Decision struct {
	Kind DecisionKind
	// Slice is set for decisions on slices, Target for those on targets.
	Slice  SliceID
	Target string
	// From and To are targets or dispatchers' VMs.
	From, To string
	// Balancing is set for moves that count against the budget.
	Balancing bool
	// Load is the slice's load in requests per second.
	Load   float64
	Reason string
}

// RoundResult is the outcome of a round.
type RoundResult struct {
	// Cell is the next record, nil if nothing changes.
	Cell      *assignment.Cell
	Decisions []Decision
}

// round carries the state of one planning round.
type round struct {
	RoundInput
	decisions []Decision
	// eligibleHolders are the holders of VMs.
	eligibleHolders map[assignment.Holder]bool
}

// PlanRound plans the next version of a cell's record: reported progress first,
// then repairs, then moves. Planning again from the same record after a crash
// gives the same kind of steps, since the record holds all that was begun.
func PlanRound(in RoundInput) RoundResult {
	r := &round{RoundInput: in}
	r.Cell = in.Cell.Clone()
	r.Targets = sortedTargets(in.Targets)
	r.eligibleHolders = make(map[assignment.Holder]bool, len(in.VMs))
	for i := range in.VMs {
		r.eligibleHolders[in.VMs[i].Holder] = true
	}
	r.followReports()
	r.addTargets()
	r.repairPartners()
	if r.Free {
		r.passFreeSlices()
	} else {
		r.balance()
		r.repairNexts()
	}
	r.removeTargets()
	if len(r.decisions) == 0 {
		return RoundResult{}
	}
	return RoundResult{Cell: r.Cell, Decisions: r.decisions}
}

func (r *round) decide(d Decision) { r.decisions = append(r.decisions, d) }

// followReports writes accepted releases and handovers into the record.
func (r *round) followReports() {
	for _, a := range r.Acceptances {
		if Accept(r.Cell, a) {
			r.decide(Decision{Kind: DecideAccept, Slice: a.Slice, From: a.Owner, To: a.Next, Reason: fmt.Sprintf("the release at fence %d was accepted at fence %d", a.Fence, a.NextFence)})
		}
	}
	r.rejoinPieces()
	for _, h := range r.Handovers {
		if CompleteHandover(r.Cell, h.Target, h.Epoch, h.Dispatcher) {
			r.decide(Decision{Kind: DecideHandover, Target: h.Target, To: h.Dispatcher.VM, Reason: fmt.Sprintf("the dispatcher acts at epoch %d", h.Epoch)})
		}
	}
}

// rejoinPieces merges what was released in pieces and has arrived: neighbours of
// one owner at one fence, at least one of which has no next owner yet.
func (r *round) rejoinPieces() {
	for i := 0; i+1 < len(r.Cell.Slices); {
		left, right := &r.Cell.Slices[i], &r.Cell.Slices[i+1]
		leftID, rightID := IDOf(left), IDOf(right)
		if left.Next != "" && right.Next != "" || Merge(r.Cell, leftID) != nil {
			i++
			continue
		}
		joined := SliceID{First: leftID.First, Last: rightID.Last}
		r.Loads.join(leftID, rightID, joined)
		r.decide(Decision{Kind: DecideMerge, Slice: joined, From: r.Cell.Slices[i].Owner, Reason: "pieces of one release have arrived"})
	}
}

// target returns the target by name; one that the manifest no longer has is
// leaving.
func (r *round) target(name string) Target {
	if t := findTarget(r.Targets, name); t != nil {
		return *t
	}
	return Target{Name: name, Leaving: true}
}

// usable reports whether a target may be given slices by this record.
func (r *round) usable(name string) bool {
	t := r.target(name)
	return t.Usable() && r.Cell.RightsOf(name) != nil
}

// addTargets gives dispatch rights to targets that are new in the manifest.
func (r *round) addTargets() {
	if !slices.ContainsFunc(r.Targets, func(t Target) bool { return r.Cell.RightsOf(t.Name) == nil }) {
		return
	}
	plan, err := PlanPartners(r.Targets, r.VMs, r.Cell)
	if err != nil {
		return
	}
	for i := range plan {
		if r.Cell.RightsOf(plan[i].Target) == nil && AddTarget(r.Cell, plan[i].Target, plan[i].Partners) == nil {
			r.decide(Decision{Kind: DecideAdd, Target: plan[i].Target, To: plan[i].Partners.Dispatcher.VM, Reason: "the manifest has a new target"})
		}
	}
}

// passFreeSlices names another owner for slices of a target that the manifest no
// longer has. No target is ever granted a slice of a freely placed service, so
// there is nothing to release.
func (r *round) passFreeSlices() {
	for i := range r.Cell.Slices {
		slice := &r.Cell.Slices[i]
		if findTarget(r.Targets, slice.Owner) != nil {
			continue
		}
		for j := range r.Targets {
			if r.Cell.RightsOf(r.Targets[j].Name) == nil {
				continue
			}
			r.decide(Decision{Kind: DecideAccept, Slice: IDOf(slice), From: slice.Owner, To: r.Targets[j].Name, Reason: "the slice of a freely placed service needs an owner in the manifest"})
			pass(slice, Acceptance{Next: r.Targets[j].Name, NextFence: slice.NextFence})
			break
		}
	}
}

// removeTargets drops the rights of targets that the manifest no longer has and
// that no slice names.
func (r *round) removeTargets() {
	for _, rights := range slices.Clone(r.Cell.Targets) {
		if findTarget(r.Targets, rights.Target) == nil && RemoveTarget(r.Cell, rights.Target) == nil {
			r.decide(Decision{Kind: DecideRemove, Target: rights.Target, Reason: "the manifest no longer has the target and it owns nothing"})
		}
	}
}

// repairPartners replaces partners that may no longer hold rights, and lets
// targets recover whose partners are gone.
func (r *round) repairPartners() {
	known := slices.Clone(r.Targets)
	for i := range r.Cell.Targets {
		if name := r.Cell.Targets[i].Target; findTarget(r.Targets, name) == nil {
			known = append(known, Target{Name: name, Leaving: true})
		}
	}
	plan, err := PlanPartners(known, r.VMs, r.Cell)
	if err != nil {
		return
	}
	changes := 0
	for i := range plan {
		rights := r.Cell.RightsOf(plan[i].Target)
		if rights == nil {
			continue
		}
		if r.recover(rights, plan[i].Partners) {
			continue
		}
		if rights.Previous != nil || rights.Partners == plan[i].Partners || r.waitsForMoves(rights) {
			continue
		}
		urgent := !r.eligible(rights.Dispatcher) || !r.eligible(rights.Backup) || !r.eligible(rights.Witness)
		if !urgent && changes >= r.Policy.MaxPartnerChanges {
			continue
		}
		reason := "partners closer to the plan for the present VMs"
		if urgent {
			reason = "a partner is lost or leaving"
		} else {
			changes++
		}
		r.decide(Decision{Kind: DecidePartners, Target: rights.Target, From: rights.Dispatcher.VM, To: plan[i].Partners.Dispatcher.VM, Reason: reason})
		if err := ChangePartners(r.Cell, rights.Target, plan[i].Partners); err != nil {
			panic("placement: a change of partners that was checked is refused: " + err.Error())
		}
	}
}

// waitsForMoves reports whether a leaving target keeps its partners until its
// slices have moved: they are well, and a handover at the same time would send
// requests from one dispatcher to the next while the slices move as well.
func (r *round) waitsForMoves(rights *assignment.Rights) bool {
	if t := r.target(rights.Target); !t.Leaving || t.Lost || !r.owns(rights.Target) {
		return false
	}
	for _, holder := range []assignment.Holder{rights.Dispatcher, rights.Backup, rights.Witness} {
		if !r.eligible(holder) && !slices.Contains(r.Staying, holder) {
			return false
		}
	}
	return true
}

// owns reports whether a target owns a slice.
func (r *round) owns(target string) bool {
	owned := func(s assignment.Slice) bool { return s.Owner == target }
	return slices.ContainsFunc(r.Cell.Slices, owned) || slices.ContainsFunc(r.Cell.HotKeys, owned)
}

// recover ends waiting for partners who are gone for good. It reports whether
// it changed the rights.
func (r *round) recover(rights *assignment.Rights, partners assignment.Partners) bool {
	present := r.twoGone(&rights.Partners)
	switch {
	case rights.Previous == nil && present:
		r.decide(Decision{Kind: DecideRecover, Target: rights.Target, To: partners.Dispatcher.VM, Reason: "two of the three partners are gone"})
		_ = Recover(r.Cell, rights.Target, partners)
	case rights.Previous != nil && r.twoGone(rights.Previous) && present:
		r.decide(Decision{Kind: DecideRecover, Target: rights.Target, To: partners.Dispatcher.VM, Reason: "two of the three partners are gone, before and after the change"})
		_ = Recover(r.Cell, rights.Target, partners)
	case rights.Previous != nil && r.twoGone(rights.Previous):
		r.decide(Decision{Kind: DecideRecover, Target: rights.Target, To: rights.Dispatcher.VM, Reason: "two of the three partners who could hand over are gone"})
		_ = ForceHandover(r.Cell, rights.Target)
	case rights.Previous != nil && present:
		r.decide(Decision{Kind: DecidePartners, Target: rights.Target, From: rights.Dispatcher.VM, To: partners.Dispatcher.VM, Reason: "two of the three new partners are gone before the handover"})
		_ = RedirectHandover(r.Cell, rights.Target, partners)
	default:
		return false
	}
	return true
}

func (r *round) twoGone(p *assignment.Partners) bool {
	gone := 0
	for _, holder := range []assignment.Holder{p.Dispatcher, p.Backup, p.Witness} {
		if slices.Contains(r.Gone, holder) {
			gone++
		}
	}
	return gone >= 2
}

// eligible reports whether a holder may keep a right.
func (r *round) eligible(holder assignment.Holder) bool { return r.eligibleHolders[holder] }

// NewCell plans the first record of a cell.
func NewCell(spec InitialSpec) (RoundResult, error) {
	cell, err := Initial(spec)
	if err != nil {
		return RoundResult{}, err
	}
	result := RoundResult{Cell: cell}
	for i := range cell.Targets {
		result.Decisions = append(result.Decisions, Decision{Kind: DecideAdd, Target: cell.Targets[i].Target,
			To: cell.Targets[i].Dispatcher.VM, Reason: "the cell has no record yet"})
	}
	return result, nil
}

// ForceHandover lets the dispatcher of the present epoch act without a
// handover. The caller has made sure that two of the three partners who could
// hand over are gone for good.
func ForceHandover(cell *assignment.Cell, target string) error {
	rights := cell.RightsOf(target)
	if rights == nil {
		return unknownTarget(cell, target)
	}
	rights.Previous, rights.PreviousEpoch = nil, 0
	rights.RecoveryFence = unusedFence(cell)
	return nil
}

// RedirectHandover names other new partners while the handover of the previous
// ones is still awaited.
func RedirectHandover(cell *assignment.Cell, target string, partners assignment.Partners) error {
	rights := cell.RightsOf(target)
	if rights == nil {
		return unknownTarget(cell, target)
	}
	if rights.Previous == nil {
		return fault.New(fault.Refused, "change the partners instead", "target %q awaits no handover", target)
	}
	rights.Partners = partners
	rights.Epoch++
	rights.RecoveryFence = unusedFence(cell)
	return nil
}
