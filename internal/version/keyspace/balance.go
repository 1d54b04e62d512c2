package keyspace

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// hotRatio is the ratio of an owner's utilisation to the mean from which the owner
	// is relieved of keys.
	hotRatio = 1.25
	// idleUtilisation is the utilisation below which an owner is not relieved merely
	// because others are utilised less.
	idleUtilisation = 0.25
	// maxMovesPerPlan limits the moves of one plan, except those that reassign the keys
	// of owners without capacity. A set of a hundred hot keys is spread by three plans.
	maxMovesPerPlan = 40
	// minSpeedup is the least ratio of the capacities of two owners at which a key that
	// exceeds the capacity of the slower one is moved to the faster one. Estimated
	// capacities vary by a third, which must not cause moves.
	minSpeedup = 1.6
)

// balance relieves the busiest owners and gives keys to owners without any. An
// owner that cannot be relieved, such as that of a single hot key, is skipped, so
// that it does not hold up the others.
func (p *plan) balance() {
	for len(p.moves) < maxMovesPerPlan {
		from := p.hottest.first(nil)
		if from == nil || p.emptyOwners == 0 && !p.isHot(from) {
			return
		}
		if to := p.coldest.first(from); to == nil || !p.relieve(from, to) {
			p.hottest.remove(from)
		}
	}
}

// isHot reports whether an owner is utilised so highly that it is to be relieved.
func (p *plan) isHot(o *ownerState) bool {
	return o.utilisation() >= hotRatio*p.meanUtilisation && o.utilisation() >= idleUtilisation
}

// moveHotKeys moves each key whose demand alone exceeds its owner's capacity to the
// owner with the highest capacity. The next plan relieves that owner of its other
// keys.
func (p *plan) moveHotKeys() {
	for _, i := range p.piecesByDemand(func(c *piece) bool { return !c.fixed }) {
		from := p.owners[p.pieces[i].owner]
		if from == nil || p.pieces[i].demand <= from.Capacity || len(p.moves) >= maxMovesPerPlan {
			continue
		}
		key, demand := p.load.busiestKey(p.pieces[i].first, p.pieces[i].last)
		if demand <= from.Capacity {
			continue
		}
		if to := p.fastest(); to != nil && to.Capacity >= minSpeedup*from.Capacity {
			p.addMove(key, key, demand, from, to)
			p.pieces[i].fixed = true
			p.pieces = append(p.pieces, piece{first: key, last: key, owner: to.Life, demand: demand, fixed: true})
		}
	}
}

// fastest returns the owner with the highest capacity, leaving out owners of a
// piece of a single key whose demand exceeds their capacity; nil if there is none.
func (p *plan) fastest() *ownerState {
	overloaded := map[fleet.Life]bool{}
	for i := range p.pieces {
		c := &p.pieces[i]
		if o := p.owners[c.owner]; o != nil && c.first == c.last && c.demand > o.Capacity {
			overloaded[c.owner] = true
		}
	}
	var found *ownerState
	for _, o := range p.owners {
		if overloaded[o.Life] {
			continue
		}
		if found == nil || o.Capacity > found.Capacity || o.Capacity == found.Capacity && o.ID < found.ID {
			found = o
		}
	}
	return found
}

// relieve moves keys from one owner to another and reports whether it found a part
// that is worth a move.
func (p *plan) relieve(from, to *ownerState) bool {
	// Moving this demand makes the two equally utilised; a move must not exceed it.
	// excess is the demand that from has above the mean, as far as to has room for it.
	equalising := (from.demand*to.Capacity - to.demand*from.Capacity) / (from.Capacity + to.Capacity)
	excess := min(from.demand-p.meanUtilisation*from.Capacity, max(fillLevel*p.meanUtilisation*to.Capacity-to.demand, 0))
	excess = min(max(excess, 0), equalising)
	minDemand := minMoveDemand
	if to.pieceCount == 0 {
		// A target without keys is of no use, however low the load is.
		excess, minDemand = max(excess, equalising/2), 0
	}
	candidates := p.movableOf(from)
	if excess >= minDemand {
		for _, i := range candidates {
			if p.moveEnd(i, excess, minDemand, from, to) {
				return true
			}
		}
	}
	// The busiest keys may have more demand than the receiver can take below the
	// mean. Fall back to the smallest part at either end that is worth a move.
	for _, i := range candidates {
		cut, ok := p.smallestEnd(p.pieces[i], equalising)
		if whole := cut.first == p.pieces[i].first && cut.last == p.pieces[i].last; ok && (!whole || from.pieceCount > 1) {
			p.movePart(i, cut, from, to)
			return true
		}
	}
	return false
}

// smallestEnd returns the shortest prefix or suffix of a piece that is worth a move,
// whichever has less demand; false if no end is worth a move or its demand is above
// the given one.
func (p *plan) smallestEnd(source piece, demand float64) (piece, bool) {
	head := piece{first: source.first, last: source.first, demand: float64(p.load.keys[source.first])}
	for head.demand < minMoveDemand && head.last < source.last {
		head.last++
		head.demand += float64(p.load.keys[head.last])
	}
	tail := piece{first: source.last, last: source.last, demand: float64(p.load.keys[source.last])}
	for tail.demand < minMoveDemand && tail.first > source.first {
		tail.first--
		tail.demand += float64(p.load.keys[tail.first])
	}
	cut := head
	if tail.demand < head.demand {
		cut = tail
	}
	return cut, cut.demand >= minMoveDemand && cut.demand <= demand
}

// moveEnd moves the prefix or the suffix of a piece whose demand comes closest to
// excess without exceeding it, or the whole piece if its demand is at most 10 % more
// and the owner has others. It reports whether it moved anything.
func (p *plan) moveEnd(i int, excess, minDemand float64, from, to *ownerState) bool {
	source := p.pieces[i]
	if source.demand <= excess*1.1 && from.pieceCount > 1 {
		p.movePart(i, source, from, to)
		return true
	}
	head, headOK := p.prefix(source, excess, minDemand)
	tail, tailOK := p.suffix(source, excess, minDemand)
	switch {
	case tailOK && (!headOK || tail.demand > head.demand):
		p.movePart(i, tail, from, to)
	case headOK:
		p.movePart(i, head, from, to)
	}
	return headOK || tailOK
}

// movePart moves a prefix or suffix of a piece, or all of it.
func (p *plan) movePart(i int, part piece, from, to *ownerState) {
	source := &p.pieces[i]
	p.addMove(part.first, part.last, part.demand, from, to)
	switch {
	case part.first == source.first && part.last == source.last:
		source.owner, source.fixed = to.Life, true
		from.movable = slices.DeleteFunc(from.movable, func(j int) bool { return j == i })
		from.pieceCount--
		return
	case part.first == source.first:
		source.first = part.last + 1
	default:
		source.last = part.first - 1
	}
	source.demand -= part.demand
	p.pieces = append(p.pieces, piece{first: part.first, last: part.last, owner: to.Life, demand: part.demand, fixed: true})
}

// suffix is like prefix, from the other end of the piece.
func (p *plan) suffix(source piece, demand, minDemand float64) (piece, bool) {
	stop, sum := p.accumulate(int(source.last), int(source.first), -1, demand)
	return piece{first: uint16(stop + 1), last: source.last, demand: sum}, stop < int(source.last) && sum >= minDemand
}
