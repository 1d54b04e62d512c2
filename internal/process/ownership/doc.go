// Package ownership runs the protocol that keeps every key with at most one
// owner: dispatch leases with a backup and a witness, takeovers, grants to
// targets, releases of slices and handovers between dispatchers.
//
// Guarantees, under the assumptions of docs/OWNERSHIP.md:
//
//   - at most one VM has a valid dispatch lease for a target;
//   - at most one target holds an unexpired grant for a key;
//   - the fences granted for a key never go down;
//   - a release that was accepted is repeated until the record shows it.
//
// The machine is a pure state machine: its inputs are the time and an event,
// its outputs go through the output interface. It starts no goroutine and
// reads no clock. The Driver runs it on the control goroutine (package loop),
// with the calls to targets on goroutines of their own.
//
// Where to look: lease.go for heartbeats and dispatch leases, takeover.go and
// handover.go for a change of dispatcher, release.go and accept.go for a
// change of owner, withdrawal.go for taking a grant back, grant.go and loss.go
// for what is sent to targets, recovery.go for a start without a handover.
package ownership
