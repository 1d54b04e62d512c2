package placement

import (
	"math"
	"slices"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// SlicesPerTarget is the mean number of ranges per target in a new cell.
const SlicesPerTarget = 20

// InitialSpec describes a cell that has no assignment yet.
type InitialSpec struct {
	Service string
	Number  int
	Cells   int
	// Targets are the targets of the cell.
	Targets []Target
	// VMs are the VMs of the cell's region.
	VMs []VM
	// SlicesPerTarget is the mean number of ranges per target; 0 means
	// SlicesPerTarget.
	SlicesPerTarget int
	// Free is set for a freely placed service; its cell has one slice.
	Free bool
}

// Initial returns the first assignment of a cell: ranges of equal width, spread
// over the usable targets in proportion to their slots. It fails with
// Unavailable while there are no usable targets or too few VMs.
func Initial(spec InitialSpec) (*assignment.Cell, error) {
	targets := sortedTargets(spec.Targets)
	usable := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !t.Usable() || t.Slots <= 0 })
	if len(usable) == 0 {
		return nil, fault.New(fault.Unavailable, "add targets or take a failure domain back in", "cell %s has no usable target", assignment.CellID(spec.Service, spec.Number))
	}
	cell := &assignment.Cell{ID: assignment.CellID(spec.Service, spec.Number)}
	cell.First, cell.Last = assignment.CellBounds(spec.Number, spec.Cells)
	plan, err := PlanPartners(targets, spec.VMs, nil)
	if err != nil {
		return nil, err
	}
	for i := range plan {
		if err := AddTarget(cell, plan[i].Target, plan[i].Partners); err != nil {
			return nil, err
		}
	}
	perTarget := spec.SlicesPerTarget
	if perTarget == 0 {
		perTarget = SlicesPerTarget
	}
	count := perTarget * len(usable)
	if spec.Free {
		count = 1
	}
	cell.Slices = initialSlices(cell, usable, count)
	return cell, nil
}

// initialSlices divides the cell into ranges of equal width.
func initialSlices(cell *assignment.Cell, usable []Target, count int) []assignment.Slice {
	owners := newRotation(usable)
	nexts := make(map[string]*rotation, len(usable))
	for i := range usable {
		nexts[usable[i].Name] = newRotation(nextCandidates(usable, &usable[i]))
	}
	size := (cell.Last - cell.First) / uint64(count)
	ranges := make([]assignment.Slice, 0, count)
	first := cell.First
	for i := range count {
		last := first + size
		if i == count-1 || last > cell.Last || last < first {
			last = cell.Last
		}
		owner := owners.take()
		ranges = append(ranges, assignment.Slice{First: first, Last: last,
			Owner: owner, Fence: 1, Next: nexts[owner].take(), NextFence: 2})
		if last == cell.Last {
			break
		}
		first = last + 1
	}
	return ranges
}

// nextCandidates returns the targets that may follow an owner: those of other
// failure domains if there are any.
func nextCandidates(usable []Target, owner *Target) []Target {
	var elsewhere, others []Target
	for _, t := range usable {
		if t.Name == owner.Name {
			continue
		}
		others = append(others, t)
		if t.FailureDomain != owner.FailureDomain {
			elsewhere = append(elsewhere, t)
		}
	}
	if len(elsewhere) > 0 {
		others = elsewhere
	}
	// Every owner starts at another candidate, so that few slices do not all
	// name the first ones.
	slices.SortFunc(others, func(a, b Target) int {
		return compareUint(weight(owner.Name, a.Name), weight(owner.Name, b.Name))
	})
	return others
}

// rotation hands out targets in turn, in proportion to their slots.
type rotation struct {
	targets []Target
	credit  []float64
	total   float64
}

func newRotation(targets []Target) *rotation {
	r := &rotation{targets: targets, credit: make([]float64, len(targets))}
	for i := range targets {
		r.total += targets[i].Capacity()
	}
	return r
}

// take returns the name of the target with the highest credit, or "" if there
// are no targets.
func (r *rotation) take() string {
	best := -1
	highest := math.Inf(-1)
	for i := range r.targets {
		r.credit[i] += r.targets[i].Capacity()
		if r.credit[i] > highest {
			best, highest = i, r.credit[i]
		}
	}
	if best < 0 {
		return ""
	}
	r.credit[best] -= r.total
	return r.targets[best].Name
}

func sortedTargets(targets []Target) []Target {
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
