package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// change is a change of the declarations that all VMs have to know within drainBound.
type change struct {
	name string
	// make makes the change in the store; isKnown reports whether a view has it.
	make    func(*world)
	isKnown func(*fleet.View) bool
}

func isLeaving(id string) func(*fleet.View) bool {
	return func(view *fleet.View) bool { return view.Targets[id] == nil || view.Targets[id].Leaving }
}

func drain(id string) change {
	return change{"drain", func(w *world) { w.leaveTarget(id) }, isLeaving(id)}
}

func removal(id string) change {
	return change{"removal", func(w *world) { w.remove("servers/" + id) }, isLeaving(id)}
}

func configuration(version uint64) change {
	return change{
		"configuration",
		func(w *world) {
			w.put("config/main", fleet.Config{Version: version, Services: []fleet.Service{{Name: service, Keyed: true}}})
		},
		func(view *fleet.View) bool { return view.Config != nil && view.Config.Version >= version },
	}
}

func evacuation(domain string) change {
	return change{
		"evacuation",
		func(w *world) { w.put("evacuations/"+domain, true) },
		func(view *fleet.View) bool { return view.Evacuated[domain] },
	}
}

// apply makes a change and checks that the given nodes know it after drainBound, and that
// none that has known it forgets it afterwards.
func (w *world) apply(c change, nodes func() []*node) {
	made := time.Since(w.began)
	c.make(w)
	knew := map[*node]bool{}
	for end := time.Now().Add(2 * drainBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range nodes() {
			n.mu.Lock()
			known := c.isKnown(n.view)
			n.mu.Unlock()
			late := time.Until(end) <= drainBound && !known
			if late || knew[n] && !known {
				w.withLock(func() {
					w.problem("%s, which knew of it before: %v, does not know of the %s of %s", n.name, knew[n], c.name, made)
				})
				return
			}
			knew[n] = known
		}
	}
}

// TestChangesReachAllOverALeaderChange: the leader loses the store, a change is accepted, and
// the leader is killed before or just after it asks the others to take over; or two leaders
// are killed one after the other. Each wait for a next leader is shorter than drainBound, but
// not their sum, so the VMs must not count on hearing from one.
func TestChangesReachAllOverALeaderChange(t *testing.T) {
	const second = 900 * time.Millisecond
	for name, harm := range map[string]func(w *world, leader string){
		"cut, killed before it asks": func(w *world, leader string) {
			w.cutFor(4*time.Second, leader+">store")
			time.AfterFunc(1150*time.Millisecond, func() { w.killNode(leader) })
		},
		"cut, killed after it asks": func(w *world, leader string) {
			w.cutFor(4*time.Second, leader+">store")
			time.AfterFunc(1270*time.Millisecond, func() { w.killNode(leader) })
		},
		"silent cut": func(w *world, leader string) {
			w.storeSilentFor = time.Second
			w.cutFor(4*time.Second, leader+">store")
			time.AfterFunc(1270*time.Millisecond, func() { w.killNode(leader) })
		},
		"two killed": func(w *world, leader string) {
			w.killNode(leader)
			time.AfterFunc(second, w.killLeader)
			time.AfterFunc(second+600*time.Millisecond, w.killLeader)
		},
	} {
		for _, vms := range []int{5, 60} {
			for _, c := range []change{drain("t2"), removal("t2"), configuration(2), evacuation("b")} {
				for after := 10 * time.Millisecond; after < 1300*time.Millisecond; after += 320 * time.Millisecond {
					t.Run(fmt.Sprintf("%s, %d VMs, %s after %s", name, vms, c.name, after), func(t *testing.T) {
						run(t, seed.Value, vms, 6, func(w *world) {
							w.servedWithin(2 * time.Second)
							time.Sleep(3 * time.Second)
							leader, _ := w.leader()
							w.awaitRecordWrite()
							harm(w, leader)
							time.Sleep(after)
							w.apply(c, w.running)
						})
					})
				}
			}
		}
	}
}

