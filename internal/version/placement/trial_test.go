package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"gotest.tools/v3/assert"
)

// demand is the expected load of every key in requests per second.
type demand struct {
	keys  []string
	rates []float64
}

// zipf returns a demand of a total rate whose keys follow Zipf's law.
func zipf(prefix string, keys int, exponent, total float64) *demand {
	d := &demand{keys: make([]string, keys), rates: make([]float64, keys)}
	sum := 0.0
	for i := range keys {
		d.keys[i] = fmt.Sprintf("%s-%d", prefix, i)
		d.rates[i] = math.Pow(float64(i+1), -exponent)
		sum += d.rates[i]
	}
	for i := range d.rates {
		d.rates[i] *= total / sum
	}
	return d
}

func (d *demand) total() float64 {
	sum := 0.0
	for _, rate := range d.rates {
		sum += rate
	}
	return sum
}

// trial runs a cell second by second: demand, measurement with noise, a round,
// and moves that complete a second later.
type trial struct {
	cell    *assignment.Cell
	targets []Target
	vms     []VM
	policy  Policy
	loads   *Loads
	random  *rand.Rand
	budget  float64
	moved   map[SliceID]int
	second  int
	hot     map[string]bool
	// keysMoved and moves count what changed its owner.
	keysMoved, moves int
	// versions counts the versions of the record.
	versions int
	// ratios holds max over mean load per capacity, by second.
	ratios []float64
}

func newTrial(t testing.TB, targets []Target, vms []VM) *trial {
	cell, err := Initial(InitialSpec{Service: "s", Cells: 1, Targets: targets, VMs: vms})
	assert.NilError(t, err)
	return &trial{cell: cell, targets: sortedTargets(targets), vms: vms, policy: DefaultPolicy(), loads: NewLoads(),
		random: seed.Rand(1), moved: map[SliceID]int{}, hot: map[string]bool{}}
}

// topKeysPerTarget is the number of keys that a dispatcher reports per target.
const topKeysPerTarget = 16

// observe measures the demand as dispatchers report it.
func (tr *trial) observe(d *demand) {
	const smoothing = 0.18 // One second of a time constant of five.
	rates := map[SliceID]float64{}
	byTarget := map[string][]int{}
	load := map[string]float64{}
	for i, key := range d.keys {
		slice := tr.cell.Find(key, assignment.HashKey(key))
		rates[IDOf(slice)] += d.rates[i]
		load[slice.Owner] += d.rates[i]
		if slice.Key == "" && d.rates[i] > 0.5 {
			byTarget[slice.Owner] = append(byTarget[slice.Owner], i)
		}
	}
	for _, slices := range [][]assignment.Slice{tr.cell.Slices, tr.cell.HotKeys} {
		for i := range slices {
			id := IDOf(&slices[i])
			old := tr.loads.Slice(id)
			tr.loads.SetSlice(id, old+(tr.noisy(rates[id])-old)*smoothing)
		}
	}
	for key := range tr.hot {
		tr.loads.SetKey(key, 0)
	}
	tr.hot = map[string]bool{}
	for _, indexes := range byTarget {
		sort.Slice(indexes, func(a, b int) bool { return d.rates[indexes[a]] > d.rates[indexes[b]] })
		for _, i := range indexes[:min(len(indexes), topKeysPerTarget)] {
			tr.loads.SetKey(d.keys[i], d.rates[i])
			tr.hot[d.keys[i]] = true
		}
	}
	tr.ratios = append(tr.ratios, maxOverMean(tr.targets, load))
}

// noisy returns a Poisson-like sample of a rate over a second.
func (tr *trial) noisy(rate float64) float64 {
	return max(0, rate+math.Sqrt(rate)*tr.random.NormFloat64())
}

// maxOverMean returns the highest load per capacity over the mean one.
func maxOverMean(targets []Target, load map[string]float64) float64 {
	total, capacity, highest := 0.0, 0.0, 0.0
	for i := range targets {
		if c := targets[i].Capacity(); c > 0 {
			total += load[targets[i].Name]
			capacity += c
			highest = max(highest, load[targets[i].Name]/c)
		}
	}
	return highest * capacity / total
}

// step runs one second.
func (tr *trial) step(d *demand) RoundResult {
	tr.observe(d)
	tr.budget = min(tr.policy.ChurnPerMinute/6, tr.budget+tr.policy.ChurnPerMinute/60)
	pinned := map[SliceID]bool{}
	for id, at := range tr.moved {
		if tr.second-at < 10 {
			pinned[id] = true
		}
	}
	result := PlanRound(RoundInput{Cell: tr.cell, Targets: tr.targets, VMs: tr.vms, Loads: tr.loads,
		Policy: tr.policy, Budget: tr.budget, Pinned: pinned, Acceptances: tr.completed(d)})
	if result.Cell != nil {
		for _, decision := range result.Decisions {
			if decision.Kind == DecideMove && decision.Slice.Key == "" && decision.Balancing {
				tr.budget -= float64(decision.Slice.Last-decision.Slice.First) / math.Exp2(64)
			}
		}
		tr.cell = result.Cell
		tr.versions++
	}
	tr.second++
	return result
}

