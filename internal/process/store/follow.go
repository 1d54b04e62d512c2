package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// followRetryMin and followRetryMax bound the pause after a failed call. A
	// pause is drawn at random up to its bound, so that watches that were cut
	// together do not return together.
	followRetryMin = 100 * time.Millisecond
	followRetryMax = 1 * time.Second
	// watchCutPause is the longest pause before a watch that was cut is resumed.
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
// ends. A watch that is cut resumes where it was; the objects are listed again
// only if the store has dropped that part of its history.
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
	}
}

// followChanges watches until the history is gone or the context ends.
func followChanges(ctx context.Context, s Store, prefix string, at int64, f Follower) {
	pause := watchCutPause
	for {
		changes, next, err := s.Watch(ctx, prefix, at)
		if ctx.Err() != nil {
			return
		}
		f.Contact(err)
		if fault.Is(err, fault.Conflict) {
			sleepUpTo(ctx, watchCutPause)
			return
		}
		if err != nil {
			pause = wait(ctx, pause)
			continue
		}
		pause = watchCutPause
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
