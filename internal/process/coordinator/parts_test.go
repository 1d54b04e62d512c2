package coordinator

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
	"github.com/chestnutcourse/chestnutcourse/internal/version/keyspace"
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

// withChange returns a copy of targets in which change was applied to one target.
func withChange(targets map[string]*fleet.Target, id string, change func(*fleet.Target)) map[string]*fleet.Target {
	next := map[string]*fleet.Target{}
	for key, t := range targets {
		next[key] = t
	}
	copied := *targets[id]
	change(&copied)
	next[id] = &copied
	return next
}

// manySlices returns the slices of a service with one slice per target.
func manySlices(count int) sliceSet {
	list := make([]fleet.Slice, count)
	width := fleet.Keys / count
	for i := range list {
		list[i] = fleet.Slice{
			First: uint16(i * width), Last: uint16((i+1)*width - 1), Owner: fleet.Life{ID: fmt.Sprintf("i-%08d", i), Born: 1700000000000}, Fence: uint64(i + 1),
		}
	}
	list[count-1].Last = fleet.Keys - 1
	return sliceSet{"service": list}
}

func manyMembers(count int) map[string]fleet.Member {
	members := map[string]fleet.Member{}
	for i := range count {
		vm := fmt.Sprintf("edge-%03d", i)
		members[vm] = fleet.Member{VM: vm, Incarnation: vm + "-1", Address: "10.128.0.9:7000", Processor: 800, FailureDomain: "a"}
	}
	return members
}

// received decodes a part into a list.
func received[L proto.Message](t *testing.T, part *peerv1.Part, list L) L {
	t.Helper()
	assert.NilError(t, decodePart(part, list))
	return list
}

// TestDifferenceBringsUpToDate: a VM that has an earlier list is sent only the changes, in
// a message whose size does not depend on that of the fleet.
func TestDifferenceBringsUpToDate(t *testing.T) {
	now := time.Now()
	p := newParts()
	first := manyTargets(200)
	p.setTargets(first, nil)
	full := p.targets.since(0, now)
	vmList, _ := applyTargets(received(t, full, &peerv1.TargetList{}), nil, now)
	base := p.targets.digest

	second := withChange(first, "i-00000007", func(t *fleet.Target) { t.Leaving = true })
	delete(second, "i-00000003")
	p.setTargets(second, map[string]bool{"b": true})
	difference := p.targets.since(base, now)
	assert.Assert(t, proto.Size(difference) < 150, "%d bytes", proto.Size(difference))
	got, evacuated := applyTargets(received(t, difference, &peerv1.TargetList{}), vmList, now)
	assert.Equal(t, len(got), 199)
	assert.Assert(t, got["i-00000007"].Leaving && got["i-00000003"] == nil && evacuated["b"])
	assert.Equal(t, digestTargets(got, evacuated), p.targets.digest)
}

// TestSlicesTravelAsDifferences: a change of a few owners is sent as a small message,
// whatever the number of slices. Any series of moves, joins, splits and confirmations
// reproduces the leader's list.
func TestSlicesTravelAsDifferences(t *testing.T) {
	now := time.Now()
	p := newParts()
	publish := func(set sliceSet) {
		p.setSlices(set)
		now = now.Add(sliceVersionInterval)
		p.versions(now)
	}
	present := manySlices(3000)
	publish(present)
	full := p.slices.since(0, now)
	vmList, vmDigest := applySlices(received(t, full, &peerv1.SliceList{}), nil), p.slices.digest
	assert.Equal(t, digestSlices(vmList), vmDigest)

	random := rand.New(rand.NewPCG(1, 2))
	fence := uint64(len(present["service"]))
	for range 300 {
		list := slices.Clone(present["service"])
		switch i := random.IntN(len(list) - 1); random.IntN(4) {
		case 0:
			list[i].Ready = !list[i].Ready
		case 1:
			fence++
			list[i].Owner, list[i].Fence, list[i].Ready = list[random.IntN(len(list))].Owner, fence, false
		case 2:
			list[i].Last = list[i+1].Last
			list = slices.Delete(list, i+1, i+2)
		case 3:
			if list[i].First < list[i].Last {
				second := list[i]
				list[i].Last = list[i].First
				second.First = list[i].First + 1
				list = slices.Insert(list, i+1, second)
			}
		}
		present = sliceSet{"service": list}
		publish(present)
		difference := p.slices.since(vmDigest, now)
		assert.Assert(t, difference.Base == vmDigest && proto.Size(difference) < 200, "%d bytes", proto.Size(difference))
		vmList, vmDigest = applySlices(received(t, difference, &peerv1.SliceList{}), vmList), p.slices.digest
		assert.Equal(t, digestSlices(vmList), vmDigest)
	}

	publish(sliceSet{"other": present["service"][:7]})
	vmList = applySlices(received(t, p.slices.since(vmDigest, now), &peerv1.SliceList{}), vmList)
	assert.Equal(t, digestSlices(vmList), p.slices.digest)
}

