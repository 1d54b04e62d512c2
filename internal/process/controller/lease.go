package controller

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// LeasePrefix is the prefix of the store objects that hold controller leases.
const LeasePrefix = "leases/"

const (
	// leaseRenewal is the interval between the holder's renewals. With 200
	// cells this makes 100 writes a second in the store.
	leaseRenewal = 2 * time.Second
	// leasePoll is the interval between a candidate's looks at the lease. With
	// 200 cells of three candidates this makes 200 reads a second.
	leasePoll = 2 * time.Second
	// leaseExpiry is the time without a new version after which a candidate
	// takes the lease. It counts on the candidate's own clock.
	leaseExpiry = 6 * time.Second
	// challengedExpiry takes the place of leaseExpiry while dispatchers turn to
	// a candidate because the holder does not answer them.
	challengedExpiry = leaseRenewal + time.Second
	// challengeFresh is how long a dispatcher's turning to a candidate counts.
	challengeFresh = 4 * time.Second
	// minChallengers is the number of dispatchers that have to do so; one alone
	// may be cut off from the holder.
	minChallengers = 2
	// candidateStagger delays each lower-ranked candidate, so that they do not
	// write at once.
	candidateStagger = time.Second
	// candidateCount is the number of VMs per cell that look at its lease.
	candidateCount = 3
)

// Lease is the value of a lease object. It names who plans a cell. The lease
// saves writes; ownership does not rest on it.
type Lease struct {
	Holder assignment.Holder `json:"holder"`
	// OperationID tells the writer's own write after a lost answer.
	OperationID string `json:"operationId"`
}

// LeaseName returns the name of the lease object of a cell.
func LeaseName(cellID string) string { return LeasePrefix + cellID }

