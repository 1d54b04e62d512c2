package coordinator_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/seed"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// declared are the prefixes of what operators and targets write again after the store has been
// restored.
var declared = []string{names.Config, names.Targets, names.Evacuations}

// restore replaces the store by a copy. What operators and targets have declared since is
// written again after a time, unless it has been changed in the meantime.
func (w *world) restore(copied *store.Memory, rewrittenAfter time.Duration) {
	w.mu.Lock()
	lost := w.memory
	w.memory = copied.Copy()
	w.eras[w.memory] = fmt.Sprintf("restore %d", len(w.eras))
	w.note("the store is restored")
	restored := w.memory
	w.mu.Unlock()
	time.AfterFunc(rewrittenAfter, func() {
		if w.store() == restored {
			rewrite(lost, copied, restored)
		}
	})
}

// rewrite writes what a lost instance of the store held to one restored from a copy.
func rewrite(lost, copied, restored *store.Memory) {
	ctx := context.Background()
	for _, prefix := range declared {
		before, _, _ := lost.List(ctx, prefix)
		for _, o := range before {
			was, _ := copied.Get(ctx, o.Name)
			is, _ := restored.Get(ctx, o.Name)
			if was.Version == is.Version && !bytes.Equal(is.Value, o.Value) {
				_, _ = restored.Put(ctx, o.Name, o.Value, is.Version)
			}
		}
		kept, _, _ := copied.List(ctx, prefix)
		for _, o := range kept {
			if _, err := lost.Get(ctx, o.Name); err != nil {
				_ = restored.Delete(ctx, o.Name, o.Version)
			}
		}
	}
}

// lag makes a node use the present instance of the store for some time after a restore.
func (w *world) lag(name string, during time.Duration) {
	w.withLock(func() { w.lagging[name] = w.memory })
	time.AfterFunc(during, func() { w.withLock(func() { delete(w.lagging, name) }) })
}

// copyEvery keeps copies of the store until the returned function is called, which returns the
// copy that was made at least a time ago.
func (w *world) copyEvery(interval time.Duration) (agedAtLeast func(time.Duration) *store.Memory) {
	type dated struct {
		at     time.Time
		memory *store.Memory
	}
	var copies []dated
	ended := false
	var next func()
	next = func() {
		memory := w.store().Copy()
		w.withLock(func() {
			copies = append(copies, dated{time.Now(), memory})
			if !ended {
				time.AfterFunc(interval, next)
			}
		})
	}
	next()
	time.AfterFunc(2*time.Minute, func() { w.withLock(func() { ended = true }) })
	return func(age time.Duration) *store.Memory {
		w.mu.Lock()
		defer w.mu.Unlock()
		found := copies[0]
		for _, c := range copies {
			if time.Since(c.at) >= age {
				found = c
			}
		}
		return found.memory
	}
}

// TestRestoredStoreKeepsOneOwner checks that no key has two owners, and that fences rise, when
// the store comes back from a copy some seconds old: while the leader is lost or replaced, twice
// in a row, or while some VMs still see the store as it was.
func TestRestoredStoreKeepsOneOwner(t *testing.T) {
	for i := range *randomWorlds {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			run(t, seed.Value+i, 4, 5, func(w *world) {
				w.withLock(func() { w.checkEndedTargets, w.delaysMessages = true, i%2 == 1 })
				copyOf := w.copyEvery(200 * time.Millisecond)
				w.servedWithin(2 * time.Second)
				for range 4 {
					time.Sleep(time.Duration(2000+w.draw(5000)) * time.Millisecond)
					w.restoreAndHarm(copyOf)
				}
				time.Sleep(6 * time.Second)
				w.heal()
				w.servedWithin(16 * time.Second)
			})
		})
	}
}