// awaitRecordWrite waits until the leader has written the record: it then takes longest to
// notice that it has lost the store.
func (w *world) awaitRecordWrite() {
	before, _ := w.store().Get(context.Background(), "own/record")
	for written := before; written.Version == before.Version; time.Sleep(5 * time.Millisecond) {
		written, _ = w.store().Get(context.Background(), "own/record")
	}
}

// TestChangesReachVMsWithoutTheStore: a third of the VMs do not reach the store when the leader
// loses it, too, and is killed, as is each VM that takes over soon after. They get a change from
// other VMs that have read it.
func TestChangesReachVMsWithoutTheStore(t *testing.T) {
	const vms = 60
	for _, c := range []change{drain("t2"), removal("t2"), configuration(2), evacuation("b")} {
		for after := 10 * time.Millisecond; after < 1300*time.Millisecond; after += 320 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after %s", c.name, after), func(t *testing.T) {
				run(t, seed.Value, vms, 6, func(w *world) {
					w.servedWithin(2 * time.Second)
					time.Sleep(3 * time.Second)
					leader, _ := w.leader()
					w.awaitRecordWrite()
					w.cutFor(10*time.Second, leader+">store")
					for i := 0; i < vms; i += 3 {
						w.cutFor(10*time.Second, fmt.Sprintf("n%d>store", i))
					}
					time.AfterFunc(1150*time.Millisecond, func() { w.killLeaders(3 * time.Second) })
					time.Sleep(after)
					w.apply(c, w.running)
				})
			})
		}
	}
}

// killLeaders kills each VM that leads, for a time.
func (w *world) killLeaders(during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if leader, count := w.leader(); count > 0 {
			w.killNode(leader)
		}
	}
}

// killLeader kills the VM that leads in a running VM's view, if there is one.
func (w *world) killLeader() {
	if leader, found := w.leaderInViews(); found {
		w.killNode(leader)
	}
}

