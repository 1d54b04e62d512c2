package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// inForceBound is the stated target for a change to be in force everywhere.
const inForceBound = 5 * time.Second

// cutOffBound is the stated target for a node that is cut off to stop.
const cutOffBound = 6 * time.Second

func (f *fleet) watchers() []string {
	var found []string
	for _, name := range f.names() {
		n := f.nodes[name]
		n.loop.Call(func() {
			if n.d.watching != nil {
				found = append(found, name)
			}
		})
	}
	return found
}

func TestTwoWatchersPerFailureDomain(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 8)
		expected := []string{"vm-a-0000", "vm-a-0001", "vm-b-0000", "vm-b-0001", "vm-c-0000", "vm-c-0001"}
		assert.DeepEqual(t, f.watchers(), expected)
		f.kill("vm-a-0000")
		f.kill("vm-a-0001")
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, f.watchers(), []string{"vm-a-0002", "vm-a-0003", "vm-b-0000", "vm-b-0001", "vm-c-0000", "vm-c-0001"})
		f.start(vmOf(0, 0))
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, f.watchers(), []string{"vm-a-0000", "vm-a-0002", "vm-b-0000", "vm-b-0001", "vm-c-0000", "vm-c-0001"})
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 8)
		version := f.putManifest(store.Absent)
		taken := f.inForceWithin(version, time.Second)
		t.Logf("in force on 24 nodes after %s", taken)
	})
}

func TestChangeIsInForceWithACutLinkAndWatchersKilled(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 8)
		f.setCut("vm-a-0000", "vm-a-0002", true)
		f.kill("vm-b-0000")
		f.kill("vm-b-0001")
		version := f.putManifest(store.Absent)
		f.inForceWithin(version, inForceBound)
	})
}

// TestTreeAloneReachesEveryVM delays messages at random, so that a VM may learn
// a change by one tree before the push of another arrives.
func TestTreeAloneReachesEveryVM(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		const changes = 20
		f.addDomains(3, 8)
		f.lose(func(m *peerv1.Control) bool { return m.GetFetchObjects() != nil })
		random := seed.Rand(1)
		f.mu.Lock()
		f.jitter = func() time.Duration { return time.Duration(random.IntN(20)) * latency }
		f.mu.Unlock()
		version := store.Absent
		for range changes {
			version = f.putManifest(version)
			f.inForceWithin(version, inForceBound)
		}
	})
}

func TestTreeAloneServesBehindDeadInnerVMs(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 14)
		f.lose(func(m *peerv1.Control) bool { return m.GetFetchObjects() != nil })
		for _, domain := range []string{"a", "b", "c"} {
			f.kill("vm-" + domain + "-0002")
			f.kill("vm-" + domain + "-0012")
		}
		f.inForceWithin(f.putManifest(store.Absent), inForceBound)
	})
}

func TestDigestsAloneBringAChange(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 14)
		f.lose(func(m *peerv1.Control) bool { return m.GetObjects().GetRoot() != "" || m.GetObjects().GetSpread() })
		f.inForceWithin(f.putManifest(store.Absent), inForceBound)
	})
}

// acceptedBefore is how long a node that had a change accepted lives on. It ends
// before its next digest.
const acceptedBefore = 100 * time.Millisecond

func TestOwnWriteIsInForceThoughTheStoreAndTheWriterFailRightAfter(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 8)
		writer := f.nodes["vm-c-0005"]
		time.Sleep(tickInterval / 2)
		f.mu.Lock()
		f.outageAfterPut = true
		f.mu.Unlock()
		version, err := writer.d.Store().Put(t.Context(), manifest.ObjectName, exampleManifest(t, "op"), store.Absent)
		assert.NilError(t, err)
		time.Sleep(acceptedBefore)
		f.kill("vm-c-0005")
		f.inForceWithin(version, inForceBound)
		for _, name := range f.names() {
			f.nodes[name].neverReverted()
		}
	})
}