// restoreAndHarm restores the store from a copy of a random age, and harms the leader or
// another VM at about the same time.
func (w *world) restoreAndHarm(copyOf func(time.Duration) *store.Memory) {
	millis := func(n int) time.Duration { return time.Duration(w.draw(n)) * time.Millisecond }
	copied, rewritten := copyOf(500*time.Millisecond+millis(6000)), 500*time.Millisecond+millis(3000)
	name := fmt.Sprintf("n%d", w.draw(4))
	leader, _ := w.leaderInViews()
	if leader == "" {
		leader = name
	}
	kind := w.draw(8)
	w.withLock(func() { w.note("harm %d, leader %s, other %s", kind, leader, name) })
	switch kind {
	case 0:
		w.killNode(leader)
		time.AfterFunc(time.Second+millis(3000), func() { w.restartNode(leader) })
		time.Sleep(millis(1500))
	case 1:
		time.AfterFunc(millis(1500), func() {
			w.killNode(leader)
			time.AfterFunc(time.Second+millis(3000), func() { w.restartNode(leader) })
		})
	case 2:
		older, after := copyOf(time.Second+millis(8000)), 100*time.Millisecond+millis(2500)
		time.AfterFunc(after, func() { w.restore(older, rewritten) })
	case 3:
		w.lag(leader, millis(1500))
	case 4:
		w.lag(name, millis(1500))
	case 5:
		for _, other := range allNames(4, 0) {
			w.cutBetween(500*time.Millisecond+millis(4000), leader, other)
		}
		time.Sleep(millis(2500))
	case 6:
		w.cutFor(500*time.Millisecond+millis(4000), leader+">store")
		time.Sleep(millis(2500))
	case 7:
		w.randomFault(3000)
		time.Sleep(millis(1500))
	}
	w.restore(copied, rewritten)
}

// TestRestoreInterruptsNoKeys checks that a leader goes on over a restore of the store, so that
// targets keep their keys: none is without an owner for longer than a move takes.
func TestRestoreInterruptsNoKeys(t *testing.T) {
	for age := 500 * time.Millisecond; age < 5*time.Second; age += 500 * time.Millisecond {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			run(t, seed.Value, 5, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				copyOf := w.copyEvery(100 * time.Millisecond)
				time.Sleep(6 * time.Second)
				leader, _ := w.leader()
				w.restore(copyOf(age), 2*time.Second)
				gap := w.longestGap(12 * time.Second)
				w.check(gap < maxServeGap, "a key had no owner for %s", gap)
				next, count := w.leader()
				w.check(count == 1 && next == leader, "%d leaders, %s after %s", count, next, leader)
			})
		})
	}
}

// TestRestoreUndoesNoDeclaration checks that no VM forgets a change of the declarations because
// the store comes back from a copy from before the change, until it is written again, and that a
// later change is taken.
func TestRestoreUndoesNoDeclaration(t *testing.T) {
	added := change{"new target", func(w *world) { w.startTarget("t9") }, func(view *fleet.View) bool {
		return view.Targets["t9"] != nil && !view.Targets["t9"].Leaving
	}}
	for _, c := range []change{drain("t2"), removal("t2"), configuration(2), evacuation("b"), added} {
		for name, harm := range map[string]func(w *world, leader string){
			"leader goes on": func(*world, string) {},
			"leader is lost": func(w *world, leader string) { w.killNode(leader) },
			"leader is cut off from the store": func(w *world, leader string) {
				w.cutFor(2500*time.Millisecond, leader+">store")
			},
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				run(t, seed.Value, 5, 6, func(w *world) {
					w.servedWithin(2 * time.Second)
					time.Sleep(3 * time.Second)
					copied := w.store().Copy()
					time.Sleep(time.Second)
					c.make(w)
					time.Sleep(2 * time.Second)
					leader, _ := w.leader()
					harm(w, leader)
					w.restore(copied, 3*time.Second)
					w.keepsKnowing(c, 9*time.Second)
					time.Sleep(time.Second)
					w.takesChanges()
				})
			})
		}
	}
}

// takesChanges checks that later changes of the declarations reach all nodes.
func (w *world) takesChanges() {
	w.apply(configuration(7), w.running)
	w.apply(drain("t4"), w.running)
}

// keepsKnowing checks that all nodes know of a change all the while.
func (w *world) keepsKnowing(c change, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range w.running() {
			n.mu.Lock()
			known := c.isKnown(n.view)
			n.mu.Unlock()
			if !known {
				w.withLock(func() { w.problem("%s has forgotten the %s", n.name, c.name) })
				return
			}
		}
	}
}

