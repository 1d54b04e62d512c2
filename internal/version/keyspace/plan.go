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
	// maxMoves bounds the moves of one plan, so that a set of a hundred hot keys is
	// spread by three plans.
	maxMoves = 40
	// fasterBy is how much more an owner must be able to do than another to be
	// given a key that is more than either can bear; capacities are measured and
	// vary by a third.
	fasterBy = 1.6
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
// relieve the busiest, and give keys that no owner can bear to the fastest. Slices that are on the move stay as they are.
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
	capacity, demand, most := 0.0, 0.0, 0.0
	for _, o := range owners {
		if o.Capacity > 0 {
			p.owners[o.Life] = &share{Owner: o}
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
	orphans := p.byDemand(func(c *piece) bool { return p.owners[c.owner] == nil })
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

// balance relieves the busiest owners. One that cannot be relieved, such as the
// owner of a single hot key, does not keep the others from it.
func (p *plan) balance() {
	stuck := map[fleet.Life]bool{}
	for len(p.moves) < maxMoves {
		from := p.hottest(stuck)
		if from == nil {
			return
		}
		if to := p.coldest(from.Life); to == nil || !p.relieve(from, to) {
			stuck[from.Life] = true
		}
	}
}

// hottest returns the owner to relieve, or nil.
func (p *plan) hottest(stuck map[fleet.Life]bool) *share {
	var found *share
	for _, o := range p.owners {
		if !stuck[o.Life] && (found == nil || o.utilisation() > found.utilisation()) {
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

// promote gives keys that alone are more than their owner can bear to the owner
// that can do most. That one is relieved of its other keys by the next plan.
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

// fastest returns the owner with the highest capacity among those that have no
// key alone that is more than they can bear; nil if there is none.
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

// byDemand returns the indexes of some pieces, the busiest first.
func (p *plan) byDemand(of func(*piece) bool) []int {
	var found []int
	for i := range p.pieces {
		if of(&p.pieces[i]) {
			found = append(found, i)
		}
	}
	sort.SliceStable(found, func(a, b int) bool { return p.pieces[found[a]].demand > p.pieces[found[b]].demand })
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
	candidates := p.byDemand(func(c *piece) bool { return c.owner == from.Life && !c.fixed })
	if excess >= least {
		for _, i := range candidates {
			if p.cutFrom(i, excess, least, from, to) {
				return true
			}
		}
	}
	// The busiest keys may be more than what fits below the mean.
	for _, i := range candidates {
		cut, ok := p.shortest(p.pieces[i], even)
		if whole := cut.first == p.pieces[i].first && cut.last == p.pieces[i].last; ok && (!whole || from.pieces > 1) {
			p.cut(i, cut, from, to)
			return true
		}
	}
	return false
}

// shortest returns the shortest end of a piece that is worth a move; false if
// that has more than the demand.
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

// cutFrom moves the end of a piece that comes closest to the excess.
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

// cut moves an end of a piece, or all of it.
func (p *plan) cut(i int, end piece, from, to *share) {
	source := &p.pieces[i]
	p.move(end.first, end.last, end.demand, from, to)
	switch {
	case end.first == source.first && end.last == source.last:
		source.owner, source.fixed = to.Life, true
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
		if m.Joins {
			current = joinSlices(current, m, nextFence())
		} else {
			current = applyOne(current, m, nextFence())
		}
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
