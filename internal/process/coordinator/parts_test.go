package coordinator

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

func manyTargets(count int) map[string]*fleet.Target {
	targets := map[string]*fleet.Target{}
	for i := range count {
		id := fmt.Sprintf("i-%08d", i)
		targets[id] = &fleet.Target{
			Life: fleet.Life{ID: id, Born: 1700000000000 + int64(i)}, Service: "service", Address: "10.128.0.9:8080", FailureDomain: "a", Slots: 2,
		}
	}
	return targets
}

func changed(targets map[string]*fleet.Target, id string, change func(*fleet.Target)) map[string]*fleet.Target {
	next := map[string]*fleet.Target{}
	for key, t := range targets {
		next[key] = t
	}
	copied := *targets[id]
	change(&copied)
	next[id] = &copied
	return next
}

// TestDifferenceBringsUpToDate: a VM that has a former list gets what changed,
// in a message that does not grow with the fleet.
func TestDifferenceBringsUpToDate(t *testing.T) {
	now := time.Now()
	p := newParts()
	first := manyTargets(200)
	p.setTargets(first, nil)
	full := p.targetList(0, now)
	has, _ := targetsFromWire(full, nil, now)
	base := p.digests.Targets

	second := changed(first, "i-00000007", func(t *fleet.Target) { t.Leaving = true })
	delete(second, "i-00000003")
	p.setTargets(second, map[string]bool{"b": true})
	difference := p.targetList(base, now)
	assert.Assert(t, proto.Size(difference) < proto.Size(full)/50, "%d bytes of %d", proto.Size(difference), proto.Size(full))
	got, evacuated := targetsFromWire(difference, has, now)
	assert.Equal(t, len(got), 199)
	assert.Assert(t, got["i-00000007"].Leaving && got["i-00000003"] == nil && evacuated["b"])
	assert.Equal(t, digestTargets(got, evacuated), p.digests.Targets)
}

// TestUnknownBaseGetsEverything.
func TestUnknownBaseGetsEverything(t *testing.T) {
	p := newParts()
	p.setTargets(manyTargets(5), nil)
	list := p.targetList(12345, time.Now())
	assert.Equal(t, list.Base, uint64(0))
	assert.Equal(t, len(list.Targets), 5)
}

// TestSameContentHasOneName: a new leader with the same knowledge sends nothing
// again.
func TestSameContentHasOneName(t *testing.T) {
	a, b := newParts(), newParts()
	targets := manyTargets(20)
	a.setTargets(targets, map[string]bool{"x": true, "y": true})
	again, evacuated := targetsFromWire(a.targetList(0, time.Now()), nil, time.Now())
	b.setTargets(again, evacuated)
	assert.Equal(t, a.digests.Targets, b.digests.Targets)
	b.setTargets(changed(again, "i-00000001", func(t *fleet.Target) { t.Born++ }), evacuated)
	assert.Assert(t, a.digests.Targets != b.digests.Targets)
}

// TestTakeOverDecision: who may take over from whom.
func TestTakeOverDecision(t *testing.T) {
	silent := 2 * silentAfter
	for name, c := range map[string]struct {
		evidence
		may bool
	}{
		"heard":                           {evidence{silentFor: silentAfter / 2}, false},
		"yields":                          {evidence{yielding: true}, true},
		"lost a store that is just back":  {evidence{yielding: true, storeBack: true}, false},
		"its process is gone":             {evidence{ended: true, silentFor: silent}, true},
		"refused here, heard elsewhere":   {evidence{ended: true, silentFor: silent, known: 5, asked: 3, answered: 3, deaf: 2}, false},
		"nobody hears it":                 {evidence{silentFor: silent, known: 5, asked: 3, answered: 3, deaf: 3}, true},
		"one of three hears it":           {evidence{silentFor: silent, known: 5, asked: 3, answered: 3, deaf: 2}, false},
		"one of nine hears it":            {evidence{silentFor: silent, known: 20, asked: 9, answered: 9, deaf: 8}, true},
		"this VM hears nobody":            {evidence{silentFor: silent, known: 5, asked: 5}, false},
		"this VM hears nobody, for long":  {evidence{silentFor: 4 * silent, known: 5, asked: 5, unchangedFor: aloneAfter}, true},
		"hears nobody, but it is written": {evidence{silentFor: 10 * silent, known: 5, asked: 5, unchangedFor: aloneAfter / 2}, false},
		"a third is cut off together":     {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, deaf: 3}, false},
		"lost with most of the others":    {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, deaf: 3, dead: 6}, true},
		"cut off by refusals, it writes":  {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, deaf: 3, dead: 6, written: true}, false},
		"few hear of it, and no writes":   {evidence{silentFor: silent, known: 20, asked: 9, answered: 2, deaf: 2, unchangedFor: staleAfter}, true},
	} {
		may, why := mayTakeOver(c.evidence)
		assert.Equal(t, may, c.may, "%s: %s", name, why)
	}
}