// TestRestoreLosesATakeover checks that fences and terms rise over a takeover that a restore of
// the store undoes and that no other VM has heard of: the next leader must not use the
// fences and the term of the lost one again, whether that one is lost, too, or comes back.
func TestRestoreLosesATakeover(t *testing.T) {
	for name, killed := range map[string]bool{"its leader is killed": true, "its leader comes back": false} {
		for i := range uint64(6) {
			t.Run(fmt.Sprint(name, i), func(t *testing.T) {
				run(t, seed.Value+i, 5, 6, func(w *world) {
					w.withLock(func() { w.checkEndedTargets = true })
					w.servedWithin(2 * time.Second)
					time.Sleep(3 * time.Second)
					first, _ := w.leader()
					copied := w.store().Copy()
					lost := []string{"n0", "n4"}[i%2]
					if first == lost {
						lost = "n3"
					}
					for _, other := range allNames(5, 0) {
						if other != lost {
							w.cutBetween(9*time.Second, lost, other)
							w.cutFor(7*time.Second, other+">store")
						}
					}
					w.killNode(first)
					if next := w.awaitOtherLeader(first, 6*time.Second); next != lost {
						w.withLock(func() { w.problem("%s leads, want %s", next, lost) })
					}
					time.Sleep(1500 * time.Millisecond)
					w.restore(copied, 2*time.Second)
					if killed {
						w.killNode(lost)
					}
					time.Sleep(9 * time.Second)
					w.restartNode(first)
					w.servedWithin(6 * time.Second)
					w.takesChanges()
				})
			})
		}
	}
}

// TestVMWithAHigherTermIsFoundAgain: a VM has followed a leader whose recoveries are lost by
// further restores, and is cut off while another VM takes over that has not heard of them. The
// term and the fences of the next leader rise above what the VM knows once it is heard again.
func TestVMWithAHigherTermIsFoundAgain(t *testing.T) {
	for i := range uint64(6) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			run(t, seed.Value+i, 5, 6, func(w *world) {
				w.withLock(func() { w.checkEndedTargets = true })
				w.servedWithin(2 * time.Second)
				time.Sleep(3 * time.Second)
				first, _ := w.leader()
				copied := w.store().Copy()
				group, others := divide(allNames(5, 0), first, 3)
				for _, a := range others {
					for _, b := range group {
						w.cutBetween(22*time.Second, a, b)
					}
					w.cutFor(16500*time.Millisecond, a+">store")
				}
				for range 2 {
					time.Sleep(500 * time.Millisecond)
					w.restore(copied, time.Second)
					time.Sleep(7 * time.Second)
				}
				time.Sleep(time.Second)
				w.killNode(first)
				w.killNode(group[1])
				w.cutFor(4*time.Second, group[2]+">store")
				w.restore(copied, time.Second)
				time.Sleep(15 * time.Second)
				w.restartNode(first)
				w.restartNode(group[1])
				w.servedWithin(10 * time.Second)
				w.takesChanges()
			})
		})
	}
}

// TestFormerLeaderIsNotConfirmedByARestore: a leader that was cut off from the VMs and the store
// has been replaced, and the keys of a target that only it reaches have moved. Then the store
// comes back from a copy in which the former leader still leads, and it alone reaches it. It must
// not renew the grants of that target.
func TestFormerLeaderIsNotConfirmedByARestore(t *testing.T) {
	for i := range uint64(6) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			run(t, seed.Value+i, 5, 6, func(w *world) {
				w.servedWithin(2 * time.Second)
				time.Sleep(3 * time.Second)
				copied := w.store().Copy()
				first, _ := w.leader()
				w.cutFor(12*time.Second, first+">store")
				for _, other := range allNames(5, 0) {
					if other != first {
						w.cutBetween(25*time.Second, first, other)
						w.cutFor(25*time.Second, other+">t2")
					}
				}
				w.awaitOtherLeader(first, 4*time.Second)
				time.Sleep(11 * time.Second)
				for _, other := range allNames(5, 0) {
					if other != first {
						w.cutFor(5*time.Second, other+">store")
					}
				}
				w.restore(copied, time.Second)
				time.Sleep(12 * time.Second)
			})
		})
	}
}

// TestUnreadableRecordIsWaitedFor checks that a record that cannot be decoded ends no VM, and that
// one of them leads once it has been deleted, as the error asks for.
func TestUnreadableRecordIsWaitedFor(t *testing.T) {
	run(t, seed.Value, 4, 5, func(w *world) {
		w.servedWithin(2 * time.Second)
		time.Sleep(2 * time.Second)
		leader, _ := w.leader()
		w.killNode(leader)
		w.put("own/record", "no record")
		time.Sleep(5 * time.Second)
		_, count := w.leader()
		w.check(count == 0, "%d leaders of a record that cannot be read", count)
		w.remove("own/record")
		w.servedWithin(15 * time.Second)
	})
}
