package placement

import (
	"fmt"
	"math"
	"sort"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// priorShare is the share of the cell's load that is spread evenly over the key
// space on top of the measured loads, so that ranges without load are spread too.
const priorShare = 0.02

// minimumPrior is the prior load of a whole cell in requests per second.
const minimumPrior = 1.0

// node is a target with the load that it has once all planned moves are done.
type node struct {
	Target
	capacity float64
	load     float64
	// fair is the load in proportion to the capacity.
	fair   float64
	slices []SliceID
}

func (n *node) ratio() float64 {
	if n.fair == 0 {
		if n.load == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return n.load / n.fair
}

// balancer plans the moves of one round.
type balancer struct {
	*round
	// nodes are sorted by name.
	nodes []node
	// prior is the load per unit of width, widthUnit the width of the cell.
	prior    float64
	cellSize float64
	total    float64
	// mean is the mean fair load of the usable targets.
	mean               float64
	moving, evacuating int
}

// balance moves slices off leaving targets and from overloaded targets to
// others, and splits, isolates and merges slices to make that possible.
func (r *round) balance() {
	b := &balancer{round: r}
	b.measure()
	if b.mean == 0 {
		return
	}
	b.redirectMoves()
	b.evacuate()
	if r.Loads != nil {
		b.isolateHotKeys()
	}
	b.relieve()
	if r.Loads != nil {
		b.tidy()
	}
}

// measure computes loads and fair shares.
func (b *balancer) measure() {
	for i := range b.Cell.Targets {
		t := b.target(b.Cell.Targets[i].Target)
		b.nodes = append(b.nodes, node{Target: t, capacity: t.Capacity()})
	}
	b.cellSize = float64(b.Cell.Last-b.Cell.First) + 1
	measured := 0.0
	b.each(func(s *assignment.Slice) { measured += b.Loads.Slice(IDOf(s)) })
	b.prior = max(measured*priorShare, minimumPrior)
	b.total = measured + b.prior
	b.each(b.count)
	capacity, usable := 0.0, 0
	for i := range b.nodes {
		capacity += b.nodes[i].capacity
		if b.nodes[i].capacity > 0 {
			usable++
		}
	}
	if usable == 0 {
		return
	}
	for i := range b.nodes {
		b.nodes[i].fair = b.total * b.nodes[i].capacity / capacity
	}
	b.mean = b.total / float64(usable)
}

// count adds a slice to the node that owns it, or will after its move.
func (b *balancer) count(s *assignment.Slice) {
	owner := b.node(s.Owner)
	if s.Moving {
		if owner.Leaving {
			b.evacuating++
		} else {
			b.moving++
		}
		if destination := b.node(s.Next); destination != nil {
			destination.load += b.load(s)
			return
		}
	}
	owner.load += b.load(s)
	owner.slices = append(owner.slices, IDOf(s))
}

// each visits every slice of the cell.
func (b *balancer) each(visit func(*assignment.Slice)) {
	for i := range b.Cell.Slices {
		visit(&b.Cell.Slices[i])
	}
	for i := range b.Cell.HotKeys {
		visit(&b.Cell.HotKeys[i])
	}
}

// load returns the load of a slice with its part of the prior.
func (b *balancer) load(s *assignment.Slice) float64 {
	return b.Loads.Slice(IDOf(s)) + b.prior*b.width(s)
}

// width returns the share of the cell's key space that a slice covers; 0 for a
// hot key.
func (b *balancer) width(s *assignment.Slice) float64 {
	if s.Key != "" {
		return 0
	}
	return (float64(s.Last-s.First) + 1) / b.cellSize
}

func (b *balancer) node(name string) *node {
	i := sort.Search(len(b.nodes), func(i int) bool { return b.nodes[i].Name >= name })
	if i == len(b.nodes) || b.nodes[i].Name != name {
		return nil
	}
	return &b.nodes[i]
}

// lightest returns the usable node, other than one, with the lowest ratio after
// it has taken a load, or nil.
func (b *balancer) lightest(other string, load float64) *node {
	var best *node
	lowest := math.Inf(1)
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.Name == other || n.fair == 0 {
			continue
		}
		if ratio := (n.load + load) / n.fair; ratio < lowest {
			best, lowest = n, ratio
		}
	}
	return best
}

// move plans the move of a slice and shifts its load.
func (b *balancer) move(id SliceID, from, to *node, balancing bool, reason string) {
	slice := Lookup(b.Cell, id)
	load := b.load(slice)
	if err := StartMove(b.Cell, id, to.Name); err != nil {
		panic("placement: a move that was checked is refused: " + err.Error())
	}
	b.decide(Decision{Kind: DecideMove, Slice: id, From: slice.Owner, To: to.Name, Load: load, Balancing: balancing, Reason: reason})
	from.load -= load
	to.load += load
	for i := range from.slices {
		if from.slices[i] == id {
			from.slices = append(from.slices[:i], from.slices[i+1:]...)
			break
		}
	}
}

// redirectMoves gives planned moves whose destination is no longer usable
// another one. The former destination's fence stays unused.
func (b *balancer) redirectMoves() {
	b.each(func(s *assignment.Slice) {
		if !s.Moving || b.usable(s.Next) {
			return
		}
		load := b.load(s)
		to := b.lightest(s.Owner, load)
		if to == nil {
			return
		}
		if former := b.node(s.Next); former != nil {
			former.load -= load
		}
		from := s.Next
		reserve(s, to.Name)
		to.load += load
		b.decide(Decision{Kind: DecideMove, Slice: IDOf(s), From: s.Owner, To: to.Name, Load: load,
			Reason: fmt.Sprintf("the destination %s is no longer usable", from)})
	})
}

// evacuate moves slices off leaving targets. Nothing is moved off a lost
// target: its dispatcher passes its slices on.
func (b *balancer) evacuate() {
	for i := range b.nodes {
		from := &b.nodes[i]
		if !from.Leaving || from.Lost {
			continue
		}
		for _, id := range append([]SliceID(nil), from.slices...) {
			if b.evacuating >= b.Policy.MaxEvacuating {
				return
			}
			to := b.lightest(from.Name, b.load(Lookup(b.Cell, id)))
			if to == nil {
				return
			}
			b.evacuating++
			b.move(id, from, to, false, "the owner is leaving")
		}
	}
}

// relieve moves slices from overloaded nodes until they are within LowWater,
// the budget is spent, or no move helps.
func (b *balancer) relieve() {
	exhausted := map[string]bool{}
	splits := 0
	for b.moving < b.Policy.MaxMoving {
		from, to := b.heaviest(exhausted), b.lightest("", 0)
		if from == nil || to == nil || from == to || !b.overloaded(from, to) {
			return
		}
		if id, ok := b.bestMove(from, to); ok {
			slice := Lookup(b.Cell, id)
			b.Budget -= b.width(slice)
			b.moving++
			b.move(id, from, to, true, fmt.Sprintf("load %.1f of %.1f fair on the owner, %.1f of %.1f on the destination", from.load, from.fair, to.load, to.fair))
			continue
		}
		if splits < b.Policy.MaxShapes && b.splitHottest(from) {
			splits++
			continue
		}
		exhausted[from.Name] = true
	}
}

// heaviest returns the node with the highest ratio that may still be relieved.
func (b *balancer) heaviest(exhausted map[string]bool) *node {
	var best *node
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.fair == 0 || exhausted[n.Name] || n.bearsLoad() {
			continue
		}
		if best == nil || n.ratio() > best.ratio() {
			best = n
		}
	}
	return best
}

