package keyspace

import (
	"slices"
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// aimAt is the utilisation relative to the mean up to which a target is
	// filled by a move.
	aimAt = 1.02
	// minPart is the smallest demand worth a move, in seconds of work a second.
	minPart = 0.05
)

// Owner is a target that may own keys.
type Owner struct {
	fleet.Life
	// Capacity is the work that it does in a second, in seconds of work at the
	// usual speed. 0 means that it has to give up its keys.
	Capacity float64
}

// Move passes keys to another owner.
type Move struct {
	First, Last uint16
	To          fleet.Life
	// Joins is set if To holds all of the keys already and their slices become one.
	Joins bool
}

// Initial divides all keys by capacity.
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

// Plan returns the moves that give the keys of unusable owners to others,
// relieve the busiest, and give keys that no owner can bear to the fastest.
// Slices that are on the move stay as they are.
func Plan(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.owners) == 0 {
		return nil
	}
	p.rehome()
	p.balance()
	p.promote()
	return p.moves
}

// plan is the state of one planning.
type plan struct {
	load   *Load
	pieces []piece
	owners map[fleet.Life]*share
	moves  []Move
	mean   float64
	// empty counts the owners without keys.
	empty int
	// hottest ranks the owners that may be relieved, coldest all of them.
	hottest, coldest ranking
}

// piece is a part of a slice with its demand.
type piece struct {
	first, last uint16
	owner       fleet.Life
	demand      float64
	fixed       bool
}

// share is what one owner has.
type share struct {
	Owner
	demand float64
	pieces int
	// movable are the indexes of the pieces that the owner may give away.
	movable []int
	// hottest and coldest are the owner's places in the rankings.
	hottest, coldest int
}

func (s *share) utilisation() float64 { return s.demand / s.Capacity }

func newPlan(current []fleet.Slice, owners []Owner, load *Load) *plan {
	p := &plan{load: load, owners: map[fleet.Life]*share{}}
	capacity, demand, most := 0.0, 0.0, 0.0
	for _, o := range owners {
		if o.Capacity > 0 {
			p.owners[o.Life] = &share{Owner: o, hottest: -1, coldest: -1}
			capacity += o.Capacity
			most = max(most, o.Capacity)
		}
	}
	for _, s := range current {
		d := load.of(s.First, s.Last)
		// What nobody can serve of a single key burdens no other owner.
		demand += d - load.above(most, s.First, s.Last)
		p.pieces = append(p.pieces, piece{first: s.First, last: s.Last, owner: s.Owner, demand: d, fixed: len(s.From) > 0 || !s.Ready})
		if o := p.owners[s.Owner]; o != nil {
			o.demand += d
			o.pieces++
			if last := len(p.pieces) - 1; !p.pieces[last].fixed {
				o.movable = append(o.movable, last)
			}
		}
	}
	if capacity > 0 {
		p.mean = demand / capacity
	}
	p.rank()
	return p
}

// rank fills the rankings.
func (p *plan) rank() {
	p.hottest = ranking{order{
		place: func(s *share) *int { return &s.hottest },
		before: func(a, b *share) bool {
			ua, ub := a.utilisation(), b.utilisation()
			return ua > ub || ua == ub && a.ID < b.ID
		},
	}}
	p.coldest = ranking{order{
		place: func(s *share) *int { return &s.coldest },
		before: func(a, b *share) bool {
			ua, ub := a.utilisation(), b.utilisation()
			return ua < ub || ua == ub && a.ID < b.ID
		},
	}}
	for _, o := range p.owners {
		p.coldest.add(o)
		if len(o.movable) > 0 {
			p.hottest.add(o)
		}
		if o.pieces == 0 {
			p.empty++
		}
	}
}

// rehome gives the pieces of owners that are not usable to others, the busiest
// first, split where one piece is more than an owner should get.
func (p *plan) rehome() {
	orphans := p.byDemand(func(c *piece) bool { return p.owners[c.owner] == nil })
	for _, i := range orphans {
		p.spread(p.pieces[i])
	}
}

// spread divides an orphaned piece between the least busy owners.
func (p *plan) spread(rest piece) {
	for {
		to := p.coldest.first(nil)
		room := aimAt*p.mean*to.Capacity - to.demand
		cut, ok := p.prefix(rest, max(room, minPart), minPart)
		if !ok || rest.demand <= max(room, minPart)*1.3 {
			p.move(rest.first, rest.last, rest.demand, nil, to)
			return
		}
		p.move(rest.first, cut.last, cut.demand, nil, to)
		rest.first, rest.demand = cut.last+1, rest.demand-cut.demand
	}
}

// byDemand returns the indexes of some pieces, the busiest first.
func (p *plan) byDemand(of func(*piece) bool) []int {
	var found []int
	for i := range p.pieces {
		if of(&p.pieces[i]) {
			found = append(found, i)
		}
	}
	p.sortByDemand(found)
	return found
}

// movableOf returns the indexes of the pieces that an owner may give away, the
// busiest first.
func (p *plan) movableOf(o *share) []int {
	found := slices.Clone(o.movable)
	p.sortByDemand(found)
	return found
}

func (p *plan) sortByDemand(indexes []int) {
	sort.SliceStable(indexes, func(a, b int) bool { return p.pieces[indexes[a]].demand > p.pieces[indexes[b]].demand })
}

// prefix returns the longest proper beginning of a piece with at most the
// demand; false if that has less than the least demand worth a move.
func (p *plan) prefix(source piece, demand, least float64) (piece, bool) {
	stop, taken := p.longest(int(source.first), int(source.last), 1, demand)
	return piece{first: source.first, last: uint16(stop - 1), demand: taken}, stop > int(source.first) && taken >= least
}

// longest goes from a key towards another, which it leaves out, for as long as the
// demand of the keys is at most a limit. It returns where it stopped and the demand.
func (p *plan) longest(from, to, step int, limit float64) (stop int, taken float64) {
	for stop = from; stop != to; stop += step {
		d := float64(p.load.keys[stop]) + idleKey
		if taken+d > limit {
			break
		}
		taken += d
	}
	return stop, taken
}

// move adds a move to the plan.
func (p *plan) move(first, last uint16, demand float64, from, to *share) {
	p.moves = append(p.moves, Move{First: first, Last: last, To: to.Life})
	if to.pieces == 0 {
		p.empty--
	}
	to.demand += demand
	to.pieces++
	p.changed(to)
	if from != nil {
		from.demand -= demand
		p.changed(from)
	}
}

// changed ranks an owner anew whose demand has changed.
func (p *plan) changed(o *share) {
	p.hottest.changed(o)
	p.coldest.changed(o)
}
