package controller

import (
	"math"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/placement"
	"gotest.tools/v3/assert"
)

// reportedCell is a cell with one target and one slice, outside of any loop.
func reportedCell() (*cell, placement.SliceID) {
	owner := &Controller{now: time.Now}
	c := newCell(owner, "s", 0)
	c.record = &assignment.Cell{ID: "s/0", Last: math.MaxUint64,
		Slices:  []assignment.Slice{{Last: math.MaxUint64, Owner: "a", Fence: 1, NextFence: 2}},
		Targets: []assignment.Rights{{Target: "a", Epoch: 1, Partners: assignment.Partners{Dispatcher: assignment.Holder{VM: "d"}}}},
	}
	return c, placement.IDOf(&c.record.Slices[0])
}

func loadOf(rate, speed float32) *peerv1.TargetLoad {
	return &peerv1.TargetLoad{Target: "a", Epoch: 1, Alive: true, Speed: speed,
		Slices: []*peerv1.SliceLoad{{Slice: &peerv1.SliceRef{Cell: "s/0", Last: math.MaxUint64}, Fence: 1, RequestsPerSecond: rate}}}
}

// TestAveragesReachWhatWasLastReported sends one changed value and nothing
// more, as a dispatcher does whose load has changed once.
func TestAveragesReachWhatWasLastReported(t *testing.T) {
	c, id := reportedCell()
	dispatcher := assignment.Holder{VM: "d"}
	now := time.Unix(0, 0)
	c.mergeTarget(dispatcher, loadOf(1, 1))
	c.reports.advance(now)
	c.mergeTarget(dispatcher, loadOf(100, 0.25))
	c.reports.advance(now.Add(time.Second))
	after := c.reports.loads.Slice(id)
	assert.Assert(t, after > 10 && after < 40, "after a second the load counts as %.1f", after)
	for second := range 30 {
		c.reports.advance(now.Add(time.Duration(second+2) * time.Second))
	}
	assert.Assert(t, c.reports.loads.Slice(id) > 95, "the load counts as %.1f after 30 s", c.reports.loads.Slice(id))
	declared := &manifest.Target{Name: "a", Slots: 4}
	slow := c.reports.target(declared, false)
	assert.Assert(t, slow.Capacity() < 1.1, "the capacity is %.2f of 4 slots at a quarter of the speed", slow.Capacity())
	c.mergeTarget(dispatcher, loadOf(100, 1.4))
	for second := range 60 {
		c.reports.advance(now.Add(time.Duration(second+40) * time.Second))
	}
	fast := c.reports.target(declared, false)
	assert.Equal(t, fast.Capacity(), 4.0, "a target faster than usual has no more slots")
}

// TestARangeLosesTheLoadOfAHotKey gives a key a slice of its own. Its dispatcher
// then reports the range in two pieces, without the key.
func TestARangeLosesTheLoadOfAHotKey(t *testing.T) {
	const key = "hot"
	hash := assignment.HashKey(key)
	c, id := reportedCell()
	dispatcher, now := assignment.Holder{VM: "d"}, time.Unix(0, 0)
	c.mergeTarget(dispatcher, loadOf(100, 1))
	c.reports.advance(now)
	changed := c.record.Clone()
	assert.NilError(t, placement.Isolate(changed, key))
	c.adopt(changed, 1)
	pieces := loadOf(30, 1)
	pieces.Slices[0].Slice.Last = hash - 1
	pieces.Slices = append(pieces.Slices,
		&peerv1.SliceLoad{Slice: &peerv1.SliceRef{Cell: "s/0", First: hash + 1, Last: math.MaxUint64}, Fence: 1, RequestsPerSecond: 10},
		&peerv1.SliceLoad{Slice: &peerv1.SliceRef{Cell: "s/0", First: hash, Last: hash, Key: key}, Fence: 1, RequestsPerSecond: 60})
	c.mergeTarget(dispatcher, pieces)
	for second := range 60 {
		c.reports.advance(now.Add(time.Duration(second) * time.Second))
	}
	hot := placement.SliceID{First: hash, Last: hash, Key: key}
	assert.Assert(t, math.Abs(c.reports.loads.Slice(hot)-60) < 1, "the key counts as %.1f", c.reports.loads.Slice(hot))
	assert.Assert(t, math.Abs(c.reports.loads.Slice(id)-40) < 1, "the range counts as %.1f", c.reports.loads.Slice(id))
	assert.NilError(t, placement.Absorb(changed, key))
	c.adopt(changed, 2)
	c.mergeTarget(dispatcher, loadOf(90, 1))
	for second := range 60 {
		c.reports.advance(now.Add(time.Duration(100+second) * time.Second))
	}
	assert.Assert(t, math.Abs(c.reports.loads.Slice(id)-90) < 1, "the range counts as %.1f", c.reports.loads.Slice(id))
}

