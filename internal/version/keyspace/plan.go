package keyspace

import (
	"slices"
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

const (
	// imbalance is the utilisation relative to the mean above which a target
	// gives keys away.
	imbalance = 1.25
	// idleUtilisation is the utilisation below which imbalance does not matter.
	idleUtilisation = 0.25
	// aimAt is the utilisation relative to the mean up to which a target is
	// filled by a move.
	aimAt = 1.02
	// maxMoves bounds the moves of one plan.
	maxMoves = 16
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

// Plan returns the moves that give the keys of unusable owners to others and
// relieve the busiest. Slices that are on the move stay as they are.
func Plan(current []fleet.Slice, owners []Owner, load *Load) []Move {
	p := newPlan(current, owners, load)
	if len(p.owners) == 0 {
		return nil
	}
	p.rehome()
	p.balance()
	return p.moves
}

// plan is the state of one planning.
type plan struct {
	load   *Load
	pieces []piece
	owners map[fleet.Life]*share
	moves  []Move
	mean   float64
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
}

func (s *share) utilisation() float64 { return s.demand / s.Capacity }

func newPlan(current []fleet.Slice, owners []Owner, load *Load) *plan {
	p := &plan{load: load, owners: map[fleet.Life]*share{}}
	capacity, demand := 0.0, 0.0
	for _, o := range owners {
		if o.Capacity > 0 {
			p.owners[o.Life] = &share{Owner: o}
			capacity += o.Capacity
		}
	}
	for _, s := range current {
		d := load.of(s.First, s.Last)
		demand += d
		p.pieces = append(p.pieces, piece{first: s.First, last: s.Last, owner: s.Owner, demand: d, fixed: len(s.From) > 0 || !s.Ready})
		if o := p.owners[s.Owner]; o != nil {
			o.demand += d
			o.pieces++
		}
	}
	if capacity > 0 {
		p.mean = demand / capacity
	}
	return p
}

// rehome gives the pieces of owners that are not usable to others, the busiest
// first, split where one piece is more than an owner should get.
func (p *plan) rehome() {
	var orphans []int
	for i := range p.pieces {
		if p.owners[p.pieces[i].owner] == nil {
			orphans = append(orphans, i)
		}
	}
	sort.SliceStable(orphans, func(a, b int) bool { return p.pieces[orphans[a]].demand > p.pieces[orphans[b]].demand })
	for _, i := range orphans {
		p.spread(p.pieces[i])
	}
}

// spread divides an orphaned piece between the least busy owners.
func (p *plan) spread(rest piece) {
	for {
		to := p.coldest(fleet.Life{})
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

// balance relieves the busiest owners.
func (p *plan) balance() {
	for len(p.moves) < maxMoves {
		from := p.hottest()
		if from == nil {
			return
		}
		to := p.coldest(from.Life)
		if to == nil || !p.relieve(from, to) {
			return
		}
	}
}

// hottest returns the owner to relieve, or nil.
func (p *plan) hottest() *share {
	var found *share
	for _, o := range p.owners {
		if found == nil || o.utilisation() > found.utilisation() {
			found = o
		}
	}
	if found == nil || p.anyEmpty() {
		return found
	}
	if found.utilisation() < imbalance*p.mean || found.utilisation() < idleUtilisation {
		return nil
	}
	return found
}

// anyEmpty reports whether an owner has no keys yet.
func (p *plan) anyEmpty() bool {
	for _, o := range p.owners {
		if o.pieces == 0 {
			return true
		}
	}
	return false
}

// coldest returns the owner with the most room, other than one.
func (p *plan) coldest(other fleet.Life) *share {
	var found *share
	for _, o := range p.owners {
		if o.Life == other {
			continue
		}
		if found == nil || o.utilisation() < found.utilisation() ||
			o.utilisation() == found.utilisation() && o.ID < found.ID {
			found = o
		}
	}
	return found
}

// relieve moves keys from one owner to another and reports whether it could.
func (p *plan) relieve(from, to *share) bool {
	// Equal utilisation of the two is the most that a move may bring about.
	even := (from.demand*to.Capacity - to.demand*from.Capacity) / (from.Capacity + to.Capacity)
	excess := min(from.demand-p.mean*from.Capacity, max(aimAt*p.mean*to.Capacity-to.demand, 0))
	excess = min(max(excess, 0), even)
	least := minPart
	if to.pieces == 0 {
		// A target without keys serves nobody, however little there is to do.
		excess, least = max(excess, even/2), 0
	}
	if excess < least {
		return false
	}
	best := -1
	for i := range p.pieces {
		if p.pieces[i].owner != from.Life || p.pieces[i].fixed {
			continue
		}
		if best < 0 || p.pieces[i].demand > p.pieces[best].demand {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	return p.cutFrom(best, excess, least, from, to)
}

// cutFrom moves the end of a piece that comes closest to the excess.
func (p *plan) cutFrom(i int, excess, least float64, from, to *share) bool {
	source := &p.pieces[i]
	if source.demand <= excess*1.1 && from.pieces > 1 {
		source.fixed = true
		p.move(source.first, source.last, source.demand, from, to)
		source.owner = to.Life
		return true
	}
	head, headOK := p.prefix(*source, excess, least)
	tail, tailOK := p.suffix(*source, excess, least)
	cut, ok := head, headOK
	if tailOK && (!headOK || tail.demand > head.demand) {
		cut, ok = tail, true
	}
	if !ok {
		return false
	}
	moved := piece{first: cut.first, last: cut.last, owner: to.Life, demand: cut.demand, fixed: true}
	if cut.first == source.first {
		source.first = cut.last + 1
	} else {
		source.last = cut.first - 1
	}
	source.demand -= cut.demand
	p.pieces = append(p.pieces, moved)
	p.move(cut.first, cut.last, cut.demand, from, to)
	return true
}

func (p *plan) move(first, last uint16, demand float64, from, to *share) {
	p.moves = append(p.moves, Move{First: first, Last: last, To: to.Life})
	to.demand += demand
	to.pieces++
	if from != nil {
		from.demand -= demand
	}
}

// prefix returns the longest proper beginning of a piece with at most the
// demand; false if that has less than the least demand worth a move.
func (p *plan) prefix(source piece, demand, least float64) (piece, bool) {
	cut, keys := piece{first: source.first}, 0
	for key := int(source.first); key < int(source.last); key++ {
		d := float64(p.load.keys[key])
		if cut.demand+d > demand {
			break
		}
		cut.demand += d
		cut.last = uint16(key)
		keys++
	}
	return cut, keys > 0 && cut.demand >= least
}

// suffix is prefix from the other end.
func (p *plan) suffix(source piece, demand, least float64) (piece, bool) {
	cut, keys := piece{last: source.last}, 0
	for key := int(source.last); key > int(source.first); key-- {
		d := float64(p.load.keys[key])
		if cut.demand+d > demand {
			break
		}
		cut.demand += d
		cut.first = uint16(key)
		keys++
	}
	return cut, keys > 0 && cut.demand >= least
}

// Apply returns the slices after moves, each moved part at a fence of its own.
// nextFence returns a fence above every other.
func Apply(current []fleet.Slice, moves []Move, nextFence func() uint64) []fleet.Slice {
	for _, m := range moves {
		current = applyOne(current, m, nextFence())
	}
	return current
}

func applyOne(current []fleet.Slice, m Move, fence uint64) []fleet.Slice {
	var result []fleet.Slice
	placed := false
	for _, s := range current {
		if s.Last < m.First || s.First > m.Last {
			result = append(result, s)
			continue
		}
		if s.First < m.First {
			head := s
			head.Last = m.First - 1
			result = append(result, head)
		}
		part := s
		part.First, part.Last = max(s.First, m.First), min(s.Last, m.Last)
		part.From = withLife(s.From, s.Owner)
		part.Owner, part.Fence, part.Ready = m.To, fence, false
		result = append(result, part)
		placed = true
		if s.Last > m.Last {
			tail := s
			tail.First = m.Last + 1
			result = append(result, tail)
		}
	}
	if !placed {
		result = append(result, fleet.Slice{First: m.First, Last: m.Last, Owner: m.To, Fence: fence})
		sort.Slice(result, func(i, j int) bool { return result[i].First < result[j].First })
	}
	return result
}

// withLife returns a list with one more life, without repetition.
func withLife(lives []fleet.Life, life fleet.Life) []fleet.Life {
	result := append([]fleet.Life(nil), lives...)
	if slices.Contains(result, life) {
		return result
	}
	return append(result, life)
}
