package observer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/loop"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// restorableStore is a store that can be restored from a copy.
type restorableStore struct {
	mu     sync.Mutex
	memory *store.Memory
	eras   *store.Eras
	era    int64
}

func (s *restorableStore) instance() (*store.Memory, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory, s.era
}

// restore replaces the contents by a copy, in another era.
func (s *restorableStore) restore(copied *store.Memory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory = copied
	s.era = s.eras.Meet(fmt.Sprint("era ", s.era+1))
}

func (s *restorableStore) versions(era int64, objects []store.Object) []store.Object {
	for i := range objects {
		objects[i].Version = store.VersionOf(era, objects[i].Version)
	}
	return objects
}

func (s *restorableStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	memory, era := s.instance()
	objects, version, err := memory.List(ctx, prefix)
	return s.versions(era, objects), store.VersionOf(era, version), err
}

func (s *restorableStore) Watch(ctx context.Context, prefix string, after int64) ([]store.Object, int64, error) {
	memory, era := s.instance()
	if err := s.eras.AfterRead(after, era); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	objects, version, err := memory.Watch(ctx, prefix, store.Revision(after))
	return s.versions(era, objects), store.VersionOf(era, version), err
}

// write writes the state of an entry: a target's "in" or "out", with its start in Unix
// milliseconds, or anything for an evacuation; "" removes it.
func (s *restorableStore) write(name, state string) {
	memory, _ := s.instance()
	found, _ := memory.Get(context.Background(), name)
	if state == "" {
		_ = memory.Delete(context.Background(), name, found.Version)
		return
	}
	if _, err := memory.Put(context.Background(), name, []byte(state), found.Version); err != nil {
		panic(err)
	}
}

// Get, Put and Delete are not used by an observer.

func (s *restorableStore) Get(context.Context, string) (store.Object, error) { panic("unused") }

func (s *restorableStore) Put(context.Context, string, []byte, int64) (int64, error) {
	panic("unused")
}

func (s *restorableStore) Delete(context.Context, string, int64) error { panic("unused") }

// restorable is an observer of a store that can be restored.
type restorable struct {
	*fixture
	objects *restorableStore
}

func watchRestorable(t *testing.T, entries map[string]string) *restorable {
	logger, controlLoop := zerolog.Nop(), loop.New()
	began := time.Now()
	objects := &restorableStore{memory: store.NewMemory(), eras: &store.Eras{}}
	objects.era = objects.eras.Meet("era 0")
	for name, state := range entries {
		objects.write(name, state)
	}
	o := &restorable{fixture: &fixture{}, objects: objects}
	o.Observer = New(Config{
		Names: Names{
			Config: "config/", Targets: "targets/", Evacuations: "evacuations/",
			DecodeTarget: func(object store.Object, now time.Time) (*fleet.Target, error) {
				t := &fleet.Target{Life: fleet.Life{ID: strings.TrimPrefix(object.Name, "targets/")}, FailureDomain: "a"}
				state, millis := "", 0
				_, err := fmt.Sscan(string(object.Value), &state, &t.Born, &millis)
				t.Leaving, t.ColdUntil = state == "out", now.Add(time.Duration(millis)*time.Millisecond)
				return t, err
			},
			DecodeEvacuation: func(object store.Object) string { return strings.TrimPrefix(object.Name, "evacuations/") },
		},
		Store: objects, Eras: objects.eras, Loop: controlLoop, Logger: &logger, Changed: func() {}, Contact: func(error) {},
		Uptime: func() time.Duration { return time.Since(began) },
	})
	go controlLoop.Run(t.Context())
	o.config.Loop.Call(func() { o.Start(t.Context()) })
	o.tick(time.Second)
	return o
}

// state returns a target as it is known: "in" or "out", with its start; "" if it is unknown.
func (o *restorable) state(id string) (state string) {
	o.config.Loop.Call(func() {
		if t := o.targets[id]; t != nil {
			state = fmt.Sprint(map[bool]string{true: "out ", false: "in "}[t.Leaving], t.Born)
		}
	})
	return state
}

func (o *restorable) isEvacuated(domain string) (evacuated bool) {
	o.config.Loop.Call(func() { evacuated = o.evacuated[domain] })
	return evacuated
}