// TestOwnersAreNotSentForEachConfirmation: while grants are confirmed one by one, the
// slices get only a few new versions per second, and the last version is the current state.
func TestOwnersAreNotSentForEachConfirmation(t *testing.T) {
	now := time.Now()
	p := newParts()
	present := manySlices(1000)
	versions := map[uint64]bool{}
	for i := range 1000 {
		list := slices.Clone(present["service"])
		list[i].Ready = true
		present = sliceSet{"service": list}
		p.setSlices(present)
		now = now.Add(time.Millisecond)
		versions[p.versions(now).Slices] = true
	}
	assert.Assert(t, len(versions) <= int(time.Second/sliceVersionInterval)+1, "%d versions", len(versions))
	assert.Equal(t, p.versions(now.Add(sliceVersionInterval)).Slices, digestSlices(present))
}

// TestMembersTravelAsDifferences: VMs that join or leave are sent as a small message too.
func TestMembersTravelAsDifferences(t *testing.T) {
	now := time.Now()
	p := newParts()
	members, brokers := manyMembers(300), map[string]string{"a": "edge-000", "b": "edge-000"}
	p.setMembers(members, brokers)
	vmList, vmDigest := applyMembers(received(t, p.members.since(0, now), &peerv1.MemberList{}), memberSet{}), p.members.digest

	members = maps.Clone(members)
	delete(members, "edge-007")
	members["edge-300"] = fleet.Member{VM: "edge-300", Incarnation: "1", Address: "10.0.0.1:7000"}
	p.setMembers(members, map[string]string{"a": "edge-001"})
	difference := p.members.since(vmDigest, now)
	assert.Assert(t, difference.Base == vmDigest && proto.Size(difference) < 150, "%d bytes", proto.Size(difference))
	vmList = applyMembers(received(t, difference, &peerv1.MemberList{}), vmList)
	assert.DeepEqual(t, vmList.members, members)
	assert.DeepEqual(t, vmList.brokers, map[string]string{"a": "edge-001"})
}

// TestUnknownBaseGetsEverything: a VM whose list is unknown, or too old, is sent the full
// list.
func TestUnknownBaseGetsEverything(t *testing.T) {
	p := newParts()
	targets := manyTargets(5)
	p.setTargets(targets, nil)
	first := p.targets.digest
	part := p.targets.since(12345, time.Now())
	assert.Equal(t, part.Base, uint64(0))
	assert.Equal(t, len(received(t, part, &peerv1.TargetList{}).Targets), 5)
	for range maxBases {
		targets = withChange(targets, "i-00000001", func(t *fleet.Target) { t.Born++ })
		p.setTargets(targets, nil)
	}
	assert.Equal(t, p.targets.since(first, time.Now()).Base, uint64(0))
	assert.Equal(t, len(p.targets.bases), maxBases)
}

// TestLargePartsAreCompressed: full lists of a large fleet, which are sent to every VM that
// starts, are compressed. Damaged and too large bodies are reported.
func TestLargePartsAreCompressed(t *testing.T) {
	now := time.Now()
	p := newParts()
	p.setTargets(manyTargets(3000), nil)
	part := p.targets.since(0, now)
	body, err := bodyOf(part)
	assert.NilError(t, err)
	assert.Assert(t, part.Compressed && len(part.Body) < len(body)/2, "%d of %d bytes", len(part.Body), len(body))
	damaged := &peerv1.Part{Body: part.Body[:len(part.Body)/2], Compressed: true}
	assert.Assert(t, fault.Is(decodePart(damaged, &peerv1.TargetList{}), fault.Invalid))
	assert.Assert(t, fault.Is(decodePart(&peerv1.Part{Body: []byte{0xff}}, &peerv1.TargetList{}), fault.Invalid))
	huge := &peerv1.Part{Body: binary.AppendUvarint(nil, maxPartBytes+1), Compressed: true}
	assert.Assert(t, fault.Is(decodePart(huge, &peerv1.TargetList{}), fault.Invalid))
}