// overloaded reports whether a node should be relieved by another: it is well
// above its fair share, or the other one is well below its own, beyond noise.
// Relief goes on down to LowWater.
func (b *balancer) overloaded(from, to *node) bool {
	if from.ratio() <= b.Policy.LowWater {
		return false
	}
	high := from.ratio() > b.Policy.HighWater && b.significant(from.load-from.fair, from.load)
	idle := to.ratio() < b.Policy.IdleWater && b.significant(to.fair-to.load, to.fair)
	return high || idle
}

// significant reports whether a difference is more than noise of a load. A cell
// without load is balanced by the widths of its slices, which have no noise.
func (b *balancer) significant(difference, load float64) bool {
	return difference > 2*math.Sqrt(load/b.Policy.NoiseSeconds) || b.total <= b.prior+minimumPrior
}

// bestMove returns the slice whose move relieves most per key moved.
func (b *balancer) bestMove(from, to *node) (SliceID, bool) {
	var best SliceID
	highest := 0.0
	moveCost := 0.25 / float64(len(b.Cell.Slices))
	for _, id := range from.slices {
		slice := Lookup(b.Cell, id)
		if slice.Moving || b.Pinned[id] || b.width(slice) > b.Budget {
			continue
		}
		relief := b.relief(from, to, b.load(slice))
		if relief < b.Policy.MinRelief*b.mean {
			continue
		}
		if score := relief / (b.width(slice) + moveCost); score > highest {
			best, highest = id, score
		}
	}
	return best, highest > 0
}

