package store

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// followRetryMin and followRetryMax are the first and the largest bound of the
	// pause after a failed list call; the bound doubles after each failure. Each
	// pause is random, between half of its bound and the bound, so that
	// followers that lost the store together do not all return at once.
	followRetryMin = 100 * time.Millisecond
	followRetryMax = 500 * time.Millisecond
	// relistPause bounds the pause between a failed watch and the next list.
	relistPause = 30 * time.Millisecond
)

// Follower receives the objects whose names begin with a prefix. Its functions are
// called from the goroutine that runs Follow.
type Follower struct {
	// Listed receives all objects, and the version of the list, at the start and whenever
	// changes may have been missed.
	Listed func(objects []Object, version int64)
	// Changed receives later changes in order; none if the store has confirmed that there
	// are none.
	Changed func([]Object)
	// Contact is called after each call to the store, with its error or nil.
	Contact func(error)
}

// Follow lists the objects whose names begin with a prefix and watches them until
// the context ends. After a failed watch it lists them again, because a store that
// has dropped its history cannot tell what changed in between.
func Follow(ctx context.Context, s Store, prefix string, f Follower) {
	bound := followRetryMin
	for ctx.Err() == nil {
		objects, revision, err := s.List(ctx, prefix)
		if ctx.Err() != nil {
			return
		}
		f.Contact(err)
		if err != nil {
			bound = backoff(ctx, bound)
			continue
		}
		bound = followRetryMin
		f.Listed(objects, revision)
		followChanges(ctx, s, prefix, revision, f)
		sleepJittered(ctx, relistPause)
	}
}

// followChanges watches until a watch fails or the context ends.
func followChanges(ctx context.Context, s Store, prefix string, revision int64, f Follower) {
	for {
		changes, next, err := s.Watch(ctx, prefix, revision)
		if ctx.Err() != nil {
			return
		}
		f.Contact(err)
		if err != nil {
			return
		}
		revision = next
		f.Changed(changes)
	}
}

// backoff pauses for a random time (see sleepJittered) and returns the bound of the
// next pause, which is twice as long, up to followRetryMax.
func backoff(ctx context.Context, bound time.Duration) time.Duration {
	sleepJittered(ctx, bound)
	return min(max(2*bound, followRetryMin), followRetryMax)
}

// sleepJittered sleeps for a random time between half of bound and bound, or until
// the context ends.
func sleepJittered(ctx context.Context, bound time.Duration) {
	timer := time.NewTimer(bound/2 + rand.N(bound/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
