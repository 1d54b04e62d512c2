package keyspace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
)

func owners(count int) []keyspace.Owner {
	var list []keyspace.Owner
	for i := range count {
		list = append(list, keyspace.Owner{Life: fleet.Life{ID: fmt.Sprintf("t%02d", i), Born: 1}, Capacity: 2})
	}
	return list
}

// cluster holds the slices of a service. Moves that are applied to it can be completed
// at once by settle.
type cluster struct {
	slices []fleet.Slice
	fence  uint64
}

func (w *cluster) apply(moves []keyspace.Move) {
	w.slices = keyspace.Apply(w.slices, moves, func() uint64 { w.fence++; return w.fence })
}

// settle completes all moves.
func (w *cluster) settle() {
	for i := range w.slices {
		w.slices[i].FormerOwners, w.slices[i].Ready = nil, true
	}
}

// checkOwners verifies that every key has exactly one owner.
func (w *cluster) checkOwners(t interface{ Fatalf(string, ...any) }) {
	next := 0
	for _, s := range w.slices {
		if int(s.First) != next || s.Last < s.First {
			t.Fatalf("slice %d..%d, but the next slice should begin at key %d", s.First, s.Last, next)
		}
		next = int(s.Last) + 1
	}
	if next != fleet.Keys {
		t.Fatalf("keys from %d on have no owner", next)
	}
}

// peakUtilisation returns the highest utilisation of an owner relative to the mean.
func (w *cluster) peakUtilisation(list []keyspace.Owner, demand func(key int) float64) float64 {
	total, highest := 0.0, 0.0
	by := map[fleet.Life]float64{}
	for _, s := range w.slices {
		for key := int(s.First); key <= int(s.Last); key++ {
			by[s.Owner] += demand(key)
			total += demand(key)
		}
	}
	capacity := 0.0
	for _, o := range list {
		capacity += o.Capacity
	}
	for _, o := range list {
		if o.Capacity > 0 {
			highest = max(highest, by[o.Life]/o.Capacity)
		}
	}
	return highest / (total / capacity)
}

// loadOf returns a load with the given demand for each key.
func loadOf(now time.Time, demand func(key int) float64) *keyspace.Load {
	load := keyspace.NewLoad(now)
	for key := range fleet.Keys {
		if d := demand(key); d > 0 {
			load.Add(uint16(key), d)
		}
	}
	return load
}

// planRounds plans and completes the moves count times, each fourth time by Tidy if that
// has any moves, and returns the number of moves.
func (w *cluster) planRounds(count int, list []keyspace.Owner, demand func(key int) float64) (moves int) {
	load := loadOf(time.Now(), demand)
	for i := range count {
		var plan []keyspace.Move
		if i%4 == 3 {
			plan = keyspace.Tidy(w.slices, list, load)
		}
		if len(plan) == 0 {
			plan = keyspace.Plan(w.slices, list, load)
		}
		moves += len(plan)
		w.apply(plan)
		w.settle()
	}
	return moves
}

// busySet returns a demand of each for sixty adjacent keys from first on, and of rest
// for every other key.
func busySet(first int, each, rest float64) func(key int) float64 {
	return func(key int) float64 {
		if key >= first && key < first+60 {
			return each
		}
		return rest
	}
}

// withHotKey returns the demand of others with that of the key hot replaced.
func withHotKey(hot int, demand float64, others func(key int) float64) func(key int) float64 {
	return func(key int) float64 {
		if key == hot {
			return demand
		}
		return others(key)
	}
}

func even(int) float64 { return 14.0 / fleet.Keys }

// hotSet is a demand of which two fifths fall on 200 adjacent keys.
func hotSet(key int) float64 {
	if key >= 5000 && key < 5200 {
		return 0.6*14.0/fleet.Keys + 0.4*14.0/200
	}
	return 0.6 * 14.0 / fleet.Keys
}

