// Package outcome defines the closed set of outcomes of a request and the
// reasons that go with them.
//
// The set decides what may be retried: only NotRun guarantees that the target
// did not execute the request, so only NotRun may be sent again without the
// caller's word that the request is idempotent.
package outcome

import "github.com/chestnutcourse/chestnutcourse/api/peerv1"

// Kind is the outcome of a request as the caller learns it.
type Kind uint8

const (
	// Answered means that the target's complete answer was received.
	Answered Kind = iota + 1
	// NotRun means that no byte of the request reached the target, or that the
	// target itself stated that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Header carries the outcome to the caller: "answered", "not-run" or "unknown".
const Header = "Chestnutcourse-Outcome"

// ReasonHeader carries the Reason to the caller of a request that was not answered.
const ReasonHeader = "Chestnutcourse-Reason"

// String returns the value of Header for the kind.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Wire returns the kind as it travels between daemons.
func (k Kind) Wire() peerv1.Outcome {
	switch k {
	case Answered:
		return peerv1.Outcome_OUTCOME_ANSWERED
	case NotRun:
		return peerv1.Outcome_OUTCOME_NOT_RUN
	case Unknown:
		return peerv1.Outcome_OUTCOME_UNKNOWN
	}
	return peerv1.Outcome_OUTCOME_UNSPECIFIED
}

// FromWire reads a kind. A value that this version does not know is Unknown,
// the only outcome that promises nothing.
func FromWire(o peerv1.Outcome) Kind {
	switch o {
	case peerv1.Outcome_OUTCOME_ANSWERED:
		return Answered
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return NotRun
	}
	return Unknown
}

// Reason says why a request was refused or its outcome is unknown. The values
// are stable: callers and operators act on them (docs/CALLERS.md).
type Reason string

const (
	// NoService: no service of the manifest matches the request.
	NoService Reason = "no-service"
	// NoKey: the request carries no key where the manifest expects it.
	NoKey Reason = "no-key"
	// BadRequest: a header of the request cannot be read.
	BadRequest Reason = "bad-request"
	// NoRoute: no target owns the key at the moment.
	NoRoute Reason = "no-route"
	// NotOwner: this dispatcher does not hold the key; a redirect may follow.
	NotOwner Reason = "not-owner"
	// LeaseLapsed: the dispatcher may not send to the target at the moment.
	LeaseLapsed Reason = "lease-lapsed"
	// QueueFull: the bounded queue of the target is full.
	QueueFull Reason = "queue-full"
	// WouldBeLate: the request cannot finish before its deadline.
	WouldBeLate Reason = "would-be-late"
	// DeadlinePassed: the deadline passed before the request was sent or answered.
	DeadlinePassed Reason = "deadline-passed"
	// TargetShed: the target refused the request without running it.
	TargetShed Reason = "target-shed"
	// TargetFenced: the target refused the fence, epoch or latest start.
	TargetFenced Reason = "target-fenced"
	// TargetUnreachable: no connection to the target could be opened.
	TargetUnreachable Reason = "target-unreachable"
	// TargetBroken: the connection to the target broke after the request was
	// sent, or its answer was short, crossed or malformed.
	TargetBroken Reason = "target-broken"
	// PeerUnreachable: the dispatcher's VM could not be reached.
	PeerUnreachable Reason = "peer-unreachable"
	// PeerLost: the session to the dispatcher broke after the request was sent.
	PeerLost Reason = "peer-lost"
	// AnswerNotKept: a request with the same Idempotency-Key was answered, and
	// its answer was too large to be kept for duplicates.
	AnswerNotKept Reason = "answer-not-kept"
	// Canceled: the caller went away.
	Canceled Reason = "canceled"
	// Draining: the VM or the target is leaving and takes no new work.
	Draining Reason = "draining"
	// CutOff: this VM has lost touch with the store and its peers.
	CutOff Reason = "cut-off"
	// TooLarge: the body exceeds the service's limit.
	TooLarge Reason = "too-large"
)