// TestSameContentHasOneName: the same content has the same digest on every VM, so that a new
// leader with the same state sends nothing again.
func TestSameContentHasOneName(t *testing.T) {
	a, b := newParts(), newParts()
	now := time.Now()
	a.setTargets(manyTargets(20), map[string]bool{"x": true, "y": true})
	again, evacuated := applyTargets(received(t, a.targets.since(0, now), &peerv1.TargetList{}), nil, now)
	b.setTargets(again, evacuated)
	assert.Equal(t, a.targets.digest, b.targets.digest)
	b.setTargets(withChange(again, "i-00000001", func(t *fleet.Target) { t.Born++ }), evacuated)
	assert.Assert(t, a.targets.digest != b.targets.digest)
}

// TestTakeOverDecision checks on which evidence a VM may take over from the leader.
func TestTakeOverDecision(t *testing.T) {
	silent := 2 * heartbeatTimeout
	for name, c := range map[string]struct {
		evidence
		may bool
	}{
		"recent heartbeat": {evidence{silentFor: heartbeatTimeout / 2}, false},
		"leader yields":    {evidence{yielding: true}, true},
		"leader yields, but the store is just back":                {evidence{yielding: true, storeReturned: true}, false},
		"leader process has ended":                                 {evidence{ended: true, silentFor: silent}, true},
		"refuses connections here, heartbeats elsewhere":           {evidence{ended: true, silentFor: silent, known: 5, asked: 3, answered: 3, withoutLeader: 2}, false},
		"no VM gets heartbeats":                                    {evidence{silentFor: silent, known: 5, asked: 3, answered: 3, withoutLeader: 3}, true},
		"one VM of three gets heartbeats":                          {evidence{silentFor: silent, known: 5, asked: 3, answered: 3, withoutLeader: 2}, false},
		"one VM of nine gets heartbeats":                           {evidence{silentFor: silent, known: 20, asked: 9, answered: 9, withoutLeader: 8}, true},
		"no VM answers":                                            {evidence{silentFor: silent, known: 5, asked: 5}, false},
		"no VM answers, record long unchanged":                     {evidence{silentFor: 4 * silent, known: 5, asked: 5, recordUnchangedFor: isolatedRecordTimeout}, true},
		"no VM answers, record changed lately":                     {evidence{silentFor: 10 * silent, known: 5, asked: 5, recordUnchangedFor: isolatedRecordTimeout / 2}, false},
		"a third of the VMs is cut off together":                   {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, withoutLeader: 3}, false},
		"leader lost together with most VMs":                       {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, withoutLeader: 3, refused: 6}, true},
		"this VM is cut off by refused connections, leader writes": {evidence{silentFor: silent, known: 20, asked: 9, answered: 3, withoutLeader: 3, refused: 6, recordWritten: true}, false},
		"few VMs answer, record unchanged":                         {evidence{silentFor: silent, known: 20, asked: 9, answered: 2, withoutLeader: 2, recordUnchangedFor: recordTimeout}, true},
	} {
		may, why := mayTakeOver(c.evidence)
		assert.Equal(t, may, c.may, "%s: %s", name, why)
	}
}

// TestLeaseTablePrunesRemovedSlices: the state of a slice is removed together with the slice.
func TestLeaseTablePrunesRemovedSlices(t *testing.T) {
	now := time.Now()
	life := fleet.Life{ID: "t", Born: 1}
	lt := newLeaseTable(nil, fencesAfter(&fleet.Record{}), defaultLeaseDuration)
	lt.setSoleLeader(now.Add(-time.Minute))
	for range 100 {
		fence := lt.fences.allocate()
		lt.applyMoves("s", []fleet.Slice{{First: 0, Last: 65535, Owner: life, Fence: fence}}, fenceRange{fence, fence})
		lt.handovers[fence] = "handover"
		tasks := lt.dueTasks(now, 0)
		assert.Equal(t, len(tasks), 1)
		assert.Assert(t, lt.grantDone(tasks[0], true, now))
	}
	assert.Equal(t, len(lt.handovers), 1)
	assert.Equal(t, len(lt.confirmedAt), 1)
	assert.Equal(t, len(lt.sentFences), 1)
	assert.Equal(t, len(lt.readySince), 1)
}

