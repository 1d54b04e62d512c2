// Package rights defines the immutable table from which the traffic side of a
// dispatcher reads what it may send where.
//
// The control goroutine publishes a new Table after every change. Only the
// lease end inside a Target changes between tables, as an atomic value.
package rights

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// Table holds the rights of this VM, by target. It is never changed.
type Table struct {
	Targets map[string]*Target
	// Redirects tells, by cell, of slices that this VM has released and the
	// record does not show yet; the traffic side answers with them.
	Redirects map[string][]Redirect
}

// Target is the right to dispatch to one target at one epoch.
type Target struct {
	Name  string
	Cell  string
	Epoch uint64
	// Lease is shared by the tables of one epoch and renewed in place.
	Lease *Lease
	// Free is set for targets of freely placed services: every request may go there.
	Free bool
	// Leaving is set when the target is to take no new work. LeavingSince is when this VM
	// learnt of it, by Monotonic, whoever dispatched to the target then.
	Leaving      bool
	LeavingSince time.Duration
	// Slices are the granted slices, ranges sorted by First, then hot keys.
	Slices []Held
}

// Held is a slice granted to a target.
type Held struct {
	Slice assignment.Slice
	// Fence is the fence of the grant, carried by every request.
	Fence uint64
	// Paused is set while the slice is being moved: new requests wait.
	Paused bool
}

// Redirect names who serves a slice that this VM has passed on: the next owner of a
// released one, or the next dispatcher of the same owner.
type Redirect struct {
	Slice  assignment.Slice
	Target string
	// Dispatcher dispatches to the target at Epoch.
	Dispatcher string
	Fence      uint64
	Epoch      uint64
}

func (r *Redirect) recency() assignment.Recency {
	return assignment.Recency{Fence: r.Fence, Epoch: r.Epoch}
}

// Lease is the end of a dispatch right on the monotonic clock of this process.
type Lease struct{ end atomic.Int64 }

// started anchors the monotonic clock of the process.
var started = time.Now()

// Monotonic returns the time since the process started, unaffected by changes
// of the wall clock.
func Monotonic() time.Duration { return time.Since(started) }

// revoked is the end of a lease that was revoked.
const revoked = math.MinInt64

// Extend moves the end of the lease forward; it never moves it back, nor does
// it revive a revoked lease.
func (l *Lease) Extend(end time.Duration) {
	for {
		old := l.end.Load()
		if int64(end) <= old || old == revoked || l.end.CompareAndSwap(old, int64(end)) {
			return
		}
	}
}

// Revoke ends the lease for good.
func (l *Lease) Revoke() { l.end.Store(revoked) }

// Remaining returns the time until the lease ends, negative once it has lapsed.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	end := l.end.Load()
	if end == revoked {
		return -1
	}
	return time.Duration(end) - now
}

// Valid reports whether a request may be written to the target now.
func (l *Lease) Valid() bool { return l.Remaining(Monotonic()) > 0 }

// Find returns the held slice of a key, hot keys first, or nil.
func (t *Target) Find(key string, hash uint64) *Held {
	var found *Held
	for i := range t.Slices {
		held := &t.Slices[i]
		if !held.Slice.Contains(key, hash) {
			continue
		}
		if held.Slice.Key != "" {
			return held
		}
		found = held
	}
	return found
}

// FindRedirect returns the newest redirect of a key of a cell, or nil.
func (t *Table) FindRedirect(cell, key string, hash uint64) *Redirect {
	var newest *Redirect
	redirects := t.Redirects[cell]
	for i := range redirects {
		r := &redirects[i]
		if r.Slice.Contains(key, hash) && (newest == nil || newest.recency().Before(r.recency())) {
			newest = r
		}
	}
	return newest
}