// Candidates returns the VMs that may control a cell, in the order in which
// they are asked: the same on every VM with the same snapshot.
func Candidates(cellID, region string, snapshot *routing.Snapshot) []string {
	var names []string
	for name, vm := range snapshot.VMs {
		if vm.Region == region && mayWork(snapshot, &vm) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxh3.HashString(cellID+"\x00"+a), xxh3.HashString(cellID+"\x00"+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names[:min(len(names), candidateCount)]
}

// mayWork reports whether a VM may hold rights: it is not leaving, not drained,
// and its failure domain is not out.
func mayWork(snapshot *routing.Snapshot, vm *routing.VM) bool {
	if vm.Leaving || slices.Contains(snapshot.Manifest.DrainVMs, vm.Name) {
		return false
	}
	domain := snapshot.Domains[vm.FailureDomain]
	return domain == nil || !domain.Out
}

// leaseState is what a candidate knows of a cell's lease.
type leaseState struct {
	held    bool
	version int64
	value   Lease
	// unchangedSince is when this version was first seen.
	unchangedSince time.Time
	// nextCall is when the store is asked again.
	nextCall time.Time
	busy     bool
	// challengers are the dispatchers that sent their reports here instead of to
	// the holder, with the time of the last one.
	challengers map[string]time.Time
}

// challenge notes that a dispatcher turned to this candidate, and has the lease
// looked at.
func (l *leaseState) challenge(vm string, now time.Time) {
	if l.challengers == nil {
		l.challengers = map[string]time.Time{}
	}
	l.challengers[vm] = now
	if l.challenged(now) {
		l.nextCall = time.Time{}
	}
}

// challenged reports whether enough dispatchers cannot reach the holder.
func (l *leaseState) challenged(now time.Time) bool {
	fresh := 0
	for vm, at := range l.challengers {
		if now.Sub(at) < challengeFresh {
			fresh++
		} else {
			delete(l.challengers, vm)
		}
	}
	return fresh >= minChallengers
}

// leaseResult is the outcome of a store call on a lease.
type leaseResult struct {
	version int64
	value   Lease
	err     error
}

// tickLease takes, renews, watches or gives up the lease of a cell.
func (c *cell) tickLease(now time.Time, rank int, leaving bool) {
	l := &c.lease
	switch {
	case l.busy:
	case l.held && leaving:
		c.deleteLease()
	case l.held && !now.Before(l.nextCall):
		c.putLease(now)
	case !l.held && rank >= 0 && !leaving && !now.Before(l.nextCall):
		if c.leaseFree(now, rank) {
			c.putLease(now)
		} else {
			c.getLease(now)
		}
	}
}

// leaseFree reports whether a candidate may take the lease now.
func (c *cell) leaseFree(now time.Time, rank int) bool {
	if c.lease.unchangedSince.IsZero() {
		return false // Never looked at.
	}
	if c.lease.version == store.Absent {
		return now.Sub(c.lease.unchangedSince) >= time.Duration(rank)*candidateStagger
	}
	return c.leaseLapsed(now, rank)
}

// leaseLapsed reports whether the holder has not renewed in time, or is known
// to have been restarted or to have left.
func (c *cell) leaseLapsed(now time.Time, rank int) bool {
	unchanged := now.Sub(c.lease.unchangedSince)
	stagger := time.Duration(rank) * candidateStagger
	expiry := leaseExpiry
	if c.lease.challenged(now) {
		expiry = challengedExpiry
	}
	if unchanged >= expiry+stagger {
		return true
	}
	vm, known := c.owner.snapshot().VMs[c.lease.value.Holder.VM]
	restarted := known && vm.Incarnation != c.lease.value.Holder.Incarnation
	return restarted && unchanged >= stagger+leasePoll
}

// holder returns the VM that controls the cell as far as this VM knows: "" if
// it does not look at the lease, so that nobody is sent where it once was.
func (c *cell) holder(snapshot *routing.Snapshot) string {
	if !c.lease.held && (snapshot == nil || c.rank(snapshot) < 0 || c.lease.value.Holder == c.owner.config.Self) {
		return ""
	}
	return c.lease.value.Holder.VM
}

// putLease writes the lease under this VM's name.
func (c *cell) putLease(now time.Time) {
	l := &c.lease
	l.busy = true
	l.nextCall = now.Add(leaseRenewal)
	value := Lease{Holder: c.owner.config.Self, OperationID: uuid.NewString()}
	expected, name := l.version, LeaseName(c.id)
	c.owner.call(func(ctx context.Context) func() {
		result := putLease(ctx, c.owner.config.Store, name, value, expected)
		return func() { c.leaseRead(result) }
	})
}

// putLease writes a lease; a lost answer is resolved by reading back.
func putLease(ctx context.Context, s store.Store, name string, value Lease, expected int64) leaseResult {
	encoded, err := json.Marshal(value)
	if err != nil {
		return leaseResult{err: err}
	}
	version, err := s.Put(ctx, name, encoded, expected)
	if err == nil {
		return leaseResult{version: version, value: value}
	}
	if !fault.Is(err, fault.UnknownOutcome) && !fault.Is(err, fault.Conflict) {
		return leaseResult{err: err}
	}
	return readLease(ctx, s, name)
}

// readLease reads a lease; a missing one has version store.Absent.
func readLease(ctx context.Context, s store.Store, name string) leaseResult {
	object, err := s.Get(ctx, name)
	if fault.Is(err, fault.NotFound) {
		return leaseResult{version: store.Absent}
	}
	if err != nil {
		return leaseResult{err: err}
	}
	result := leaseResult{version: object.Version}
	if err := json.Unmarshal(object.Value, &result.value); err != nil {
		// A damaged lease belongs to nobody and lapses like any other.
		result.value = Lease{}
	}
	return result
}

// getLease looks at the lease.
func (c *cell) getLease(now time.Time) {
	c.lease.busy = true
	c.lease.nextCall = now.Add(leasePoll)
	name := LeaseName(c.id)
	c.owner.call(func(ctx context.Context) func() {
		result := readLease(ctx, c.owner.config.Store, name)
		return func() { c.leaseRead(result) }
	})
}

// leaseRead takes over what the store says of the lease.
func (c *cell) leaseRead(result leaseResult) {
	l := &c.lease
	l.busy = false
	if result.err != nil {
		// Nothing was learnt: the holder goes on, since its conditional writes
		// are safe, and a candidate must not count this time as silence.
		if !l.held {
			l.unchangedSince = c.owner.now()
		}
		return
	}
	if result.version != l.version || l.unchangedSince.IsZero() {
		l.unchangedSince = c.owner.now()
	}
	l.version, l.value = result.version, result.value
	if l.version == store.Absent {
		l.nextCall = time.Time{} // Taken with the next tick that the rank allows.
	}
	held := result.version != store.Absent && l.value.Holder == c.owner.config.Self
	switch {
	case held && !l.held:
		l.held = true
		c.elected()
	case !held && l.held:
		l.held = false
		c.superseded()
	}
}

// deleteLease gives the lease up, so that another VM takes it at once.
func (c *cell) deleteLease() {
	l := &c.lease
	l.busy = true
	expected, name := l.version, LeaseName(c.id)
	c.owner.call(func(ctx context.Context) func() {
		err := c.owner.config.Store.Delete(ctx, name, expected)
		return func() {
			l.busy = false
			if err != nil && !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.Conflict) {
				return // Tried again with the next tick.
			}
			l.held, l.version, l.value = false, store.Absent, Lease{}
			c.released()
		}
	})
}
