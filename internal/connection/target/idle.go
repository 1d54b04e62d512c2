package target

import (
	"sync"
	"time"
)

const (
	// dropsToLearn is the number of dropped connections within dropWindow that
	// show that targets forget idle connections; a single one may be a target
	// that has ended.
	dropsToLearn = 2
	dropWindow   = 2 * time.Second
	// learntFor is how long a learnt limit counts after the last drop.
	learntFor = 10 * time.Second
	// safeShare is the share of the shortest idle time of a dropped connection
	// up to which others are used.
	safeShare = 0.5
	// shortestIdle is the idle time below which a loss has another reason.
	shortestIdle = 20 * time.Millisecond
)

// IdleLimit is how long the idle connections to some targets can be used. It is
// learnt from connections that a target had dropped without notice: the request
// that is sent on one is reset, and one that is not idempotent is lost.
type IdleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
	drops int
	first time.Time
}

// dropped notes that a connection was reset at its first use after an idle time.
func (l *IdleLimit) dropped(idle time.Duration, now time.Time) {
	if l == nil || idle < shortestIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.first) > dropWindow {
		l.first, l.drops = now, 0
	}
	l.drops++
	safe := max(time.Duration(safeShare*float64(idle)), shortestIdle)
	if now.After(l.until) {
		l.limit = safe
	}
	l.limit = min(l.limit, safe)
	if l.drops >= dropsToLearn {
		l.until = now.Add(learntFor)
	}
}

// allows reports whether a connection may be used after an idle time.
func (l *IdleLimit) allows(idle time.Duration, now time.Time) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.until) || idle <= l.limit
}