// completed accepts every planned move of the last round.
func (tr *trial) completed(d *demand) []Acceptance {
	var accepted []Acceptance
	for _, slices := range [][]assignment.Slice{tr.cell.Slices, tr.cell.HotKeys} {
		for i := range slices {
			if s := &slices[i]; s.Moving {
				for _, piece := range pieces(tr.cell, IDOf(s)) {
					accepted = append(accepted, Acceptance{Slice: piece, Owner: s.Owner, Fence: s.Fence, Next: s.Next, NextFence: s.NextFence})
				}
				tr.moves++
				tr.moved[IDOf(s)] = tr.second
			}
		}
	}
	if len(accepted) > 0 {
		for _, key := range d.keys {
			if tr.cell.Find(key, assignment.HashKey(key)).Moving {
				tr.keysMoved++
			}
		}
	}
	return accepted
}

// mean returns the arithmetic mean.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// consistentHash places targets on a ring with virtual nodes, the plain baseline.
type consistentHash struct {
	points []ringPoint
}

type ringPoint struct {
	hash   uint64
	target string
}

func newConsistentHash(targets []Target) *consistentHash {
	c := &consistentHash{}
	for i := range targets {
		for replica := range 100 {
			c.points = append(c.points, ringPoint{assignment.HashKey(fmt.Sprintf("%s#%d", targets[i].Name, replica)), targets[i].Name})
		}
	}
	sort.Slice(c.points, func(a, b int) bool { return c.points[a].hash < c.points[b].hash })
	return c
}

func (c *consistentHash) owner(hash uint64) string {
	i := sort.Search(len(c.points), func(i int) bool { return c.points[i].hash >= hash })
	return c.points[i%len(c.points)].target
}

// baselines returns max over mean with consistent hashing and with the first
// assignment left as it is.
func baselines(d *demand, targets []Target, first *assignment.Cell) (hashed, still float64) {
	ring := newConsistentHash(targets)
	byRing, byFirst := map[string]float64{}, map[string]float64{}
	for i, key := range d.keys {
		hash := assignment.HashKey(key)
		byRing[ring.owner(hash)] += d.rates[i]
		byFirst[first.Find(key, hash).Owner] += d.rates[i]
	}
	return maxOverMean(targets, byRing), maxOverMean(targets, byFirst)
}

// lowerBound is the best imbalance that whole keys allow.
func lowerBound(d *demand, targets []Target) float64 {
	highest := 0.0
	for _, rate := range d.rates {
		highest = max(highest, rate)
	}
	return max(1, highest/(d.total()/float64(len(targets))))
}

// Sizes of the trials: the Division's availability board with some headroom.
const (
	trialKeys     = 20000
	trialRate     = 4000.0
	trialExponent = 0.8
)

func TestBalanceUnderZipfSkew(t *testing.T) {
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	hashed, still := baselines(d, targets, tr.cell)
	for range 300 {
		tr.step(d)
	}
	after := tr.ratios[120:]
	t.Logf("max/mean: consistent hashing %.2f, no rebalancing %.2f, rebalancing %.2f (bound of whole keys %.2f); %d moves, %.0f keys a minute in 5 minutes, %d slices, %d hot keys",
		hashed, still, mean(after), lowerBound(d, targets), tr.moves, float64(tr.keysMoved)/5, len(tr.cell.Slices), len(tr.cell.HotKeys))
	assert.Assert(t, mean(after) < 1.2 && mean(after) < hashed && mean(after) < still)
	quiet := tr.moves
	for range 300 {
		tr.step(d)
	}
	t.Logf("%d moves in the 5 minutes after", tr.moves-quiet)
	assert.Assert(t, tr.moves-quiet <= 20, "%d moves under constant demand", tr.moves-quiet)
}