// TestChangesReachAllUnderFaults changes declarations while leaders are killed, cut off from
// the store or from the other VMs, or frozen, with faults that overlap. Every VM that runs and
// reaches the store knows each change within drainBound.
func TestChangesReachAllUnderFaults(t *testing.T) {
	const vms, targets = 8, 9
	for i := range *randomWorlds {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			run(t, seed.Value+i, vms, targets, func(w *world) {
				w.withLock(func() { w.delaysMessages, w.storeSilentFor = i%2 == 1, time.Duration(i%3)*500*time.Millisecond })
				w.servedWithin(2 * time.Second)
				time.Sleep(3 * time.Second)
				for round := range targets - 1 {
					impaired := w.harmLeaders(vms)
					time.Sleep(time.Duration(w.draw(1500)) * time.Millisecond)
					c := []change{drain(fmt.Sprintf("t%d", round)), removal(fmt.Sprintf("t%d", round)), configuration(uint64(round) + 2)}[w.draw(3)]
					w.apply(c, func() []*node {
						return slices.DeleteFunc(w.running(), func(n *node) bool {
							w.mu.Lock()
							defer w.mu.Unlock()
							return impaired[n.name]
						})
					})
					time.Sleep(3 * time.Second)
					for j := range vms {
						w.restartNode(fmt.Sprintf("n%d", j))
					}
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// harmLeaders starts one or two faults of the VMs that lead, the second up to 1.5 s after the
// first. It returns the VMs that cannot be expected to know changes; the map is guarded by
// w.mu and grows with the second fault.
func (w *world) harmLeaders(vms int) map[string]bool {
	impaired := map[string]bool{}
	harm := func() {
		leader, found := w.leaderInViews()
		if !found {
			return
		}
		kind := w.draw(4)
		w.withLock(func() {
			impaired[leader] = true
			w.note("fault %d of the leader %s", kind, leader)
		})
		lasts := time.Duration(200+w.draw(3800)) * time.Millisecond
		switch kind {
		case 0:
			w.killNode(leader)
		case 1:
			w.cutFor(lasts, leader+">store")
			if w.draw(2) == 0 {
				time.AfterFunc(time.Duration(w.draw(2000))*time.Millisecond, func() { w.killNode(leader) })
			}
		case 2:
			for j := range vms {
				if other := fmt.Sprintf("n%d", j); other != leader {
					w.cutBetween(lasts, leader, other)
				}
			}
		case 3:
			w.mu.Lock()
			n := w.nodes[leader]
			w.mu.Unlock()
			n.freeze(lasts)
		}
	}
	harm()
	if w.draw(2) == 0 {
		time.AfterFunc(time.Duration(w.draw(1500))*time.Millisecond, harm)
	}
	return impaired
}

// TestRemovalAfterAShortCutOfTheLeader: the leader is cut off from the store for 0.4 s, and
// the entry of a target is removed around the end of the cut. All VMs know within drainBound
// that the target leaves: its entry does not count as one that may reappear.
func TestRemovalAfterAShortCutOfTheLeader(t *testing.T) {
	for _, after := range []time.Duration{-200, -50, 0, 50, 200, 500, 1000} {
		after *= time.Millisecond
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			run(t, seed.Value, 5, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(3 * time.Second)
				leader, _ := w.leader()
				const cut = 400 * time.Millisecond
				w.cutFor(cut, leader+">store")
				time.Sleep(cut + after)
				w.remove("servers/t2")
				w.leavingKnownWithin("t2", drainBound)
				next, _ := w.leader()
				w.check(next == leader, "%s leads after %s", next, leader)
			})
		})
	}
}

// currentNodes returns how many nodes are current and how many there are.
func (w *world) currentNodes() (current, all int) {
	for _, n := range w.running() {
		all++
		if n.coordinator.Current() {
			current++
		}
	}
	return current, all
}

// TestCurrent checks when VMs are sure to be up to date: all of them always while nothing
// fails, also in a large fleet, and none whose view may lack what the store has accepted 2 s
// ago. A VM that is not sure refuses a request that an access key does not allow, instead of
// answering for good; one that is wrongly sure lets a revoked key through.
func TestCurrent(t *testing.T) {
	for _, vms := range []int{5, 60} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			run(t, seed.Value, vms, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(2 * time.Second)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					current, all := w.currentNodes()
					w.check(current == all, "%d of %d VMs are current while nothing fails", current, all)
				}
				w.withLock(func() { w.outage = true })
				time.Sleep(drainBound)
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					current, _ := w.currentNodes()
					w.check(current == 0, "%d VMs are current while the store is away", current)
				}
				w.withLock(func() { w.outage = false })
				time.Sleep(3 * time.Second)
				current, all := w.currentNodes()
				w.check(current == all, "%d of %d VMs are current after an outage", current, all)
				leader, _ := w.leader()
				isolated := otherThan(leader)
				w.cutBetween(5*time.Second, leader, isolated)
				time.Sleep(900 * time.Millisecond)
				w.check(!w.nodes[isolated].coordinator.Current(), "%s is current without its leader", isolated)
			})
		})
	}
}

// TestHeldUpHeartbeatsAreNotCurrent: the leader is killed behind a partition, and what it sent
// to a VM arrives seconds later. The VM must not take the leader's knowledge in it for recent.
func TestHeldUpHeartbeatsAreNotCurrent(t *testing.T) {
	run(t, seed.Value, 5, 6, func(w *world) {
		w.servedWithin(2 * time.Second)
		time.Sleep(2 * time.Second)
		w.withLock(func() { w.delaysMessages = true })
		leader, _ := w.leader()
		isolated := otherThan(leader)
		n := w.nodes[isolated]
		w.cutFor(8*time.Second, isolated+">store")
		for _, name := range allNames(5, 0) {
			if name != isolated {
				w.cutFor(8*time.Second, name+">"+isolated)
			}
		}
		time.Sleep(500 * time.Millisecond)
		w.killNode(leader)
		time.Sleep(3500 * time.Millisecond)
		w.withLock(func() { delete(w.cut, leader+">"+isolated) })
		heard := false
		for range 30 {
			time.Sleep(5 * time.Millisecond)
			heard = heard || n.coordinator.ReceivesHeartbeats()
			w.check(!n.coordinator.Current(), "%s is current by a heartbeat that was held up", isolated)
		}
		w.check(heard, "no heartbeat was held up")
	})
}

// otherThan returns the name of a VM that does not lead.
func otherThan(leader string) string {
	if leader == "n1" {
		return "n2"
	}
	return "n1"
}
