// Package timing holds the durations that the parts of the ownership protocol
// have to agree on.
package timing

import "time"

const (
	// LeaseDuration is the length of a grant and of a dispatcher's lease. The
	// holder counts it from when it sent, the waiter from when it received.
	LeaseDuration = 600 * time.Millisecond
	// RenewalInterval is the interval between renewals.
	RenewalInterval = 200 * time.Millisecond
	// DriftMargin is added by whoever waits out a lease, for clocks that run at
	// different speeds.
	DriftMargin = 60 * time.Millisecond
	// SuspicionAfter is the silence after which a takeover is prepared. It lies
	// inside the lease, so that preparation and waiting overlap.
	SuspicionAfter = 400 * time.Millisecond
)