// TestKeeperForgetsFormerSlices: what is kept of a slice ends with it.
func TestKeeperForgetsFormerSlices(t *testing.T) {
	now := time.Now()
	life := fleet.Life{ID: "t", Born: 1}
	k := newKeeper(nil, usualHold)
	k.formerEnded(now.Add(-time.Minute))
	for fence := uint64(1); fence < 100; fence++ {
		k.replace("s", []fleet.Slice{{First: 0, Last: 65535, Owner: life, Fence: fence}})
		k.handovers[fence] = "handover"
		tasks := k.due(now)
		assert.Equal(t, len(tasks), 1)
		assert.Assert(t, k.granted(tasks[0], true, now))
	}
	assert.Equal(t, len(k.handovers), 1)
	assert.Equal(t, len(k.renewAt), 1)
	assert.Equal(t, len(k.readySince), 1)
}

// TestRenewalsShareConnections: a target with many slices gets its renewals a few
// at a time, and all of them in time.
func TestRenewalsShareConnections(t *testing.T) {
	const slices = 24
	owner := fleet.Life{ID: "a", Born: 1}
	var list []fleet.Slice
	for i := range slices {
		list = append(list, fleet.Slice{First: uint16(i * 10), Last: uint16(i*10 + 9), Owner: owner, Fence: uint64(i + 1), Ready: true})
	}
	k := newKeeper(map[string][]fleet.Slice{"s": list}, usualHold)
	now := time.Now()
	renewed := map[uint64]time.Time{}
	answer := func(tasks []task) {
		for _, due := range tasks {
			if last, known := renewed[due.fence]; known {
				assert.Assert(t, now.Sub(last) < usualHold/2, "a grant was renewed after %s", now.Sub(last))
			}
			renewed[due.fence] = now
			k.granted(due, true, now)
		}
	}
	answer(k.due(now))
	most := 0
	for range 200 {
		now = now.Add(tickEvery)
		tasks := k.due(now)
		most = max(most, len(tasks))
		answer(tasks)
	}
	assert.Equal(t, len(renewed), slices)
	assert.Assert(t, most <= renewalsAtOnce, "%d renewals at once", most)

	// Renewals that are not answered do not hold up those that are late.
	now = now.Add(renewEvery + renewSlack)
	assert.Equal(t, len(k.due(now)), slices)
}

// TestNextLifeMayHoldGrants: grants that were sent to a life of a target that is
// over may have reached the next one, before and after that is known.
func TestNextLifeMayHoldGrants(t *testing.T) {
	former, present := fleet.Life{ID: "a", Born: 1}, fleet.Life{ID: "a", Born: 2}
	slice := fleet.Slice{First: 0, Last: 9, Owner: former, Fence: 1}
	k := newKeeper(map[string][]fleet.Slice{"s": {slice}}, usualHold)
	k.alone = true
	now := time.Now()
	grant := task{order: order{"s", 1, 0, former, false}, slice: slice}
	k.granted(grant, true, now)
	k.startedAgain(former, present)
	assert.Assert(t, k.mayHold(present, now.Add(usualHold)))
	assert.Assert(t, !k.mayHold(present, now.Add(2*usualHold)))
	k.granted(grant, false, now.Add(usualHold))
	assert.Assert(t, k.mayHold(present, now.Add(2*usualHold)))
}