func TestRestartDuringOutageWithLaggingPeerNeverReverts(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 4)
		first := f.putManifest(store.Absent)
		f.inForceWithin(first, inForceBound)
		lagging := "vm-a-0003"
		f.isolate(lagging)
		second := f.putManifest(first)
		f.inForceWithin(second, inForceBound, lagging)
		f.setOutage(true)

		f.kill("vm-b-0002")
		// The lagging peer is the first seed and reachable for the restarted node alone.
		f.setCut(lagging, "vm-b-0002", false)
		restarted := f.start(vmOf(1, 2), vmOf(0, 3).PeerAddress, vmOf(0, 1).PeerAddress, vmOf(2, 1).PeerAddress)
		f.inForceWithin(second, inForceBound, lagging)
		assert.Equal(t, restarted.published()[0], second, "the first snapshot has the newest version")
		restarted.neverReverted()
	})
}

func TestLaggingPeerThatKnowsNobodyElseDoesNotSuffice(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		first := f.putManifest(store.Absent)
		lagging := vmOf(0, 9)
		f.register(lagging)
		f.start(lagging)
		time.Sleep(time.Second)
		f.isolate(lagging.Name)
		for i := range 6 {
			f.setCut(lagging.Name, vmOf(i%3, i/3).Name, true)
		}
		f.addDomains(3, 2)
		second := f.putManifest(first)
		f.inForceWithin(second, inForceBound, lagging.Name)
		f.setOutage(true)
		starting := vmOf(2, 5)
		node := f.start(starting, lagging.PeerAddress, vmOf(1, 0).PeerAddress, vmOf(2, 0).PeerAddress)
		f.inForceWithin(second, inForceBound, lagging.Name)
		assert.Equal(t, node.published()[0], second)
	})
}

func TestStartingNodeWaitsWhileOnlyStartingPeersAnswer(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.setOutage(true)
		for i := range 3 {
			f.start(vmOf(i, 0), vmOf((i+1)%3, 0).PeerAddress, vmOf((i+2)%3, 0).PeerAddress)
		}
		time.Sleep(10 * time.Second)
		for _, name := range f.names() {
			reason, ready := f.nodes[name].d.Ready()
			assert.Assert(t, !ready)
			assert.Equal(t, reason, outcome.CutOff)
		}
		f.register(vmOf(0, 0))
		version := f.putManifest(store.Absent)
		f.setOutage(false)
		f.inForceWithin(version, inForceBound)
	})
}

func TestReadiness(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 4)
		f.inForceWithin(f.putManifest(store.Absent), inForceBound)
		ready := func(name string) bool {
			_, ready := f.nodes[name].d.Ready()
			return ready
		}
		f.setOutage(true)
		for range 60 {
			time.Sleep(time.Second)
			for _, name := range f.names() {
				assert.Assert(t, ready(name), "%s is not ready in an outage of the store alone", name)
			}
		}
		f.isolate("vm-a-0002")
		time.Sleep(cutOffBound)
		assert.Assert(t, !ready("vm-a-0002"), "a node that is cut off from all takes work")
		assert.Assert(t, ready("vm-a-0001"))
	})
}

func TestReadinessWithTheStoreButOneLinkLost(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 4)
		f.inForceWithin(f.putManifest(store.Absent), inForceBound)
		f.isolateFromStore("vm-a-0003")
		time.Sleep(cutOffBound)
		_, ready := f.nodes["vm-a-0003"].d.Ready()
		assert.Assert(t, ready, "a node that reaches the store through peers stays ready")
	})
}

func TestStoreThroughPeers(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 2)
		f.isolateFromStore("vm-a-0001")
		path := f.nodes["vm-a-0001"].d.Store()
		version, err := path.Put(t.Context(), "leases/booking/0", []byte("held"), store.Absent)
		assert.NilError(t, err)
		object, err := path.Get(t.Context(), "leases/booking/0")
		assert.NilError(t, err)
		assert.Equal(t, object.Version, version)
		objects, _, err := path.List(t.Context(), "leases/")
		assert.NilError(t, err)
		assert.Equal(t, len(objects), 1)
		assert.NilError(t, path.Delete(t.Context(), "leases/booking/0", version))
	})
}

func TestDeletionsReachEveryNodeAndStay(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 4)
		lagging := "vm-c-0003"
		f.isolate(lagging)
		gone, err := f.memory.Get(t.Context(), "vms/vm-b-0003")
		assert.NilError(t, err)
		f.kill("vm-b-0003")
		assert.NilError(t, f.memory.Delete(t.Context(), gone.Name, gone.Version))
		time.Sleep(inForceBound)
		for _, other := range f.names() {
			f.setCut(lagging, other, false)
		}
		time.Sleep(2 * inForceBound)
		for _, name := range f.names() {
			_, known := f.nodes[name].d.AddressOf("vm-b-0003")
			assert.Assert(t, !known, "%s still knows the VM", name)
		}
	})
}