// TestHotSetIsSpread checks that a hot set that appears on one owner is spread within
// two plans, which is half a second.
func TestHotSetIsSpread(t *testing.T) {
	list := owners(14)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	before := w.peakUtilisation(list, hotSet)
	w.planRounds(2, list, hotSet)
	w.checkOwners(t)
	after := w.peakUtilisation(list, hotSet)
	assert.Assert(t, before > 4 && after < 1.5, "before %f, after %f of the mean", before, after)
}

// TestEvenLoadStays checks that no keys move under an even load.
func TestEvenLoadStays(t *testing.T) {
	list := owners(14)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	assert.Equal(t, w.planRounds(3, list, even), 0)
}

// TestSingleHotKeyStaysAlone checks that a key whose demand exceeds the capacity of any
// owner is not passed around: moves come to an end once the other keys of its owner
// have gone elsewhere.
func TestSingleHotKeyStaysAlone(t *testing.T) {
	list := owners(8)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	demand := func(key int) float64 {
		if key == 700 {
			return 4
		}
		return 4.0 / fleet.Keys
	}
	w.planRounds(6, list, demand)
	moved := w.planRounds(6, list, demand)
	assert.Assert(t, moved <= 2, "%d more moves after six plans", moved)
}

// sharedWith returns the demand for the other keys of the owner of a key, and the highest
// utilisation among the other owners.
func (w *cluster) sharedWith(key uint16, list []keyspace.Owner, demand func(key int) float64) (shared, highest float64) {
	by := map[fleet.Life]float64{}
	for _, s := range w.slices {
		for k := int(s.First); k <= int(s.Last); k++ {
			by[s.Owner] += demand(k)
		}
	}
	holder := fleet.Find(w.slices, key).Owner
	for _, o := range list {
		if o.Life != holder {
			highest = max(highest, by[o.Life]/o.Capacity)
		}
	}
	return by[holder] - demand(int(key)), highest
}

// TestHotKeyHoldsUpNobody checks that a key whose demand exceeds the capacity of ten
// owners does not keep a hot set elsewhere from being spread within a second, and that
// the other keys of its owner go to other owners.
func TestHotKeyHoldsUpNobody(t *testing.T) {
	const hot = 5010
	list := owners(40)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	demand := func(set int) func(int) float64 { return withHotKey(hot, 24, busySet(set, 0.5, 10.0/fleet.Keys)) }
	for _, set := range []int{5000, 30000, 5020} {
		w.planRounds(4, list, demand(set))
		w.checkOwners(t)
		shared, highest := w.sharedWith(hot, list, demand(set))
		assert.Check(t, highest <= 0.75, "set at %d: an owner is utilised at %f of its capacity, the mean is 0.5", set, highest)
		assert.Check(t, shared < 0.2, "set at %d: the owner of the hot key has demand of %f for other keys", set, shared)
	}
}

// TestHotKeyGoesToTheFastest checks that a key whose demand exceeds its owner's capacity
// is moved to the owner with the highest capacity.
func TestHotKeyGoesToTheFastest(t *testing.T) {
	const hot = 700
	list := owners(8)
	list[5].Capacity = 4
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	demand := withHotKey(hot, 9, func(int) float64 { return 3.0 / fleet.Keys })
	w.planRounds(4, list, demand)
	w.checkOwners(t)
	assert.Equal(t, fleet.Find(w.slices, hot).Owner, list[5].Life)
	moved := w.planRounds(6, list, demand)
	assert.Assert(t, moved <= 2, "%d more moves after four plans", moved)
}

// TestColdSlicesAreJoined checks that a hot set that moves around for a long time leaves
// only a few slices per owner behind, and that no keys move once the load is even.
func TestColdSlicesAreJoined(t *testing.T) {
	list := owners(14)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	most := 0
	for i := range 60 {
		w.planRounds(20, list, busySet(i*7919%65000, 0.2, 2.0/fleet.Keys))
		w.checkOwners(t)
		most = max(most, len(w.slices))
	}
	assert.Check(t, most <= 14*12, "%d slices", most)
	w.planRounds(120, list, even)
	assert.Check(t, len(w.slices) <= 2*14, "%d slices after a time of even load", len(w.slices))
	assert.Equal(t, w.planRounds(10, list, even), 0)
}