// TestRenewalsShareConnections: a target with many slices is sent its renewals a few at a
// time, and all of them in time.
func TestRenewalsShareConnections(t *testing.T) {
	const slices = 24
	owner := fleet.Life{ID: "a", Born: 1}
	var list []fleet.Slice
	for i := range slices {
		list = append(list, fleet.Slice{First: uint16(i * 10), Last: uint16(i*10 + 9), Owner: owner, Fence: uint64(i + 1), Ready: true})
	}
	lt := newLeaseTable(map[string][]fleet.Slice{"s": list}, fencesAfter(&fleet.Record{LastFence: slices}), defaultLeaseDuration)
	now := time.Now()
	renewed := map[uint64]time.Time{}
	answer := func(tasks []task) {
		for _, due := range tasks {
			if last, known := renewed[due.fence]; known {
				assert.Assert(t, now.Sub(last) < defaultLeaseDuration/2, "a grant was renewed after %s", now.Sub(last))
			}
			renewed[due.fence] = now
			lt.grantDone(due, true, now)
		}
	}
	answer(lt.dueTasks(now, 0))
	most := 0
	for range 200 {
		now = now.Add(tickEvery)
		tasks := lt.dueTasks(now, 0)
		most = max(most, len(tasks))
		answer(tasks)
	}
	assert.Equal(t, len(renewed), slices)
	assert.Assert(t, most <= maxParallelRenewals, "%d renewals at once", most)

	// Renewals without an answer do not block those that are overdue.
	now = now.Add(renewInterval + maxRenewalDelay)
	assert.Equal(t, len(lt.dueTasks(now, 0)), slices)
}

// TestNextLifeMayHoldGrants: grants that were sent to a former incarnation of a target may
// have reached the next one, whether they complete before or after the restart is known.
func TestNextLifeMayHoldGrants(t *testing.T) {
	former, next := fleet.Life{ID: "a", Born: 1}, fleet.Life{ID: "a", Born: 2}
	slice := fleet.Slice{First: 0, Last: 9, Owner: former, Fence: 1}
	lt := newLeaseTable(map[string][]fleet.Slice{"s": {slice}}, fencesAfter(&fleet.Record{LastFence: 1}), defaultLeaseDuration)
	lt.soleLeader = true
	now := time.Now()
	grant := task{order: order{"s", 1, 0, former, false}, slice: slice}
	lt.grantDone(grant, true, now)
	lt.markRestarted(former, next, now)
	assert.Assert(t, lt.mayHold(next, now.Add(defaultLeaseDuration)))
	assert.Assert(t, !lt.mayHold(next, now.Add(2*defaultLeaseDuration)))
	lt.grantDone(grant, false, now.Add(defaultLeaseDuration))
	assert.Assert(t, lt.mayHold(next, now.Add(2*defaultLeaseDuration)))
}

// TestLostRenewalsOfAnEndedTargetHoldNothing: a renewal without an answer was sent to the
// process that has ended, while a grant at a new fence may have reached the next one.
func TestLostRenewalsOfAnEndedTargetHoldNothing(t *testing.T) {
	for _, fenceSent := range []bool{true, false} {
		asked := time.Now()
		life := fleet.Life{ID: "a", Born: 1}
		lt := newLeaseTable(map[string][]fleet.Slice{"s": {{Last: 65535, Owner: life}}}, fencesAfter(&fleet.Record{}), defaultLeaseDuration)
		lt.setSoleLeader(asked.Add(-time.Minute))
		due := lt.dueTasks(asked, 0)[0]
		due.fenceSent = fenceSent
		lt.grantDone(due, false, asked.Add(time.Millisecond))
		lt.markEnded(life, asked)
		assert.Equal(t, lt.mayHold(life, asked.Add(time.Second)), !fenceSent)
	}
}

// TestFirstGrantUnderWayIsHeld: keys are not granted to another target while the first grant
// to their former owner has no answer yet.
func TestFirstGrantUnderWayIsHeld(t *testing.T) {
	now := time.Now()
	former, next := fleet.Life{ID: "b", Born: 1}, fleet.Life{ID: "c", Born: 1}
	lt := newLeaseTable(map[string][]fleet.Slice{"s": {{First: 0, Last: 65535, Owner: former}}}, fencesAfter(&fleet.Record{}), defaultLeaseDuration)
	lt.setSoleLeader(now.Add(-time.Minute))
	tasks := lt.dueTasks(now, 0)
	assert.Equal(t, len(tasks), 1)
	first := lt.fences.next
	list := keyspace.Apply(lt.slices["s"], []keyspace.Move{{First: 0, Last: 65535, To: next}}, lt.fences.allocate)
	lt.applyMoves("s", list, fenceRange{first, lt.fences.next - 1})
	assert.Equal(t, len(lt.expireFormerOwners(now)), 0)
	lt.grantDone(tasks[0], false, now.Add(grantTimeout))
	assert.Equal(t, len(lt.expireFormerOwners(now.Add(grantTimeout+defaultLeaseDuration))), 0)
	assert.Equal(t, len(lt.expireFormerOwners(now.Add(grantTimeout+2*defaultLeaseDuration))), 1)
}

