package store

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// followRetryMin and followRetryMax bound the pause after a failed call. A
	// pause is drawn at random up to its bound, so that watches that were cut
	// together do not return together.
	followRetryMin = 100 * time.Millisecond
	followRetryMax = 1 * time.Second
	// watchCutPause is the longest pause before the list after a watch that failed.
	watchCutPause = 30 * time.Millisecond
)

// Follower receives the objects below a prefix.
type Follower struct {
	// Listed receives all objects, after a start and whenever changes were missed.
	Listed func([]Object)
	// Changed receives changes in order.
	Changed func([]Object)
	// Contact is called after each call, with its error.
	Contact func(error)
}

// Follow lists the objects below a prefix and watches them until the context
// ends. After a watch that failed the objects are listed again: a store that
// drops its history leaves watches without a word of what changed.
func Follow(ctx context.Context, s Store, prefix string, f Follower) {
	pause := followRetryMin
	for ctx.Err() == nil {
		objects, at, err := s.List(ctx, prefix)
		if ctx.Err() != nil {
			return
		}
		f.Contact(err)
		if err != nil {
			pause = wait(ctx, pause)
			continue
		}
		pause = followRetryMin
		f.Listed(objects)
		followChanges(ctx, s, prefix, at, f)
		sleepUpTo(ctx, watchCutPause)
	}
}

// followChanges watches until a watch fails or the context ends.
func followChanges(ctx context.Context, s Store, prefix string, at int64, f Follower) {
	for {
		changes, next, err := s.Watch(ctx, prefix, at)
		if ctx.Err() != nil {
			return
		}
		f.Contact(err)
		if err != nil {
			return
		}
		at = next
		f.Changed(changes)
	}
}

// wait pauses for a random time up to the bound and returns the next bound.
func wait(ctx context.Context, bound time.Duration) time.Duration {
	sleepUpTo(ctx, bound)
	return min(max(2*bound, followRetryMin), followRetryMax)
}

func sleepUpTo(ctx context.Context, bound time.Duration) {
	timer := time.NewTimer(bound/2 + rand.N(bound/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
