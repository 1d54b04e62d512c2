// Package storetest provides the conformance test for implementations of the
// store.
package storetest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

// watchTimeout bounds the time in which a watch must deliver all changes.
const watchTimeout = 5 * time.Second

// CountingStore is a store under test that also counts its calls.
type CountingStore interface {
	store.Store
	store.Counter
}

// Run checks the guarantees that package store documents. open must return an
// empty store each time.
func Run(t *testing.T, open func(t *testing.T) CountingStore) {
	t.Run("conditional writes", func(t *testing.T) { conditionalWrites(t, open(t)) })
	t.Run("list", func(t *testing.T) { list(t, open(t)) })
	t.Run("watch", func(t *testing.T) { watch(t, open(t)) })
	t.Run("watch ends with its context", func(t *testing.T) { watchEnds(t, open(t)) })
	t.Run("one winner per version", func(t *testing.T) { oneWinner(t, open(t)) })
	t.Run("size limit", func(t *testing.T) { sizeLimit(t, open(t)) })
	t.Run("calls", func(t *testing.T) { calls(t, open(t)) })
}

func conditionalWrites(t *testing.T, s CountingStore) {
	ctx := t.Context()
	_, err := s.Get(ctx, "cells/a/0")
	assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)

	first, err := s.Put(ctx, "cells/a/0", []byte("one"), store.Absent)
	assert.NilError(t, err)
	assert.Assert(t, first > 0)
	_, err = s.Put(ctx, "cells/a/0", []byte("two"), store.Absent)
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)

	second, err := s.Put(ctx, "cells/a/0", []byte("two"), first)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	found, err := s.Get(ctx, "cells/a/0")
	assert.NilError(t, err)
	assert.DeepEqual(t, found, store.Object{Name: "cells/a/0", Version: second, Value: []byte("two")})

	err = s.Delete(ctx, "cells/a/0", first)
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
	assert.NilError(t, s.Delete(ctx, "cells/a/0", second))
	err = s.Delete(ctx, "cells/a/0", second)
	assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)

	third, err := s.Put(ctx, "cells/a/0", []byte("three"), store.Absent)
	assert.NilError(t, err)
	assert.Assert(t, third > second+1, "the deletion has a version of its own")
}

func list(t *testing.T, s CountingStore) {
	ctx := t.Context()
	var last int64
	for _, name := range []string{"vms/b", "vms/a", "cells/x/0"} {
		version, err := s.Put(ctx, name, []byte(name), store.Absent)
		assert.NilError(t, err)
		last = version
	}
	found, revision, err := s.List(ctx, "vms/")
	assert.NilError(t, err)
	assert.Equal(t, revision, last)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Name, "vms/a")
	assert.Equal(t, string(found[1].Value), "vms/b")
}

func watch(t *testing.T, s CountingStore) {
	ctx, cancel := context.WithTimeout(t.Context(), watchTimeout)
	defer cancel()
	_, after, err := s.List(ctx, "vms/")
	assert.NilError(t, err)
	go func() {
		version, _ := s.Put(ctx, "vms/a", []byte("1"), store.Absent)
		_, _ = s.Put(ctx, "other", []byte("1"), store.Absent)
		version, _ = s.Put(ctx, "vms/a", []byte("2"), version)
		_ = s.Delete(ctx, "vms/a", version)
	}()
	var last store.Object
	for !last.Deleted {
		changes, revision, err := s.Watch(ctx, "vms/", after)
		assert.NilError(t, err)
		assert.Assert(t, ctx.Err() == nil, "the change was not delivered in time")
		assert.Assert(t, revision > after)
		for _, change := range changes {
			assert.Equal(t, change.Name, "vms/a")
			assert.Assert(t, change.Version > last.Version, "changes must arrive in order")
			last = change
		}
		after = revision
	}
}

func watchEnds(t *testing.T, s CountingStore) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	changes, revision, err := s.Watch(ctx, "vms/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, revision, int64(0))
}

func oneWinner(t *testing.T, s CountingStore) {
	const writers, rounds = 8, 5
	version := store.Absent
	for range rounds {
		wins := make(chan int64, writers)
		var group sync.WaitGroup
		for i := range writers {
			group.Go(func() {
				won, err := s.Put(t.Context(), "manifest", fmt.Appendf(nil, "%d", i), version)
				if err == nil {
					wins <- won
				} else {
					assert.Check(t, fault.Is(err, fault.Conflict), "%v", err)
				}
			})
		}
		group.Wait()
		assert.Equal(t, len(wins), 1)
		version = <-wins
	}
}

func sizeLimit(t *testing.T, s CountingStore) {
	_, err := s.Put(t.Context(), "manifest", make([]byte, store.MaxValueBytes+1), store.Absent)
	assert.Assert(t, fault.Is(err, fault.Invalid), "%v", err)
	_, err = s.Put(t.Context(), "manifest", make([]byte, store.MaxValueBytes), store.Absent)
	assert.NilError(t, err)
}

func calls(t *testing.T, s CountingStore) {
	ctx := t.Context()
	version, err := s.Put(ctx, "a", nil, store.Absent)
	assert.NilError(t, err)
	_, err = s.Get(ctx, "a")
	assert.NilError(t, err)
	_, _, err = s.List(ctx, "")
	assert.NilError(t, err)
	_, _, err = s.Watch(ctx, "", 0)
	assert.NilError(t, err)
	assert.NilError(t, s.Delete(ctx, "a", version))
	assert.Equal(t, s.Calls(), store.Calls{Get: 1, Put: 1, Delete: 1, List: 1, Watch: 1})
}
