package target

import (
	"sync"
	"time"
)

const (
	// dropsToLearn is the number of dropped connections within dropWindow after
	// which targets are assumed to drop idle connections. A single one may come from
	// a target that has stopped.
	dropsToLearn = 2
	dropWindow   = 2 * time.Second
	// learnedLimitLifetime is how long a learned limit stays in force after the last drop.
	learnedLimitLifetime = 10 * time.Second
	// safeIdleShare is the learned limit as a share of the shortest idle time after which
	// a connection was found dropped.
	safeIdleShare = 0.5
	// minIdleLimit is the smallest limit that is learned. Drops after a shorter idle
	// time have another cause and are ignored.
	minIdleLimit = 20 * time.Millisecond
)

// IdleLimit limits how long a connection may be idle before its next use. The limit is
// learned from connections that targets have dropped without closing them: a request
// sent on such a connection is answered by a reset, and cannot be retried if it is not
// idempotent. The zero value has no limit yet; a nil *IdleLimit never has one.
type IdleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	// validUntil is when the limit expires.
	validUntil time.Time
	// drops counts the drops since windowStart.
	drops       int
	windowStart time.Time
}

// recordDrop records that a connection was reset at its first use after being idle for
// the given time.
func (l *IdleLimit) recordDrop(idle time.Duration, now time.Time) {
	if l == nil || idle < minIdleLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > dropWindow {
		l.windowStart, l.drops = now, 0
	}
	l.drops++
	safe := max(time.Duration(safeIdleShare*float64(idle)), minIdleLimit)
	if now.After(l.validUntil) {
		l.limit = safe
	}
	l.limit = min(l.limit, safe)
	if l.drops >= dropsToLearn {
		l.validUntil = now.Add(learnedLimitLifetime)
	}
}

// allows reports whether a connection that was idle for the given time may be used.
func (l *IdleLimit) allows(idle time.Duration, now time.Time) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.validUntil) || idle <= l.limit
}