// relief returns by how much a move lowers the load of the more loaded of two
// nodes, counted at the source.
func (b *balancer) relief(from, to *node, load float64) float64 {
	after := max((from.load-load)/from.fair, (to.load+load)/to.fair)
	return (from.ratio() - after) * from.fair
}

// isolateHotKeys gives keys with much load slices of their own where their
// owner is overloaded.
func (b *balancer) isolateHotKeys() {
	for _, key := range b.hotKeys() {
		if len(b.Cell.HotKeys) >= b.Policy.MaxHotKeys {
			return
		}
		slice := b.Cell.Find(key, assignment.HashKey(key))
		if slice == nil || slice.Key != "" || slice.Moving {
			continue
		}
		owner := b.node(slice.Owner)
		if owner.fair == 0 || owner.ratio() <= b.Policy.LowWater {
			continue
		}
		id, load := IDOf(slice), b.Loads.Key(key)
		if err := Isolate(b.Cell, key); err != nil {
			continue
		}
		b.Loads.isolate(id, key)
		owner.slices = append(owner.slices, SliceID{First: assignment.HashKey(key), Last: assignment.HashKey(key), Key: key})
		b.decide(Decision{Kind: DecideIsolate, Slice: SliceID{Key: key}, From: owner.Name, Load: load,
			Reason: fmt.Sprintf("the key has %.0f%% of a mean target's load", 100*load/b.mean)})
	}
}

// hotKeys returns the keys that qualify for a slice of their own, hottest first.
func (b *balancer) hotKeys() []string {
	var keys []string
	for key, load := range b.Loads.keys {
		if load >= b.Policy.IsolateShare*b.mean {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if x, y := b.Loads.keys[keys[i]], b.Loads.keys[keys[j]]; x != y {
			return x > y
		}
		return keys[i] < keys[j]
	})
	return keys
}

// splitHottest halves the range with the most load of a node.
func (b *balancer) splitHottest(n *node) bool {
	if len(b.Cell.Slices) >= b.Policy.MaxSlicesPerTarget*len(b.nodes) {
		return false
	}
	best, highest := -1, 2*b.Policy.MinRelief*b.mean
	for i, id := range n.slices {
		slice := Lookup(b.Cell, id)
		if slice.Key != "" || slice.Moving || b.Pinned[id] || slice.First == slice.Last {
			continue
		}
		if load := b.load(slice); load > highest {
			best, highest = i, load
		}
	}
	if best < 0 {
		return false
	}
	id := n.slices[best]
	last := id.First + (id.Last-id.First)/2
	if err := Split(b.Cell, id, last); err != nil {
		return false
	}
	b.Loads.split(id, last)
	n.slices[best] = SliceID{First: id.First, Last: last}
	n.slices = append(n.slices, SliceID{First: last + 1, Last: id.Last})
	b.decide(Decision{Kind: DecideSplit, Slice: id, From: n.Name, Load: highest, Reason: "no slice of the overloaded owner is small enough to move"})
	return true
}

// tidy returns hot keys that have cooled down to their ranges and merges cold
// neighbours of one owner.
func (b *balancer) tidy() {
	b.absorbCold()
	b.mergeCold()
}

// absorbCold returns hot keys that have cooled down to their ranges. Where the
// fences differ, and only when hot keys take up much of the cell's object, a
// range moves to another target together with its former hot keys.
func (b *balancer) absorbCold() {
	absorbed := 0
	apart := map[SliceID][]SliceID{}
	for _, hot := range append([]assignment.Slice(nil), b.Cell.HotKeys...) {
		id := IDOf(&hot)
		if hot.Moving || b.Pinned[id] || b.Loads.Slice(id) > b.Policy.AbsorbShare*b.mean {
			continue
		}
		around := b.Cell.Find("", hot.First)
		aroundID := IDOf(around)
		if around.Owner != hot.Owner || around.Fence != hot.Fence {
			apart[aroundID] = append(apart[aroundID], id)
			continue
		}
		if absorbed >= b.Policy.MaxShapes || Absorb(b.Cell, hot.Key) != nil {
			continue
		}
		absorbed++
		b.Loads.join(aroundID, id, aroundID)
		b.decide(Decision{Kind: DecideAbsorb, Slice: id, From: hot.Owner, Load: b.Loads.Slice(id), Reason: "the key has cooled down"})
	}
	if len(b.Cell.HotKeys) > b.Policy.MaxHotKeys/2 {
		b.gather(apart)
	}
}

