package observer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// unreliableStore is a store that can be made unavailable.
type unreliableStore struct {
	*store.Memory
	down atomic.Bool
}

var errOdd = fault.New(fault.Invalid, "correct the entry", "the entry cannot be used")

var errDown = fault.New(fault.Unavailable, "try again", "the store is down")

func (s *unreliableStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if s.down.Load() {
		return nil, 0, errDown
	}
	return s.Memory.List(ctx, prefix)
}

func (s *unreliableStore) Watch(ctx context.Context, prefix string, after int64) ([]store.Object, int64, error) {
	if s.down.Load() {
		return nil, 0, errDown
	}
	return s.Memory.Watch(ctx, prefix, after)
}

// fixture is an observer whose store has an entry for target t0 only.
type fixture struct {
	*Observer
	store *unreliableStore
}

func newFixture(t *testing.T) *fixture {
	began := time.Now()
	logger, controlLoop := zerolog.Nop(), loop.New()
	o := &fixture{store: &unreliableStore{Memory: store.NewMemory()}}
	_, err := o.store.Put(t.Context(), "targets/t0", []byte("t0"), store.Absent)
	assert.NilError(t, err)
	o.Observer = New(Config{
		Names: Names{
			Config: "config/", Targets: "targets/", Evacuations: "evacuations/",
			DecodeTarget: func(object store.Object, _ time.Time) (*fleet.Target, error) {
				switch string(object.Value) {
				case "odd":
					return nil, errOdd
				case "panic":
					panic("the decoder has a fault")
				}
				return &fleet.Target{Life: fleet.Life{ID: string(object.Value), Born: 1}}, nil
			},
		},
		Store: o.store, Loop: controlLoop, Logger: &logger, Changed: func() {}, Contact: func(error) {},
		Uptime: func() time.Duration { return time.Since(began) },
	})
	go controlLoop.Run(t.Context())
	return o
}

// watch starts the observer, seeded with the targets t0 and t1, and ticks it for a
// time.
func (o *fixture) watch(t *testing.T, during time.Duration) {
	o.config.Loop.Call(func() {
		targets := map[string]*fleet.Target{}
		for _, id := range []string{"t0", "t1"} {
			targets[id] = &fleet.Target{Life: fleet.Life{ID: id, Born: 1}}
		}
		o.Seed(&fleet.View{Targets: targets}, "")
		o.Start(t.Context())
	})
	o.tick(during)
}

// tick ticks the observer for a time.
func (o *fixture) tick(during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		o.config.Loop.Call(func() { o.Tick(time.Now()) })
	}
}

// noteOutage passes the observer the calls of a VM to a store that is unavailable for a time
// and then answers.
func (o *fixture) noteOutage(during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		o.config.Loop.Call(func() { o.NoteStoreAnswer(errDown, time.Now()) })
	}
	o.config.Loop.Call(func() { o.NoteStoreAnswer(nil, time.Now()) })
}

// isLeaving reports whether a target is marked as leaving.
func (o *fixture) isLeaving(id string) (leaving bool) {
	o.config.Loop.Call(func() { leaving = o.targets[id].Leaving })
	return leaving
}

// TestRemovalIsBelievedAtOnceByALaterWatch checks that a missing entry counts as removed
// at once, although an earlier watch ended during a store outage.
func TestRemovalIsBelievedAtOnceByALaterWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		o.store.down.Store(true)
		o.watch(t, time.Second)
		o.config.Loop.Call(o.Stop)
		o.store.down.Store(false)
		time.Sleep(10 * time.Second)
		o.watch(t, 100*time.Millisecond)
		assert.Assert(t, o.isLeaving("t1"))
		assert.Assert(t, !o.isLeaving("t0"))
	})
}