// TestJoinedSlicesAreHeldByOneOwner checks that slices are not joined if, since the
// plan, one of them has got another owner or begun to move.
func TestJoinedSlicesAreHeldByOneOwner(t *testing.T) {
	a, b := fleet.Life{ID: "a"}, fleet.Life{ID: "b"}
	join := keyspace.Move{First: 0, Last: 99, To: a, Joins: true}
	two := func(second fleet.Slice) []fleet.Slice {
		second.First, second.Last = 50, 99
		return []fleet.Slice{{First: 0, Last: 49, Owner: a, Fence: 3, Ready: true}, second, {First: 100, Last: 65535, Owner: b, Fence: 1, Ready: true}}
	}
	joined := keyspace.Apply(two(fleet.Slice{Owner: a, Fence: 4, Ready: true}), []keyspace.Move{join}, func() uint64 { return 9 })
	assert.Equal(t, len(joined), 2)
	assert.DeepEqual(t, joined[0], fleet.Slice{First: 0, Last: 99, Owner: a, Fence: 9, Ready: true})
	for _, second := range []fleet.Slice{
		{Owner: b, Fence: 4, Ready: true},
		{Owner: a, Fence: 4, FormerOwners: []fleet.Life{b}},
		{Owner: a, Fence: 4},
	} {
		current := two(second)
		assert.DeepEqual(t, keyspace.Apply(current, []keyspace.Move{join}, func() uint64 { return 9 }), current)
	}
}

// TestLeavingOwnerIsEmptied checks that one plan spreads all keys of an owner without
// capacity over the others.
func TestLeavingOwnerIsEmptied(t *testing.T) {
	list := owners(8)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	list[3].Capacity = 0
	w.planRounds(1, list, even)
	w.checkOwners(t)
	for _, s := range w.slices {
		assert.Assert(t, s.Owner != list[3].Life)
	}
	assert.Assert(t, w.peakUtilisation(list, even) < 1.5, "%f", w.peakUtilisation(list, even))
}

// TestEmptyOwnerGetsKeys checks that an owner that joins gets keys even if the load is
// low.
func TestEmptyOwnerGetsKeys(t *testing.T) {
	list := owners(4)
	w := &cluster{}
	w.apply(keyspace.Initial(list))
	w.settle()
	list = append(list, keyspace.Owner{Life: fleet.Life{ID: "new", Born: 1}, Capacity: 2})
	w.planRounds(2, list, func(int) float64 { return 1.0 / fleet.Keys })
	w.checkOwners(t)
	found := false
	for _, s := range w.slices {
		found = found || s.Owner.ID == "new"
	}
	assert.Assert(t, found)
}

// TestFormerOwnersAreKept checks that former owners stay listed until they are known to
// hold nothing: a slice that moves again before its move has ended lists both.
func TestFormerOwnersAreKept(t *testing.T) {
	a, b, c := fleet.Life{ID: "a"}, fleet.Life{ID: "b"}, fleet.Life{ID: "c"}
	w := &cluster{slices: []fleet.Slice{{First: 0, Last: 65535, Owner: a, Fence: 1, Ready: true}}, fence: 1}
	w.apply([]keyspace.Move{{First: 0, Last: 99, To: b}})
	w.apply([]keyspace.Move{{First: 0, Last: 49, To: c}})
	w.checkOwners(t)
	assert.DeepEqual(t, w.slices[0].FormerOwners, []fleet.Life{a, b})
	assert.DeepEqual(t, w.slices[1].FormerOwners, []fleet.Life{a})
	assert.Equal(t, w.slices[2].Fence, uint64(1))
	assert.Assert(t, w.slices[0].Fence > w.slices[1].Fence && !w.slices[0].Ready)
}