// gather moves the range with the most former hot keys together with them.
func (b *balancer) gather(apart map[SliceID][]SliceID) {
	var best SliceID
	for id, keys := range apart {
		slice := Lookup(b.Cell, id)
		fits := !slice.Moving && !b.Pinned[id] && b.width(slice) <= b.Budget && b.moving+1+len(keys) <= b.Policy.MaxMoving
		more := len(keys) > len(apart[best]) || len(keys) == len(apart[best]) && id.First < best.First
		if fits && more {
			best = id
		}
	}
	keys := apart[best]
	if len(keys) == 0 {
		return
	}
	to := b.lightestBesides(append([]SliceID{best}, keys...))
	if to == nil || MoveTogether(b.Cell, best, keys, to.Name) != nil {
		return
	}
	b.Budget -= b.width(Lookup(b.Cell, best))
	for _, id := range append([]SliceID{best}, keys...) {
		slice := Lookup(b.Cell, id)
		load := b.load(slice)
		b.moving++
		b.node(slice.Owner).load -= load
		to.load += load
		b.decide(Decision{Kind: DecideMove, Slice: id, From: slice.Owner, To: to.Name, Load: load, Balancing: true,
			Reason: fmt.Sprintf("%d keys of the range have cooled down and return to it", len(keys))})
	}
}

// lightestBesides returns the usable node with the lowest ratio that owns none
// of the slices, or nil.
func (b *balancer) lightestBesides(ids []SliceID) *node {
	owners := map[string]bool{}
	for _, id := range ids {
		owners[Lookup(b.Cell, id).Owner] = true
	}
	var best *node
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.fair == 0 || owners[n.Name] {
			continue
		}
		if best == nil || n.ratio() < best.ratio() {
			best = n
		}
	}
	return best
}

func (b *balancer) mergeCold() {
	wanted := SlicesPerTarget * len(b.nodes) * 3 / 2
	merged := 0
	coldest := b.total / float64(len(b.Cell.Slices))
	for i := 0; i+1 < len(b.Cell.Slices) && merged < b.Policy.MaxShapes && len(b.Cell.Slices) > wanted; i++ {
		left, right := &b.Cell.Slices[i], &b.Cell.Slices[i+1]
		leftID, rightID := IDOf(left), IDOf(right)
		if b.load(left)+b.load(right) > coldest || b.Pinned[leftID] || b.Pinned[rightID] {
			continue
		}
		if Merge(b.Cell, leftID) != nil {
			continue
		}
		merged++
		joined := SliceID{First: leftID.First, Last: rightID.Last}
		b.Loads.join(leftID, rightID, joined)
		b.decide(Decision{Kind: DecideMerge, Slice: joined, From: b.Cell.Slices[i].Owner, Reason: "two cold neighbours have one owner"})
	}
}

// Imbalance returns the highest load per capacity of a usable target over the
// mean, by the present owners; 1 is perfect.
func Imbalance(cell *assignment.Cell, targets []Target, loads *Loads) float64 {
	sorted := sortedTargets(targets)
	load := make([]float64, len(sorted))
	total, capacity, highest := 0.0, 0.0, 0.0
	for _, slices := range [][]assignment.Slice{cell.Slices, cell.HotKeys} {
		for i := range slices {
			at := sort.Search(len(sorted), func(j int) bool { return sorted[j].Name >= slices[i].Owner })
			if at < len(sorted) && sorted[at].Name == slices[i].Owner {
				load[at] += loads.Slice(IDOf(&slices[i]))
			}
		}
	}
	for i := range sorted {
		if c := sorted[i].Capacity(); c > 0 {
			total += load[i]
			capacity += c
			highest = max(highest, load[i]/c)
		}
	}
	if total == 0 {
		return 1
	}
	return highest * capacity / total
}