// TestUnusableEntryOfAKnownTargetIsNoRemoval checks that a target stays as it is known if
// its entry cannot be used, whether that is seen in a list or in a watch, until the entry is
// removed.
func TestUnusableEntryOfAKnownTargetIsNoRemoval(t *testing.T) {
	for name, watched := range map[string]bool{"listed": false, "watched": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				put := func(value string) {
					present, err := o.store.Get(t.Context(), "targets/t0")
					assert.NilError(t, err)
					_, err = o.store.Put(t.Context(), "targets/t0", []byte(value), present.Version)
					assert.NilError(t, err)
				}
				o.watch(t, time.Second)
				if !watched {
					o.config.Loop.Call(o.Stop)
				}
				put("odd")
				if !watched {
					o.watch(t, time.Second)
				}
				time.Sleep(time.Second)
				assert.Assert(t, !o.isLeaving("t0"))
				present, err := o.store.Get(t.Context(), "targets/t0")
				assert.NilError(t, err)
				assert.NilError(t, o.store.Delete(t.Context(), "targets/t0", present.Version))
				time.Sleep(time.Second)
				assert.Assert(t, o.isLeaving("t0"))
			})
		})
	}
}

// TestTargetIsAssumedColdUntilItsEntryIsRead checks how long a target that may have
// restarted counts as cold: until its entry shows that it has not, or, while the store does
// not answer, for as long as a target is cold after its start.
func TestTargetIsAssumedColdUntilItsEntryIsRead(t *testing.T) {
	const cold = 3 * time.Second
	for name, down := range map[string]bool{"store answers": false, "store is down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				o.watch(t, time.Second)
				o.store.down.Store(down)
				var began time.Time
				o.config.Loop.Call(func() {
					o.fleetConfig = &fleet.Config{Services: []fleet.Service{{Cold: cold}}}
					o.fleetConfig.Index()
					began = time.Now()
					assert.Assert(t, o.AssumeCold(fleet.Life{ID: "t0", Born: 1}, began))
					assert.Assert(t, !o.AssumeCold(fleet.Life{ID: "t0", Born: 0}, began), "another process")
				})
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, o.isColdAt("t0", began.Add(time.Second)), "nothing has been read")
				o.config.Loop.Call(o.ConfirmEntries)
				time.Sleep(confirmPause)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, o.isColdAt("t0", began.Add(cold-time.Millisecond)), down)
				assert.Assert(t, !o.isColdAt("t0", began.Add(cold)))
			})
		})
	}
}

func (o *fixture) isColdAt(id string, at time.Time) (cold bool) {
	o.config.Loop.Call(func() { cold = at.Before(o.Targets()[id].ColdUntil) })
	return cold
}

// TestLaterWatchBelievesTheViewNotTheFormerWatch checks that what a former watch knew does
// not bring back a target that has left meanwhile, although the store has just been away, so
// that its missing entry could reappear.
func TestLaterWatchBelievesTheViewNotTheFormerWatch(t *testing.T) {
	for name, seen := range map[string]map[string]*fleet.Target{
		"leaving":   {"t0": {Life: fleet.Life{ID: "t0", Born: 1}}, "t1": {Life: fleet.Life{ID: "t1", Born: 1}, Leaving: true}},
		"forgotten": {"t0": {Life: fleet.Life{ID: "t0", Born: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				_, err := o.store.Put(t.Context(), "targets/t1", []byte("t1"), store.Absent)
				assert.NilError(t, err)
				o.watch(t, time.Second)
				assert.Assert(t, !o.isLeaving("t1"))
				o.config.Loop.Call(o.Stop)
				present, err := o.store.Get(t.Context(), "targets/t1")
				assert.NilError(t, err)
				assert.NilError(t, o.store.Delete(t.Context(), "targets/t1", present.Version))
				o.noteOutage(5 * time.Second)
				o.config.Loop.Call(func() {
					o.Seed(&fleet.View{Targets: seen}, "")
					o.Start(t.Context())
				})
				time.Sleep(time.Second)
				o.config.Loop.Call(func() {
					known := o.Targets()["t1"]
					assert.Assert(t, known == nil || known.Leaving)
				})
				o.config.Loop.Call(o.Stop)
			})
		})
	}
}