// TestPlansKeepOneOwner checks that each key has exactly one owner after any sequence of
// changes of capacity and demand, and that the fence of a key rises whenever its owner
// changes.
func TestPlansKeepOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := owners(rapid.IntRange(1, 9).Draw(t, "owners"))
		w := &cluster{}
		w.apply(keyspace.Initial(list))
		w.settle()
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			for i := range list {
				list[i].Capacity = rapid.SampledFrom([]float64{0, 0.1, 1, 2, 4}).Draw(t, "capacity")
			}
			centre := rapid.IntRange(0, fleet.Keys-1).Draw(t, "centre")
			before := append([]fleet.Slice(nil), w.slices...)
			w.planRounds(1, list, func(key int) float64 {
				if key >= centre && key < centre+50 {
					return 0.2
				}
				return 1.0 / fleet.Keys
			})
			w.checkOwners(t)
			for _, s := range w.slices {
				old := fleet.Find(before, s.First)
				if old.Owner != s.Owner && s.Fence <= old.Fence {
					t.Fatalf("key %d moved at fence %d after %d", s.First, s.Fence, old.Fence)
				}
			}
		}
	})
}

// TestOwnerThatKeepsItsKeysReleasesNothing checks that an owner that gets its slice at a
// new fence is not listed as a former owner; those that still have to release the slice
// remain listed.
func TestOwnerThatKeepsItsKeysReleasesNothing(t *testing.T) {
	owner, former := fleet.Life{ID: "a", Born: 1}, fleet.Life{ID: "b", Born: 1}
	list := []fleet.Slice{
		{First: 0, Last: 9, Owner: owner, Fence: 3, Ready: true},
		{First: 10, Last: fleet.Keys - 1, Owner: owner, Fence: 4, FormerOwners: []fleet.Life{former}},
	}
	fence := uint64(4)
	again := keyspace.Apply(list, []keyspace.Move{{First: 0, Last: 9, To: owner}, {First: 10, Last: fleet.Keys - 1, To: owner}},
		func() uint64 { fence++; return fence })
	assert.DeepEqual(t, again, []fleet.Slice{
		{First: 0, Last: 9, Owner: owner, Fence: 5},
		{First: 10, Last: fleet.Keys - 1, Owner: owner, Fence: 6, FormerOwners: []fleet.Life{former}},
	})
	taken := keyspace.Apply(again, []keyspace.Move{{First: 0, Last: 9, To: former}}, func() uint64 { fence++; return fence })
	assert.DeepEqual(t, taken[0].FormerOwners, []fleet.Life{owner})
}

// TestGivingEverythingAnewIsQuick checks that the time for assigning all slices at new
// fences, as a leader does that does not know whether the owners still hold their
// slices, does not grow with the square of their number. The bound is on the ratio of
// two measurements, each the best of five.
func TestGivingEverythingAnewIsQuick(t *testing.T) {
	took := func(count int) time.Duration {
		var list []fleet.Slice
		var moves []keyspace.Move
		width := fleet.Keys / count
		for i := range count {
			owner := fleet.Life{ID: fmt.Sprint("t", i), Born: 1}
			list = append(list, fleet.Slice{First: uint16(i * width), Last: uint16((i+1)*width - 1), Owner: owner, Fence: uint64(i)})
			moves = append(moves, keyspace.Move{First: uint16(i * width), Last: uint16((i+1)*width - 1), To: owner})
		}
		best := time.Hour
		for range 5 {
			fence := uint64(count)
			began := time.Now()
			again := keyspace.Apply(list, moves, func() uint64 { fence++; return fence })
			best = min(best, time.Since(began))
			assert.Equal(t, again[count-1].Fence, uint64(2*count))
			assert.Equal(t, list[count-1].Fence, uint64(count-1), "Apply must not change its argument")
		}
		return best
	}
	few, many := took(300), took(3000)
	assert.Assert(t, many < 40*few, "%v for 3,000 slices, %v for 300", many, few)
}
