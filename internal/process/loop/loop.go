// Package loop runs all changes of control state on one goroutine.
//
// Control state needs no locks: code that changes it posts a function. A posted
// function must not block; I/O runs on goroutines of its own, which post their
// results back.
package loop

import (
	"context"
	"sync"
	"time"
)

// Loop runs posted functions one at a time, in the order of posting.
type Loop struct {
	mu    sync.Mutex
	queue []func()
	// posted holds one element while the queue may have functions that Run has not
	// taken.
	posted chan struct{}
	// done is closed when Run has returned.
	done   chan struct{}
	closed bool
}

// New returns a loop. Posted functions wait until Run is called.
func New() *Loop {
	return &Loop{posted: make(chan struct{}, 1), done: make(chan struct{})}
}

// Post queues a function and returns immediately. Functions posted after Run has
// returned are dropped.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	if !l.closed {
		l.queue = append(l.queue, f)
	}
	l.mu.Unlock()
	select {
	case l.posted <- struct{}{}:
	default:
	}
}

// PostAfter posts a function after a pause, at once if there is none.
func (l *Loop) PostAfter(pause time.Duration, f func()) {
	if pause <= 0 {
		l.Post(f)
		return
	}
	time.AfterFunc(pause, func() { l.Post(f) })
}

// Call runs a function on the loop and waits for it. It reports false if the
// loop has ended. A posted function must not use Call, which would deadlock.
func (l *Loop) Call(f func()) bool {
	finished := make(chan struct{})
	l.Post(func() { f(); close(finished) })
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

// Every posts a function at each interval until the context ends. It skips a tick
// while the function of the previous one is still queued.
func (l *Loop) Every(ctx context.Context, interval time.Duration, f func()) {
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		queued := make(chan struct{}, 1)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			select {
			case queued <- struct{}{}:
				l.Post(func() { <-queued; f() })
			default:
			}
		}
	}()
}

// Run executes posted functions until the context ends. It is called once.
func (l *Loop) Run(ctx context.Context) {
	defer l.close()
	for {
		for _, f := range l.takeQueue() {
			f()
		}
		select {
		case <-ctx.Done():
			return
		case <-l.posted:
		}
	}
}

func (l *Loop) takeQueue() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.queue
	l.queue = nil
	return taken
}

func (l *Loop) close() {
	l.mu.Lock()
	l.closed = true
	l.queue = nil
	l.mu.Unlock()
	close(l.done)
}