func TestStatusNamesTheVMsThatAreBehind(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(3, 8)
		version := f.putManifest(store.Absent)
		f.inForceWithin(version, inForceBound)
		f.kill("vm-a-0002") // an inner VM of its tree
		status, err := f.nodes["vm-b-0006"].d.Status(t.Context(), version)
		assert.NilError(t, err)
		assert.Equal(t, status.Total, 24)
		assert.Equal(t, status.InForce, 23)
		for _, vm := range status.VMs {
			assert.Equal(t, vm.InForce, vm.VM != "vm-a-0002", "%+v", vm)
		}
	})
}

// TestBytesPerNodeDoNotGrowWithTheFleet counts what a node sends and receives
// for the configuration at rest, headers included.
func TestBytesPerNodeDoNotGrowWithTheFleet(t *testing.T) {
	const seconds = 30
	const budget = 3000 // bytes per second for all control of a node
	for _, perDomain := range []int{2, 8, 32, 128} {
		t.Run(fmt.Sprintf("%d nodes", 3*perDomain), func(t *testing.T) {
			run(t, func(t *testing.T, f *fleet) {
				f.addDomains(3, perDomain)
				f.inForceWithin(f.putManifest(store.Absent), inForceBound)
				before, calls := f.totals()
				time.Sleep(seconds * time.Second)
				after, callsAfter := f.totals()
				var sum, highest int64
				for name, bytes := range after {
					sum += bytes - before[name]
					highest = max(highest, bytes-before[name])
				}
				t.Logf("mean %d, highest %d bytes/s per node; %.1f calls/s to the store",
					sum/int64(len(after))/seconds, highest/seconds, float64(callsAfter-calls)/seconds)
				assert.Assert(t, highest/seconds < budget)
			})
		})
	}
}

func TestPartsKeepEveryObjectInOrder(t *testing.T) {
	large, small := store.Object{Name: "l", Value: make([]byte, fetchBytes)}, store.Object{Name: "s", Value: []byte("1")}
	gone := store.Object{Name: "g", Deleted: true}
	for _, example := range []struct {
		objects []store.Object
		sizes   []int
	}{
		{nil, nil},
		{[]store.Object{gone}, []int{1}},
		{[]store.Object{small, gone, small}, []int{3}},
		{[]store.Object{small, large, small, small}, []int{1, 1, 2}},
		{[]store.Object{large, large}, []int{1, 1}},
	} {
		var sizes []int
		var all []store.Object
		for _, part := range parts(example.objects) {
			sizes = append(sizes, len(part))
			all = append(all, part...)
		}
		assert.DeepEqual(t, sizes, example.sizes)
		assert.DeepEqual(t, all, example.objects)
	}
}

// totals returns the bytes of each node and all calls to the store so far.
func (f *fleet) totals() (map[string]int64, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bytes, calls := map[string]int64{}, int64(0)
	for name, n := range f.nodes {
		bytes[name] = n.bytes
		calls += n.calls
	}
	return bytes, calls
}

// TestUnreachableNeedsAMajorityThatAnswers guards against a node that takes all others for lost
// while it is cut off itself.
func TestUnreachableNeedsAMajorityThatAnswers(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.addDomains(1, 5)
		d := f.nodes["vm-a-0000"].d
		unreachable := func(silent ...string) (found bool) {
			f.nodes["vm-a-0000"].loop.Call(func() {
				d.contacts = newContacts()
				for _, vm := range silent {
					d.contacts.failed(vm, time.Now())
				}
				found = d.Unreachable("vm-a-0001")
			})
			return found
		}
		assert.Assert(t, !unreachable())
		assert.Assert(t, !unreachable("vm-a-0002"))
		assert.Assert(t, unreachable("vm-a-0001", "vm-a-0002"))
		assert.Assert(t, !unreachable("vm-a-0001", "vm-a-0002", "vm-a-0003"))
	})
}