// TestEntryThatPanicsIsSkipped checks that an entry on which the decoder panics costs only
// itself, in a list and in a watch.
func TestEntryThatPanicsIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		put := func(name, value string) {
			_, err := o.store.Put(t.Context(), "targets/"+name, []byte(value), store.Absent)
			assert.NilError(t, err)
		}
		put("a", "panic")
		o.watch(t, time.Second)
		assert.Assert(t, !o.isLeaving("t0"))
		put("b", "panic")
		put("t2", "t2")
		time.Sleep(time.Second)
		assert.Assert(t, !o.isLeaving("t2"))
	})
}

// TestEntriesMayComeBackAfterAnOutage checks that a missing entry gets time to reappear
// after an outage that ended just before the watch began.
func TestEntriesMayComeBackAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		o.noteOutage(outageMin)
		o.watch(t, reappearTime-100*time.Millisecond)
		assert.Assert(t, !o.isLeaving("t1"))
		time.Sleep(200 * time.Millisecond)
		o.config.Loop.Call(func() { o.Tick(time.Now()) })
		assert.Assert(t, o.isLeaving("t1"))
	})
}

// TestRemovalAfterAnUnavailableStore checks when a target whose entry is removed counts as
// removed. After a short cut of this VM, repeated failures of one watch, or a time in which
// the store answered other calls, that is at once: the entry would otherwise be used for
// longer than the 2 s within which a removal must take effect. After an outage of the store
// an entry gets time to reappear; one that does so is not removed.
func TestRemovalAfterAnUnavailableStore(t *testing.T) {
	for name, c := range map[string]struct {
		// down is how long the store is unavailable; answered is set if calls besides the
		// watches are answered meanwhile.
		down     time.Duration
		answered bool
		// removed is when the entry is removed, from the store's return on.
		removed time.Duration
		// goneAfter and keptFor bound the time from then on after which it counts as removed.
		keptFor, goneAfter time.Duration
	}{
		"short cut, removed within it":      {down: 400 * time.Millisecond, removed: -200 * time.Millisecond, goneAfter: 1100 * time.Millisecond},
		"short cut, removed at its end":     {down: 400 * time.Millisecond, goneAfter: 900 * time.Millisecond},
		"short cut, removed after it":       {down: 400 * time.Millisecond, removed: 900 * time.Millisecond, goneAfter: 100 * time.Millisecond},
		"store answers others":              {down: 4 * time.Second, answered: true, goneAfter: 1100 * time.Millisecond},
		"outage, expired within it":         {down: 4 * time.Second, removed: -time.Second, keptFor: 3 * time.Second, goneAfter: 4500 * time.Millisecond},
		"outage, removal reported after it": {down: 4 * time.Second, removed: 1100 * time.Millisecond, keptFor: eventReappearTime - 50*time.Millisecond, goneAfter: eventReappearTime + 100*time.Millisecond},
		"outage long ago":                   {down: 4 * time.Second, removed: 4 * time.Second, goneAfter: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				o.watch(t, time.Second)
				o.config.Loop.Call(o.Stop)
				o.config.Loop.Call(func() { o.NoteStoreAnswer(nil, time.Now()) })
				o.store.down.Store(true)
				began := time.Now()
				removedAt := began.Add(c.down + c.removed)
				time.AfterFunc(c.down, func() { o.store.down.Store(false) })
				time.AfterFunc(c.down+c.removed, func() {
					present, _ := o.store.Get(t.Context(), "targets/t0")
					_ = o.store.Delete(t.Context(), "targets/t0", present.Version)
				})
				o.config.Loop.Call(func() { o.Start(t.Context()) })
				for time.Since(removedAt) < c.goneAfter {
					o.tick(50 * time.Millisecond)
					if c.answered && time.Since(began) < c.down {
						o.config.Loop.Call(func() { o.NoteStoreAnswer(nil, time.Now()) })
					}
					if since := time.Since(removedAt); since < c.keptFor {
						assert.Assert(t, !o.isLeaving("t0"), "removed %s after its entry", since)
					}
				}
				assert.Assert(t, o.isLeaving("t0"), "not removed %s after its entry", c.goneAfter)
			})
		})
	}
}
