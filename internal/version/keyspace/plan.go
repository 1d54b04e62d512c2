package keyspace

import (
	"slices"
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// fillLevel is the utilisation, relative to the mean, up to which moves fill an
	// owner.
	fillLevel = 1.02
	// minMoveDemand is the smallest demand worth a move, in seconds of work per second.
	minMoveDemand = 0.05
)

// Owner is a target that may own keys.
type Owner struct {
	fleet.Life
	// Capacity is the work that it can do per second, in seconds of work at normal
	// speed. 0 means that it has to give up its keys.
	Capacity float64
}

// Move assigns the keys from First to Last, inclusive, to the target To.
type Move struct {
	First, Last uint16
	To          fleet.Life
	// Joins is set if To owns all of the keys already and their slices are joined
	// into one.
	Joins bool
}

// Initial returns the moves that divide all keys among the owners in proportion to
// their capacity.
func Initial(owners []Owner) []Move {
	total := 0.0
	var usable []Owner
	for _, o := range owners {
		if o.Capacity > 0 {
			usable = append(usable, o)
			total += o.Capacity
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].ID < usable[j].ID })
	var moves []Move
	first, sum := 0, 0.0
	for i, o := range usable {
		sum += o.Capacity
		last := int(sum/total*fleet.Keys) - 1
		if i == len(usable)-1 {
			last = fleet.Keys - 1
		}
		if last >= first {
			moves = append(moves, Move{First: uint16(first), Last: uint16(last), To: o.Life})
			first = last + 1
		}
	}
	return moves
}

// Plan returns the moves that rebalance the keys. In this order, it reassigns the
// keys whose owner is not in owners or has no capacity, relieves the busiest owners,
// and gives each key whose demand exceeds its owner's capacity to the fastest owner.
// Slices that are still moving are left to their present owner if that has capacity.
func Plan(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.owners) == 0 {
		return nil
	}
	p.reassignOrphans()
	p.balance()
	p.moveHotKeys()
	return p.moves
}

// plan is the state of one run of Plan or Tidy.
type plan struct {
	load   *Load
	pieces []piece
	owners map[fleet.Life]*ownerState
	moves  []Move
	// meanUtilisation is the utilisation that all owners would have if demand were
	// divided in proportion to capacity.
	meanUtilisation float64
	// emptyOwners is the number of owners without keys.
	emptyOwners int
	// hottest ranks the owners with movable pieces by falling utilisation, coldest
	// ranks all owners by rising utilisation.
	hottest, coldest ranking
}

// piece is a slice, or a part that the plan has cut from one, with its demand in
// seconds of work per second.
type piece struct {
	first, last uint16
	owner       fleet.Life
	demand      float64
	// fixed is set if the plan must not move the piece: its slice is still moving
	// or the plan has handled it already.
	fixed bool
}

// ownerState is the state of one owner during planning.
type ownerState struct {
	Owner
	demand     float64
	pieceCount int
	// movable holds the indexes of the owner's pieces that are not fixed.
	movable []int
	// hottestIndex and coldestIndex are the owner's indexes in the rankings hottest
	// and coldest; -1 if it is not ranked.
	hottestIndex, coldestIndex int
}

func (s *ownerState) utilisation() float64 { return s.demand / s.Capacity }

func newPlan(current []fleet.Slice, owners []Owner, load *Load) *plan {
	p := &plan{load: load, owners: map[fleet.Life]*ownerState{}}
	capacity, demand, maxCapacity := 0.0, 0.0, 0.0
	for _, o := range owners {
		if o.Capacity > 0 {
			p.owners[o.Life] = &ownerState{Owner: o, hottestIndex: -1, coldestIndex: -1}
			capacity += o.Capacity
			maxCapacity = max(maxCapacity, o.Capacity)
		}
	}
	for _, s := range current {
		d := load.rangeDemand(s.First, s.Last)
		// Demand for a single key beyond the highest capacity cannot be served by
		// any owner, so it does not count towards the mean.
		demand += d - load.excessDemand(maxCapacity, s.First, s.Last)
		p.pieces = append(p.pieces, piece{first: s.First, last: s.Last, owner: s.Owner, demand: d, fixed: len(s.FormerOwners) > 0 || !s.Ready})
		if o := p.owners[s.Owner]; o != nil {
			o.demand += d
			o.pieceCount++
			if last := len(p.pieces) - 1; !p.pieces[last].fixed {
				o.movable = append(o.movable, last)
			}
		}
	}
	if capacity > 0 {
		p.meanUtilisation = demand / capacity
	}
	p.buildRankings()
	return p
}

