package keyspace

import (
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// tidySlicesPerOwner is the average number of slices per owner up to which nothing
	// is joined.
	tidySlicesPerOwner = 2
	// coldFraction is the fraction of its owner's capacity up to which the demand of a
	// slice counts as cold. joinedFraction is the fraction up to which adjacent slices
	// of one owner are joined; it is higher since joining moves no keys.
	coldFraction   = 0.1
	joinedFraction = 0.5
	// maxAbsorbedPerPlan limits the moves of one plan whose only purpose is to join
	// slices.
	maxAbsorbedPerPlan = 12
)

// Tidy returns the moves that join slices whose demand has dropped. Each change of
// the hot keys splits slices, and each slice costs a grant at every renewal and
// space in the record, which must not grow without bound.
func Tidy(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.pieces) <= tidySlicesPerOwner*len(p.owners) {
		return nil
	}
	p.joinRuns()
	p.absorb()
	return p.moves
}

// joinRuns joins each run of adjacent slices that have the same owner and together
// a demand of at most joinedFraction of its capacity.
func (p *plan) joinRuns() {
	for first := 0; first < len(p.pieces); {
		last := first
		for last+1 < len(p.pieces) && p.joinable(first, last+1) {
			last++
		}
		if last > first && len(p.moves) < maxMovesPerPlan {
			p.moves = append(p.moves, Move{
				First: p.pieces[first].first, Last: p.pieces[last].last, To: p.pieces[first].owner, Joins: true,
			})
			for i := first; i <= last; i++ {
				p.pieces[i].fixed = true
			}
		}
		first = last + 1
	}
}

// joinable reports whether the pieces from first to last may be joined, given that
// those before last may.
func (p *plan) joinable(first, last int) bool {
	owner := p.owners[p.pieces[first].owner]
	if owner == nil || p.pieces[first].fixed || p.pieces[last].fixed || p.pieces[last].owner != owner.Life {
		return false
	}
	demand := 0.0
	for i := first; i <= last; i++ {
		demand += p.pieces[i].demand
	}
	return demand <= joinedFraction*owner.Capacity
}

// absorb moves the narrowest cold slices to the owners of adjacent slices, so that
// they can be joined later.
func (p *plan) absorb() {
	byWidth := make([]int, 0, len(p.pieces))
	for i := range p.pieces {
		byWidth = append(byWidth, i)
	}
	width := func(i int) int { return int(p.pieces[i].last) - int(p.pieces[i].first) }
	sort.SliceStable(byWidth, func(a, b int) bool { return width(byWidth[a]) < width(byWidth[b]) })
	absorbed := 0
	for _, i := range byWidth {
		if absorbed == maxAbsorbedPerPlan {
			return
		}
		if to := p.absorber(i); to != nil {
			p.addMove(p.pieces[i].first, p.pieces[i].last, p.pieces[i].demand, p.owners[p.pieces[i].owner], to)
			p.pieces[i].owner, p.pieces[i].fixed = to.Life, true
			absorbed++
		}
	}
}

// absorber returns the owner of a wider slice next to the cold slice i that can
// take it over; nil if there is none or the slice must not move.
func (p *plan) absorber(i int) *ownerState {
	c := p.pieces[i]
	from := p.owners[c.owner]
	if from == nil || c.fixed || from.pieceCount < 2 || c.demand > min(minMoveDemand, coldFraction*from.Capacity) {
		return nil
	}
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.pieces) || p.pieces[j].fixed {
			continue
		}
		adjacent := p.pieces[j]
		to := p.owners[adjacent.owner]
		if to != nil && to != from && adjacent.last-adjacent.first > c.last-c.first && p.canTake(to, c.demand) {
			return to
		}
	}
	return nil
}

// canTake reports whether an owner can take over more demand without coming near the
// utilisation at which it would be relieved of keys.
func (p *plan) canTake(o *ownerState, demand float64) bool {
	utilisation := (o.demand + demand) / o.Capacity
	return utilisation <= fillLevel*p.meanUtilisation || utilisation <= idleUtilisation
}
