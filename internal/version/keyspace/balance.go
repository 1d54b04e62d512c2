package keyspace

import (
	"slices"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// imbalance is the utilisation, relative to the mean, from which an owner is
	// relieved of keys.
	imbalance = 1.25
	// idleUtilisation is the utilisation below which an owner is not relieved merely
	// because others are utilised less.
	idleUtilisation = 0.25
	// maxMoves limits the moves of one plan; a set of a hundred hot keys is spread
	// by three plans.
	maxMoves = 40
	// fasterBy is the least ratio of the capacities of two owners at which a key that
	// exceeds the capacity of the slower one is moved to the faster one. Estimated
	// capacities vary by a third, which must not cause moves.
	fasterBy = 1.6
)

// balance relieves the busiest owners and gives keys to owners without any. An
// owner that cannot be relieved, such as that of a single hot key, is skipped, so
// that it does not hold up the others.
func (p *plan) balance() {
	for len(p.moves) < maxMoves {
		from := p.hottest.first(nil)
		if from == nil || p.empty == 0 && !p.isHot(from) {
			return
		}
		if to := p.coldest.first(from); to == nil || !p.relieve(from, to) {
			p.hottest.drop(from)
		}
	}
}

// isHot reports whether an owner is utilised so highly that it is to be relieved.
func (p *plan) isHot(o *share) bool {
	return o.utilisation() >= imbalance*p.mean && o.utilisation() >= idleUtilisation
}

// promote moves each key whose demand alone exceeds its owner's capacity to the
// owner with the highest capacity. The next plan relieves that owner of its other
// keys.
func (p *plan) promote() {
	for _, i := range p.byDemand(func(c *piece) bool { return !c.fixed }) {
		from := p.owners[p.pieces[i].owner]
		if from == nil || p.pieces[i].demand <= from.Capacity || len(p.moves) >= maxMoves {
			continue
		}
		key, demand := p.load.busiest(p.pieces[i].first, p.pieces[i].last)
		if demand <= from.Capacity {
			continue
		}
		if to := p.fastest(); to != nil && to.Capacity >= fasterBy*from.Capacity {
			p.move(key, key, demand, from, to)
			p.pieces[i].fixed = true
			p.pieces = append(p.pieces, piece{first: key, last: key, owner: to.Life, demand: demand, fixed: true})
		}
	}
}

// fastest returns the owner with the highest capacity, leaving out owners of a
// piece of a single key whose demand exceeds their capacity; nil if there is none.
func (p *plan) fastest() *share {
	taken := map[fleet.Life]bool{}
	for i := range p.pieces {
		c := &p.pieces[i]
		if o := p.owners[c.owner]; o != nil && c.first == c.last && c.demand > o.Capacity {
			taken[c.owner] = true
		}
	}
	var found *share
	for _, o := range p.owners {
		if taken[o.Life] {
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
func (p *plan) relieve(from, to *share) bool {
	// Moving this demand makes the two equally utilised; a move must not exceed it.
	even := (from.demand*to.Capacity - to.demand*from.Capacity) / (from.Capacity + to.Capacity)
	excess := min(from.demand-p.mean*from.Capacity, max(aimAt*p.mean*to.Capacity-to.demand, 0))
	excess = min(max(excess, 0), even)
	least := minPart
	if to.pieces == 0 {
		// A target without keys is of no use, however low the load is.
		excess, least = max(excess, even/2), 0
	}
	candidates := p.movableOf(from)
	if excess >= least {
		for _, i := range candidates {
			if p.cutFrom(i, excess, least, from, to) {
				return true
			}
		}
	}
	// The busiest keys may have more demand than the receiver can take below the
	// mean. Fall back to the smallest part at either end that is worth a move.
	for _, i := range candidates {
		cut, ok := p.shortest(p.pieces[i], even)
		if whole := cut.first == p.pieces[i].first && cut.last == p.pieces[i].last; ok && (!whole || from.pieces > 1) {
			p.cut(i, cut, from, to)
			return true
		}
	}
	return false
}

// shortest returns the shortest prefix or suffix of a piece that is worth a move,
// whichever has less demand; false if it is below the minimum or above the given
// demand.
func (p *plan) shortest(source piece, demand float64) (piece, bool) {
	head := piece{first: source.first, last: source.first, demand: float64(p.load.keys[source.first])}
	for head.demand < minPart && head.last < source.last {
		head.last++
		head.demand += float64(p.load.keys[head.last])
	}
	tail := piece{first: source.last, last: source.last, demand: float64(p.load.keys[source.last])}
	for tail.demand < minPart && tail.first > source.first {
		tail.first--
		tail.demand += float64(p.load.keys[tail.first])
	}
	cut := head
	if tail.demand < head.demand {
		cut = tail
	}
	return cut, cut.demand >= minPart && cut.demand <= demand
}

// cutFrom moves the prefix or the suffix of a piece whose demand comes closest to
// excess without exceeding it, or the whole piece if its demand is little more. It
// reports whether it moved anything.
func (p *plan) cutFrom(i int, excess, least float64, from, to *share) bool {
	source := p.pieces[i]
	if source.demand <= excess*1.1 && from.pieces > 1 {
		p.cut(i, source, from, to)
		return true
	}
	head, headOK := p.prefix(source, excess, least)
	tail, tailOK := p.suffix(source, excess, least)
	switch {
	case tailOK && (!headOK || tail.demand > head.demand):
		p.cut(i, tail, from, to)
	case headOK:
		p.cut(i, head, from, to)
	}
	return headOK || tailOK
}

// cut moves a prefix or suffix of a piece, or all of it.
func (p *plan) cut(i int, end piece, from, to *share) {
	source := &p.pieces[i]
	p.move(end.first, end.last, end.demand, from, to)
	switch {
	case end.first == source.first && end.last == source.last:
		source.owner, source.fixed = to.Life, true
		from.movable = slices.DeleteFunc(from.movable, func(j int) bool { return j == i })
		from.pieces--
		return
	case end.first == source.first:
		source.first = end.last + 1
	default:
		source.last = end.first - 1
	}
	source.demand -= end.demand
	p.pieces = append(p.pieces, piece{first: end.first, last: end.last, owner: to.Life, demand: end.demand, fixed: true})
}

// suffix is like prefix, from the other end of the piece.
func (p *plan) suffix(source piece, demand, least float64) (piece, bool) {
	stop, taken := p.longest(int(source.last), int(source.first), -1, demand)
	return piece{first: uint16(stop + 1), last: source.last, demand: taken}, stop < int(source.last) && taken >= least
}