// TestReportsOfOtherEpochsAreIgnored sends the load of a dispatcher whose right
// has passed on.
func TestReportsOfOtherEpochsAreIgnored(t *testing.T) {
	c, id := reportedCell()
	load := loadOf(50, 1)
	load.Epoch = 7
	c.mergeTarget(assignment.Holder{VM: "other"}, load)
	assert.Equal(t, c.reports.loads.Slice(id), 0.0)
	lost := loadOf(50, 1)
	lost.Alive = false
	assert.Assert(t, c.mergeTarget(assignment.Holder{VM: "d"}, lost), "the loss of a target is planned for at once")
	lostTarget := c.reports.target(&manifest.Target{Name: "a", Slots: 4}, false)
	assert.Assert(t, lostTarget.Lost && !lostTarget.Usable())
}

// anybody is the set of all VMs; nobody is the empty one.
func anybody(string) bool { return true }
func nobody(string) bool  { return false }

// TestDeadVMIsSuspectedAfterItsRightsHavePassedOn guards against new rights for a VM that nobody
// calls silent any more only because it is nobody's partner any more.
func TestDeadVMIsSuspectedAfterItsRightsHavePassedOn(t *testing.T) {
	now := time.Unix(100, 0)
	answers := false
	l := newLosses(func(string) bool { return !answers })
	quiet := assignment.Holder{VM: "q", Incarnation: "1"}
	l.hear(quiet, nil, anybody, now)
	for _, vm := range []string{"a", "b"} {
		l.hear(assignment.Holder{VM: vm}, []string{"q"}, anybody, now.Add(time.Second))
	}
	for _, vm := range []string{"a", "b"} {
		l.hear(assignment.Holder{VM: vm}, nil, nobody, now.Add(2*time.Second))
	}
	assert.Assert(t, l.suspected(quiet, now.Add(2*time.Second)))
	assert.Assert(t, l.suspected(quiet, now.Add(time.Minute)), "it has not answered")
	answers = true
	assert.Assert(t, !l.suspected(quiet, now.Add(time.Minute)))
	answers = false
	l.hear(quiet, nil, anybody, now.Add(time.Minute))
	assert.Assert(t, !l.suspected(quiet, now.Add(time.Minute)), "it has reported itself")

	superseded := assignment.Holder{VM: "s", Incarnation: "1"}
	l.takeOver(superseded, now)
	assert.Assert(t, l.suspected(superseded, now.Add(time.Minute)), "it has not answered")
	answers = true
	assert.Assert(t, !l.suspected(superseded, now.Add(time.Minute)))
}

// TestNewControllerSuspectsWhoNeitherReportsNorAnswers guards against rights for a dead VM in the
// first round of a controller, before the others have told of its silence.
func TestNewControllerSuspectsWhoNeitherReportsNorAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	dead, cutOff := assignment.Holder{VM: "d", Incarnation: "1"}, assignment.Holder{VM: "c", Incarnation: "1"}
	l := newLosses(func(vm string) bool { return vm == "d" || vm == "c" })
	l.hear(cutOff, nil, anybody, now)
	assert.Assert(t, l.suspected(dead, now))
	assert.Assert(t, !l.suspected(cutOff, now), "its reports arrive")
	assert.Assert(t, !l.suspected(assignment.Holder{VM: "new", Incarnation: "1"}, now), "it answers")
}

func TestSilenceNeedsTwoReportersOrSilenceTowardsTheController(t *testing.T) {
	now := time.Unix(100, 0)
	l := newLosses(nobody)
	quiet := assignment.Holder{VM: "q", Incarnation: "1"}
	l.hear(quiet, nil, anybody, now)
	l.hear(assignment.Holder{VM: "a"}, []string{"q"}, anybody, now.Add(time.Second))
	assert.Assert(t, !l.suspected(quiet, now.Add(time.Second)), "one link may be cut")
	l.hear(assignment.Holder{VM: "b"}, []string{"q"}, anybody, now.Add(time.Second))
	assert.Assert(t, l.suspected(quiet, now.Add(time.Second)))
	l.hear(assignment.Holder{VM: "b"}, nil, anybody, now.Add(2*time.Second))
	assert.Assert(t, !l.suspected(quiet, now.Add(2*time.Second)))
	assert.Assert(t, l.suspected(quiet, now.Add(heardFresh+time.Second)), "it has not reported itself either")
}

// TestAReportAheadOfTheRecordIsNotTakenIn: a dispatcher reads a record before its
// writer knows that it was written.
func TestAReportAheadOfTheRecordIsNotTakenIn(t *testing.T) {
	c, _ := reportedCell()
	early := &peerv1.LoadReport{Targets: []*peerv1.TargetLoad{loadOf(1, 1)}}
	assert.Assert(t, !c.isBehind(early))
	early.Targets[0].Epoch = 2
	assert.Assert(t, c.isBehind(early))
	assert.Assert(t, !c.mergeTarget(assignment.Holder{VM: "d"}, early.Targets[0]))
	c.record.Targets[0].Epoch = 3
	assert.Assert(t, !c.isBehind(early), "of a former dispatcher")
	c.record = nil
	assert.Assert(t, c.isBehind(early))
}