// TestBalanceAfterHotKeysChange changes the 86 hottest keys within 2 minutes.
func TestBalanceAfterHotKeysChange(t *testing.T) {
	const changing = 86
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	first := tr.cell
	for range 180 {
		tr.step(d)
	}
	keysBefore, movesBefore := tr.keysMoved, tr.moves
	for second := range 300 {
		for i := range changing {
			if at := i * 120 / changing; at == second {
				cold := changing + 1 + i*100
				d.rates[i], d.rates[cold] = d.rates[cold], d.rates[i]
			}
		}
		tr.step(d)
	}
	hashed, still := baselines(d, targets, first)
	during, after := tr.ratios[180:300], tr.ratios[330:]
	t.Logf("max/mean: consistent hashing %.2f, no rebalancing %.2f, rebalancing %.2f during the change (highest %.2f) and %.2f after it; %.0f moves and %.0f keys a minute, %d hot keys",
		hashed, still, mean(during), highest(during), mean(after), float64(tr.moves-movesBefore)/5, float64(tr.keysMoved-keysBefore)/5, len(tr.cell.HotKeys))
	assert.Assert(t, mean(after) < 1.2 && mean(after) < hashed && mean(after) < still)
}

func highest(values []float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most
}

// TestBalanceAfterTheKeySetIsReplaced moves the whole demand to new keys with
// other volumes within ten minutes.
func TestBalanceAfterTheKeySetIsReplaced(t *testing.T) {
	targets := testTargets(20, 4, 4)
	before, after := zipf("k", trialKeys, trialExponent, trialRate), zipf("merged", trialKeys, 0.9, trialRate*1.2)
	both := &demand{keys: append(append([]string(nil), before.keys...), after.keys...), rates: make([]float64, 2*trialKeys)}
	tr := newTrial(t, targets, testVMs(24, 4))
	first := tr.cell
	const replacement = 600
	for second := range 180 + replacement + 300 {
		share := min(1, max(0, float64(second-180)/replacement))
		for i := range trialKeys {
			both.rates[i], both.rates[trialKeys+i] = before.rates[i]*(1-share), after.rates[i]*share
		}
		tr.step(both)
	}
	hashed, still := baselines(after, targets, first)
	during, settled := tr.ratios[180:180+replacement], tr.ratios[180+replacement+60:]
	t.Logf("max/mean: consistent hashing %.2f, no rebalancing %.2f, rebalancing %.2f during the replacement (highest %.2f) and %.2f after it (bound of whole keys %.2f); %.0f moves and %.0f keys a minute, %d slices, %d hot keys",
		hashed, still, mean(during), highest(during), mean(settled), lowerBound(after, targets), float64(tr.moves)/18, float64(tr.keysMoved)/18, len(tr.cell.Slices), len(tr.cell.HotKeys))
	assert.Assert(t, mean(settled) < max(1.2, 1.1*lowerBound(after, targets)) && mean(settled) < hashed && mean(settled) < still)
}

// TestHotKeysStayBounded changes 86 hot keys every two minutes for an hour.
func TestHotKeysStayBounded(t *testing.T) {
	const changing = 86
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	random := seed.Rand(2)
	most, mostSlices := 0, 0
	for second := range 3600 {
		if second%120*changing/120 != (second+1)%120*changing/120 {
			i, cold := random.IntN(changing), changing+random.IntN(trialKeys-changing)
			d.keys[i], d.keys[cold] = d.keys[cold], d.keys[i]
		}
		tr.step(d)
		most, mostSlices = max(most, len(tr.cell.HotKeys)), max(mostSlices, len(tr.cell.Slices))
	}
	value, err := tr.cell.Encode()
	assert.NilError(t, err)
	t.Logf("max/mean %.2f (highest %.2f); %.1f moves and %.0f keys a minute; at most %d hot keys and %d slices; the object has %d bytes, %.1f versions a minute",
		mean(tr.ratios[120:]), highest(tr.ratios[120:]), float64(tr.moves)/60, float64(tr.keysMoved)/60, most, mostSlices, len(value), float64(tr.versions)/60)
	assert.Assert(t, most <= tr.policy.MaxHotKeys && mean(tr.ratios[120:]) < 1.2)
	assert.Assert(t, mostSlices <= tr.policy.MaxSlicesPerTarget*len(targets))
}

// loadOf returns the load of every target.
func (tr *trial) loadOf(d *demand) map[string]float64 {
	load := map[string]float64{}
	for i, key := range d.keys {
		load[tr.cell.Find(key, assignment.HashKey(key)).Owner] += d.rates[i]
	}
	return load
}