// buildRankings builds the rankings and counts the owners without keys.
func (p *plan) buildRankings() {
	p.hottest = ranking{ownerHeap{
		index: func(s *ownerState) *int { return &s.hottestIndex },
		before: func(a, b *ownerState) bool {
			ua, ub := a.utilisation(), b.utilisation()
			return ua > ub || ua == ub && a.ID < b.ID
		},
	}}
	p.coldest = ranking{ownerHeap{
		index: func(s *ownerState) *int { return &s.coldestIndex },
		before: func(a, b *ownerState) bool {
			ua, ub := a.utilisation(), b.utilisation()
			return ua < ub || ua == ub && a.ID < b.ID
		},
	}}
	for _, o := range p.owners {
		p.coldest.add(o)
		if len(o.movable) > 0 {
			p.hottest.add(o)
		}
		if o.pieceCount == 0 {
			p.emptyOwners++
		}
	}
}

// reassignOrphans gives the pieces whose owner is lost or without capacity to other
// owners, the busiest first. A piece with more demand than one owner should get is
// split.
func (p *plan) reassignOrphans() {
	orphans := p.piecesByDemand(func(c *piece) bool { return p.owners[c.owner] == nil })
	for _, i := range orphans {
		p.spread(p.pieces[i])
	}
}

// spread divides a piece without a usable owner among the least utilised owners. An
// owner gets all of the rest if that exceeds its room by at most 30 %, which saves a
// split.
func (p *plan) spread(rest piece) {
	for {
		to := p.coldest.first(nil)
		room := fillLevel*p.meanUtilisation*to.Capacity - to.demand
		cut, ok := p.prefix(rest, max(room, minMoveDemand), minMoveDemand)
		if !ok || rest.demand <= max(room, minMoveDemand)*1.3 {
			p.addMove(rest.first, rest.last, rest.demand, nil, to)
			return
		}
		p.addMove(rest.first, cut.last, cut.demand, nil, to)
		rest.first, rest.demand = cut.last+1, rest.demand-cut.demand
	}
}

// piecesByDemand returns the indexes of the pieces that match, the busiest first.
func (p *plan) piecesByDemand(match func(*piece) bool) []int {
	var found []int
	for i := range p.pieces {
		if match(&p.pieces[i]) {
			found = append(found, i)
		}
	}
	p.sortByDemand(found)
	return found
}

// movableOf returns the indexes of the pieces that an owner may give away, the
// busiest first.
func (p *plan) movableOf(o *ownerState) []int {
	found := slices.Clone(o.movable)
	p.sortByDemand(found)
	return found
}

func (p *plan) sortByDemand(indexes []int) {
	sort.SliceStable(indexes, func(a, b int) bool { return p.pieces[indexes[a]].demand > p.pieces[indexes[b]].demand })
}

// prefix returns the longest proper prefix of a piece with at most the given
// demand; false if it is empty or its demand is below the given minimum.
func (p *plan) prefix(source piece, demand, minDemand float64) (piece, bool) {
	stop, sum := p.accumulate(int(source.first), int(source.last), 1, demand)
	return piece{first: source.first, last: uint16(stop - 1), demand: sum}, stop > int(source.first) && sum >= minDemand
}

// accumulate walks the keys from one towards another, exclusive, for as long as their
// total demand is at most limit. It returns the key at which it stopped, which is
// not included, and the total demand.
func (p *plan) accumulate(from, to, step int, limit float64) (stop int, sum float64) {
	for stop = from; stop != to; stop += step {
		d := float64(p.load.keys[stop]) + idleKeyDemand
		if sum+d > limit {
			break
		}
		sum += d
	}
	return stop, sum
}

// addMove adds a move to the plan and updates both owners. from is nil if the keys
// had no usable owner.
func (p *plan) addMove(first, last uint16, demand float64, from, to *ownerState) {
	p.moves = append(p.moves, Move{First: first, Last: last, To: to.Life})
	if to.pieceCount == 0 {
		p.emptyOwners--
	}
	to.demand += demand
	to.pieceCount++
	p.updateRank(to)
	if from != nil {
		from.demand -= demand
		p.updateRank(from)
	}
}

// updateRank updates the ranks of an owner whose demand has changed.
func (p *plan) updateRank(o *ownerState) {
	p.hottest.update(o)
	p.coldest.update(o)
}
