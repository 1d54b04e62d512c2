package dispatch

import (
	"context"
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

// pausePoll is the interval at which a held request looks whether its slice has
// been released or resumed.
const pausePoll = 2 * time.Millisecond

// permit is the right to send one request, as read from one rights table.
type permit struct {
	target *rights.Target
	fence  uint64
	slice  sliceID
}

// refusal says why a request is not sent.
type refusal struct {
	reason   outcome.Reason
	redirect *peerv1.Redirect
	// retryAfter advises when to try again; 0 means no advice.
	retryAfter time.Duration
}

// leaseRetry is advised when the dispatch lease has lapsed: by then it has been
// renewed or the backup has taken over.
const leaseRetry = 100 * time.Millisecond

// permitFor reads the present rights. Exactly one of the results is set, or
// neither if the request's slice is paused and it has to wait.
func (d *Dispatcher) permitFor(request *peerv1.Request, hash uint64) (*permit, *refusal) {
	table := d.config.Rights()
	if table == nil {
		return nil, &refusal{reason: outcome.NotOwner}
	}
	t := table.Targets[request.Target]
	if t == nil {
		return nil, notOwner(table, request, hash)
	}
	if t.Free {
		return freePermit(t)
	}
	held := t.Find(request.Key, hash)
	if held == nil {
		return nil, notOwner(table, request, hash)
	}
	if held.Paused {
		return nil, nil
	}
	if !t.Lease.Valid() {
		return nil, &refusal{reason: outcome.LeaseLapsed, retryAfter: leaseRetry}
	}
	return &permit{target: t, fence: held.Fence, slice: sliceIDOf(held)}, nil
}

func freePermit(t *rights.Target) (*permit, *refusal) {
	if t.Leaving {
		return nil, &refusal{reason: outcome.Draining}
	}
	if !t.Lease.Valid() {
		return nil, &refusal{reason: outcome.LeaseLapsed, retryAfter: leaseRetry}
	}
	return &permit{target: t}, nil
}

// notOwner refuses a key that is not granted here, with a redirect if it was
// released to another dispatcher.
func notOwner(table *rights.Table, request *peerv1.Request, hash uint64) *refusal {
	found := table.FindRedirect(request.Cell, request.Key, hash)
	if found == nil {
		return &refusal{reason: outcome.NotOwner}
	}
	return &refusal{reason: outcome.NotOwner, redirect: &peerv1.Redirect{
		Cell: request.Cell, Target: found.Target, Dispatcher: found.Dispatcher, Fence: found.Fence, Epoch: found.Epoch,
	}}
}

// awaitPermit waits while the request's slice is paused.
func (d *Dispatcher) awaitPermit(ctx context.Context, e *endpoint, request *peerv1.Request, hash uint64) (*permit, *refusal) {
	p, r := d.permitFor(request, hash)
	if p != nil || r != nil {
		return p, r
	}
	if !e.hold() {
		return nil, &refusal{reason: outcome.QueueFull}
	}
	defer e.unhold()
	ticker := time.NewTicker(pausePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, &refusal{reason: contextReason(ctx)}
		case <-ticker.C:
		}
		if p, r := d.permitFor(request, hash); p != nil || r != nil {
			return p, r
		}
	}
}

// hold counts a request that waits for a paused slice, within the queue's bound.
func (e *endpoint) hold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holding >= e.service.Limits.QueueLength() {
		return false
	}
	e.holding++
	return true
}

func (e *endpoint) unhold() {
	e.mu.Lock()
	e.holding--
	e.mu.Unlock()
}

// hashOf returns the position of the request's key in the key space.
func hashOf(request *peerv1.Request) uint64 {
	if request.Key == "" {
		return 0
	}
	return assignment.HashKey(request.Key)
}

// takesNothingNew reports whether a leaving target has had its time to pass its slices on.
func takesNothingNew(t *rights.Target) bool {
	return t.Leaving && rights.Monotonic()-t.LeavingSince >= drainGrace
}
