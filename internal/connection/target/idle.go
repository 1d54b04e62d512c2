package target

import (
	"slices"
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
	// minIdleLimit is the smallest limit that is learned. Connections that are reset after
	// a shorter idle time, new ones among them, have not been dropped for being idle.
	minIdleLimit = 20 * time.Millisecond
)

// IdleLimit limits how long a connection may be idle before its next use. The limit is
// learned from connections that targets have dropped without closing them: a request
// sent on such a connection is answered by a reset, and cannot be retried if it is not
// idempotent. The zero value has no limit yet; a nil *IdleLimit never has one.
//
// Targets that are full may reset connections as well. They reset new ones too, so what a
// target resets within dropWindow of that teaches nothing. Otherwise a burst would make
// every request open a connection.
type IdleLimit struct {
	mu sync.Mutex
	// drops are the recent resets that may be due to idleness, the latest last.
	drops []drop
	// busyResetAt is when a target last reset a connection that had not been idle.
	busyResetAt map[*Pool]time.Time
	// limit is learned from drops; it is in force until validUntil.
	limit      time.Duration
	validUntil time.Time
}

// drop is a reset of a connection at its first use after it had been idle.
type drop struct {
	by   *Pool
	idle time.Duration
	at   time.Time
}

// recordReset records that a target reset a connection at its use after it had been idle
// for the given time, 0 for a new one.
func (l *IdleLimit) recordReset(by *Pool, idle time.Duration, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drops = slices.DeleteFunc(l.drops, func(d drop) bool { return now.Sub(d.at) > learnedLimitLifetime })
	for pool, at := range l.busyResetAt {
		if now.Sub(at) > dropWindow {
			delete(l.busyResetAt, pool)
		}
	}
	switch _, busy := l.busyResetAt[by]; {
	case idle < minIdleLimit:
		if l.busyResetAt == nil {
			l.busyResetAt = map[*Pool]time.Time{}
		}
		l.busyResetAt[by] = now
		l.drops = slices.DeleteFunc(l.drops, func(d drop) bool { return d.by == by && now.Sub(d.at) <= dropWindow })
	case !busy:
		l.drops = append(l.drops, drop{by, idle, now})
	}
	l.learn()
}

// learn sets the limit by the drops. The caller holds mu.
func (l *IdleLimit) learn() {
	l.limit, l.validUntil = 0, time.Time{}
	for i := range l.drops {
		last := l.drops[i]
		if i < dropsToLearn-1 || last.at.Sub(l.drops[i-dropsToLearn+1].at) > dropWindow {
			continue
		}
		l.validUntil = last.at.Add(learnedLimitLifetime)
	}
	if l.validUntil.IsZero() {
		return
	}
	shortest := slices.MinFunc(l.drops, func(a, b drop) int { return int(a.idle - b.idle) }).idle
	l.limit = max(time.Duration(safeIdleShare*float64(shortest)), minIdleLimit)
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