// TestCopyUndoesNothing checks what is known of a target after the store has been restored from
// a copy from before a change of its entry: soon afterwards, after the entry has been written
// again or changed, and, if it has not been, once the copy's entry counts.
func TestCopyUndoesNothing(t *testing.T) {
	const none = ""
	for name, c := range map[string]struct {
		// copied, known and written are the states of the entry in the copy, before the restore
		// and after it; unwritten means that it is not written again.
		copied, known, written string
		// soon, then and late are what is known 1 s after the restore, after the writing, and
		// after 20 s.
		soon, then, late string
		unwritten        bool
	}{
		"drained, written again":          {copied: "in 5 0", known: "out 5 0", written: "out 5 0", soon: "out 5", then: "out 5", late: "out 5"},
		"drained, and gone":               {copied: "in 5 0", known: "out 5 0", written: none, soon: "out 5", then: "out 5", late: "out 5"},
		"drained, not written again":      {copied: "in 5 0", known: "out 5 0", unwritten: true, soon: "out 5", then: "out 5", late: "in 5"},
		"removed, and removed again":      {copied: "in 5 0", known: none, written: none, soon: "out 5", then: "out 5", late: "out 5"},
		"removed, registered again":       {copied: "in 5 0", known: none, written: "in 5 0 ", soon: "out 5", then: "in 5", late: "in 5"},
		"removed, but alive":              {copied: "in 5 0", known: none, unwritten: true, soon: "out 5", then: "out 5", late: "in 5"},
		"new, written again":              {copied: none, known: "in 5 0", written: "in 5 0", soon: "in 5", then: "in 5", late: "in 5"},
		"new, written again as draining":  {copied: none, known: "in 5 0", written: "out 5 0", soon: "in 5", then: "out 5", late: "out 5"},
		"new, not written again":          {copied: none, known: "in 5 0", unwritten: true, soon: "in 5", then: "in 5", late: "out 5"},
		"next process, written again":     {copied: "in 5 0", known: "in 7 0", written: "in 7 0", soon: "in 7", then: "in 7", late: "in 7"},
		"next process, then another":      {copied: "in 5 0", known: "in 7 0", written: "in 9 0", soon: "in 7", then: "in 9", late: "in 9"},
		"drained, then the next process":  {copied: "in 5 0", known: "out 5 0", written: "in 7 0", soon: "out 5", then: "in 7", late: "in 7"},
		"unchanged, and then it drains":   {copied: "in 5 0", known: "in 5 0", written: "out 5 0", soon: "in 5", then: "out 5", late: "out 5"},
		"unchanged, and then it is gone":  {copied: "in 5 0", known: "in 5 0", written: none, soon: "in 5", then: "out 5", late: "out 5"},
		"drains in the copy and went on":  {copied: "out 5 0", known: "out 5 0", unwritten: true, soon: "out 5", then: "out 5", late: "out 5"},
		"next process drains in the copy": {copied: "out 5 0", known: "in 7 0", unwritten: true, soon: "in 7", then: "in 7", late: "in 7"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := map[string]string{"targets/other": "in 1 0"}
				if c.copied != none {
					entries["targets/t"] = c.copied
				}
				o := watchRestorable(t, entries)
				copied := o.objects.memory.Copy()
				if c.known != c.copied {
					o.objects.write("targets/t", c.known)
				}
				o.tick(2 * time.Second)
				o.objects.restore(copied)
				o.tick(time.Second)
				assert.Equal(t, o.state("t"), c.soon, "soon")
				if !c.unwritten {
					o.objects.write("targets/t", c.written)
				}
				o.tick(time.Second)
				assert.Equal(t, o.state("t"), c.then, "then")
				o.tick(18 * time.Second)
				assert.Equal(t, o.state("t"), c.late, "late")
			})
		})
	}
}

// TestCopyUndoesNoEvacuation checks the same of the evacuation of a failure domain.
func TestCopyUndoesNoEvacuation(t *testing.T) {
	for name, c := range map[string]struct {
		copied, known, rewritten bool
		soon, then, late         bool
	}{
		"begun, written again":     {known: true, rewritten: true, soon: true, then: true, late: true},
		"begun, not written again": {known: true, soon: true, then: true, late: false},
		"ended, removed again":     {copied: true, rewritten: true},
		"ended, not removed again": {copied: true, late: true},
		"unchanged":                {copied: true, known: true, soon: true, then: true, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := map[bool]string{true: "evacuated"}
				entries := map[string]string{"targets/other": "in 1 0"}
				if c.copied {
					entries["evacuations/a"] = state[true]
				}
				o := watchRestorable(t, entries)
				copied := o.objects.memory.Copy()
				if c.known != c.copied {
					o.objects.write("evacuations/a", state[c.known])
				}
				o.tick(2 * time.Second)
				o.objects.restore(copied)
				o.tick(time.Second)
				assert.Equal(t, o.isEvacuated("a"), c.soon, "soon")
				if c.rewritten {
					o.objects.write("evacuations/a", state[c.known])
				}
				o.tick(time.Second)
				assert.Equal(t, o.isEvacuated("a"), c.then, "then")
				o.tick(18 * time.Second)
				assert.Equal(t, o.isEvacuated("a"), c.late, "late")
			})
		})
	}
}

// TestCopyMakesNoTargetWarm checks that a target that has turned cold since the copy was made
// stays cold.
func TestCopyMakesNoTargetWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := watchRestorable(t, map[string]string{"targets/t": "in 5 0"})
		copied := o.objects.memory.Copy()
		o.objects.write("targets/t", "in 5 9000")
		o.tick(2 * time.Second)
		o.objects.restore(copied)
		o.tick(time.Second)
		cold := false
		o.config.Loop.Call(func() { cold = o.DeclaredCold("t", time.Now()) })
		assert.Assert(t, cold)
	})
}