// recordingSender records the messages that are sent, without encoding them.
type recordingSender struct{ sent []*peerv1.Control }

func (s *recordingSender) Send(_ string, message *peerv1.Control) { s.sent = append(s.sent, message) }

func (s *recordingSender) Call(context.Context, string, *peerv1.Control) (*peerv1.Control, error) {
	return nil, context.Canceled
}

// TestReportIsNotChangedWhileItIsSent: messages are encoded only after Send has returned, so
// that later changes must not reach them.
func TestReportIsNotChangedWhileItIsSent(t *testing.T) {
	sender := &recordingSender{}
	c := &Coordinator{config: Config{Sender: sender, Uptime: func() time.Duration { return 0 }}, view: &fleet.View{}, haveVersions: &peerv1.PartVersions{Targets: 7}}
	c.report(time.Now())
	c.haveVersions.Targets = 8
	assert.Equal(t, sender.sent[0].GetMemberReport().Have.Targets, uint64(7))
}

// TestLostPartIsSentAgain: a lost part is sent again within its bound while the owners of
// keys change all the time, whether the configuration or the owners were lost.
func TestLostPartIsSentAgain(t *testing.T) {
	for _, lost := range []string{"config", "slices"} {
		synctest.Test(t, func(t *testing.T) { dropOnce(t, lost) })
	}
}

// dropOnce drops one message with a part and checks that the VM has the part within the
// bound.
func dropOnce(t *testing.T, lost string) {
	sender := &recordingSender{}
	m := &member{Member: fleet.Member{VM: "b", Incarnation: "1"}}
	c := &Coordinator{
		config: Config{Sender: sender, Uptime: func() time.Duration { return 0 }, Repeats: func(time.Time) map[string]admission.RepeatCount { return nil }},
		lead:   &leadership{parts: newParts(), members: map[string]*member{"b": m}}, view: &fleet.View{},
	}
	have := &peerv1.PartVersions{}
	set := manySlices(10)
	began, droppedAt := time.Now(), time.Time{}
	var wanted uint64
	for time.Since(began) < 20*time.Second {
		list := slices.Clone(set["service"])
		list[0].Owner.Born++
		set = sliceSet{"service": list}
		c.lead.parts.setSlices(set)
		c.lead.parts.setConfig(&fleet.Config{Version: 1 + uint64(time.Since(began)/(5*time.Second))})
		c.handleReport(peer.Peer{VM: "b", Incarnation: "1"}, &peerv1.MemberReport{Have: have})
		state := sender.sent[len(sender.sent)-1].GetFleetState()
		drop := time.Since(began) > 6*time.Second && droppedAt.IsZero()
		switch {
		case drop && lost == "config":
			// The configuration was lost while the link was cut.
			have.Config, m.sentVersions.Config = have.Config-1, have.Config
			droppedAt, wanted = time.Now(), have.Config+1
		case drop && lost == "slices" && state.Slices != nil:
			droppedAt = time.Now()
			state.Slices = nil
		}
		if state.Config != nil {
			have.Config = state.Versions.Config
		}
		if part := state.Slices; part != nil && (part.Base == 0 || part.Base == have.Slices) {
			have.Slices = state.Versions.Slices
			if lost == "slices" && !droppedAt.IsZero() {
				assert.Assert(t, time.Since(droppedAt) <= listLostAfter+2*detailInterval, "after %s", time.Since(droppedAt))
				return
			}
		}
		if lost == "config" && !droppedAt.IsZero() && have.Config >= wanted {
			assert.Assert(t, time.Since(droppedAt) <= listLostAfter+2*reportEvery, "after %s", time.Since(droppedAt))
			return
		}
		time.Sleep(reportEvery)
	}
	t.Errorf("the lost %s was not sent again", lost)
}