// TestAStragglerIsRelievedInProportionToItsSpeed halves the speed of a target
// for five minutes.
func TestAStragglerIsRelievedInProportionToItsSpeed(t *testing.T) {
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	for range 180 {
		tr.step(d)
	}
	tr.targets[7].Speed = 0.5
	before, relieved := tr.moves, -1
	for second := range 300 {
		tr.step(d)
		if load := tr.loadOf(d)["t-0007"]; relieved < 0 && load < 1.2*0.5*trialRate/19.5 {
			relieved = second
		}
	}
	slowMoves, share := tr.moves-before, tr.loadOf(d)["t-0007"]/(trialRate/20)
	tr.targets[7].Speed = 0
	for range 300 {
		tr.step(d)
	}
	t.Logf("relieved after %d s; load %.2f of the mean at half speed, %.2f after its return; %d moves, then %d",
		relieved, share, tr.loadOf(d)["t-0007"]/(trialRate/20), slowMoves, tr.moves-before-slowMoves)
	assert.Assert(t, relieved >= 0 && share < 0.62)
	assert.Assert(t, tr.loadOf(d)["t-0007"] > 0.75*trialRate/20)
	assert.Assert(t, slowMoves <= 25 && tr.moves-before <= 50)
}

// TestAShortColdSpellMovesNothing turns a target cold for three seconds, as a few
// slow answers do. While it is not short of slots, nothing has to move; when it
// is, it is relieved.
func TestAShortColdSpellMovesNothing(t *testing.T) {
	for _, spell := range []struct {
		busy  float64
		moves bool
	}{{0.25, false}, {0.95, true}} {
		targets, d := testTargets(9, 4, 3), zipf("k", 2000, 0, 200)
		tr := newTrial(t, targets, testVMs(6, 3))
		for range 180 {
			tr.step(d)
		}
		before := tr.keysMoved
		for range 3 {
			tr.targets[5].ColdLimit, tr.targets[5].Busy = 1, spell.busy
			tr.step(d)
		}
		tr.targets[5].ColdLimit = 0
		for range 30 {
			tr.step(d)
		}
		assert.Equal(t, tr.keysMoved > before, spell.moves, "%d keys moved with %.2f slots of one in use", tr.keysMoved-before, spell.busy)
	}
}

// TestAFailureDomainLeavesAndReturns takes a failure domain out and back in.
func TestAFailureDomainLeavesAndReturns(t *testing.T) {
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	for range 180 {
		tr.step(d)
	}
	tr.setLeaving("d1", true)
	emptied := -1
	for second := range 60 {
		tr.step(d)
		if owned := tr.loadInDomain(d, "d1"); owned == 0 && emptied < 0 {
			emptied = second
		}
	}
	absent := mean(tr.ratios[len(tr.ratios)-20:])
	tr.setLeaving("d1", false)
	mostPerRound := 0
	for range 300 {
		moves := tr.moves
		tr.step(d)
		mostPerRound = max(mostPerRound, tr.moves-moves)
	}
	returned := mean(tr.ratios[len(tr.ratios)-20:])
	t.Logf("emptied after %d rounds; max/mean %.2f while absent, %.2f five minutes after the return; at most %d moves a round on return", emptied, absent, returned, mostPerRound)
	assert.Assert(t, emptied >= 0 && emptied <= 2, "new work has to end within 3 s")
	assert.Assert(t, absent < 1.2 && returned < 1.2)
	assert.Assert(t, mostPerRound <= tr.policy.MaxMoving)
}

func (tr *trial) setLeaving(domain string, leaving bool) {
	for i := range tr.targets {
		if tr.targets[i].FailureDomain == domain {
			tr.targets[i].Leaving = leaving
		}
	}
}

func (tr *trial) loadInDomain(d *demand, domain string) float64 {
	sum := 0.0
	for target, load := range tr.loadOf(d) {
		if findTarget(tr.targets, target).FailureDomain == domain {
			sum += load
		}
	}
	return sum
}

// TestTheLossOfAFailureDomainSpreadsEvenly lets every slice of a failure domain
// go to its next owner at once.
func TestTheLossOfAFailureDomainSpreadsEvenly(t *testing.T) {
	targets, d := testTargets(20, 4, 4), zipf("k", trialKeys, trialExponent, trialRate)
	tr := newTrial(t, targets, testVMs(24, 4))
	for range 300 {
		tr.step(d)
	}
	for lost := range 4 {
		domain := fmt.Sprint("d", lost)
		load := map[string]float64{}
		for i, key := range d.keys {
			slice := tr.cell.Find(key, assignment.HashKey(key))
			owner := slice.Owner
			if findTarget(targets, owner).FailureDomain == domain {
				owner = slice.Next
				assert.Assert(t, findTarget(targets, owner).FailureDomain != domain)
			}
			load[owner] += d.rates[i]
		}
		remaining := testTargets(20, 4, 4)
		for i := range remaining {
			remaining[i].Lost = remaining[i].FailureDomain == domain
		}
		ratio := maxOverMean(remaining, load)
		t.Logf("max/mean over the remaining targets right after the loss of %s: %.2f", domain, ratio)
		assert.Assert(t, ratio < 1.35)
	}
}
