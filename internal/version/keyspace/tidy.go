package keyspace

import (
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// usualPieces is the number of slices per owner up to which nothing is joined.
	usualPieces = 2
	// coldShare is the share of an owner's capacity below which the demand of a
	// slice counts as cold; joinedShare is the same for slices that become one,
	// which moves no keys.
	coldShare   = 0.1
	joinedShare = 0.5
	// maxAbsorbed bounds the moves of one plan that serve only to join slices.
	maxAbsorbed = 12
)

// Tidy returns the moves that join slices that have cooled down. Each change of
// the hot keys cuts slices, and each slice costs a grant at every renewal and a
// part of the record, which may not grow without bound.
func Tidy(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.pieces) <= usualPieces*len(p.owners) {
		return nil
	}
	p.join()
	p.absorb()
	return p.moves
}

// join turns each run of cold neighbours with one owner into one slice.
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

// joinable reports whether the pieces of a range may be one slice, given that
// all but the last may.
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

// absorb gives the narrowest cold slices to the owners of their neighbours.
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

// neighbour returns the owner of a wider slice beside a cold one that can take
// it; nil if there is none.
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

// takes reports whether an owner stays below the utilisation at which it would
// give keys away.
func (p *plan) takes(o *share, demand float64) bool {
	after := (o.demand + demand) / o.Capacity
	return after <= aimAt*p.mean || after <= idleUtilisation
}
