package keyspace

import (
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// usualPieces is the number of slices per owner, on average, up to which nothing
	// is joined.
	usualPieces = 2
	// coldShare is the fraction of its owner's capacity up to which the demand of a
	// slice counts as cold. joinedShare is the fraction up to which adjacent slices
	// of one owner are joined; it is higher since joining moves no keys.
	coldShare   = 0.1
	joinedShare = 0.5
	// maxAbsorbed limits the moves of one plan whose only purpose is to join slices.
	maxAbsorbed = 12
)

// Tidy returns the moves that join slices whose demand has dropped. Each change of
// the hot keys splits slices, and each slice costs a grant at every renewal and
// space in the record, which must not grow without bound.
func Tidy(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.pieces) <= usualPieces*len(p.owners) {
		return nil
	}
	p.join()
	p.absorb()
	return p.moves
}

// join joins each run of adjacent slices that have the same owner and little
// demand.
func (p *plan) join() {
	for first := 0; first < len(p.pieces); {
		last := first
		for last+1 < len(p.pieces) && p.joinable(first, last+1) {
			last++
		}
		if last > first && len(p.moves) < maxMoves {
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
	return demand <= joinedShare*owner.Capacity
}

// absorb moves the narrowest cold slices to the owners of adjacent slices, so that
// they can be joined later.
func (p *plan) absorb() {
	order := make([]int, 0, len(p.pieces))
	for i := range p.pieces {
		order = append(order, i)
	}
	width := func(i int) int { return int(p.pieces[i].last) - int(p.pieces[i].first) }
	sort.SliceStable(order, func(a, b int) bool { return width(order[a]) < width(order[b]) })
	absorbed := 0
	for _, i := range order {
		if absorbed == maxAbsorbed {
			return
		}
		if to := p.neighbour(i); to != nil {
			p.move(p.pieces[i].first, p.pieces[i].last, p.pieces[i].demand, p.owners[p.pieces[i].owner], to)
			p.pieces[i].owner, p.pieces[i].fixed = to.Life, true
			absorbed++
		}
	}
}

// neighbour returns the owner of a wider slice next to the cold slice i that can
// take it over; nil if there is none or the slice must not move.
func (p *plan) neighbour(i int) *share {
	c := p.pieces[i]
	from := p.owners[c.owner]
	if from == nil || c.fixed || from.pieces < 2 || c.demand > min(minPart, coldShare*from.Capacity) {
		return nil
	}
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.pieces) || p.pieces[j].fixed {
			continue
		}
		beside := p.pieces[j]
		to := p.owners[beside.owner]
		if to != nil && to != from && beside.last-beside.first > c.last-c.first && p.takes(to, c.demand) {
			return to
		}
	}
	return nil
}

// takes reports whether an owner can take over more demand without coming near the
// utilisation at which it would be relieved of keys.
func (p *plan) takes(o *share, demand float64) bool {
	after := (o.demand + demand) / o.Capacity
	return after <= aimAt*p.mean || after <= idleUtilisation
}
