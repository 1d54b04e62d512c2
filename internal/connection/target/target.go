// Package target is the HTTP client for targets. It sends requests, grants,
// revocations and health checks. docs/TARGETS.md specifies the protocol.
package target

import (
	"context"

	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
)

// Headers of requests to targets and of their answers.
const (
	// HeaderRequestID is the ID of the request. The target repeats it in its answer.
	HeaderRequestID = "Chestnutcourse-Request-Id"
	// HeaderFence and HeaderEpoch let the target reject a sender whose assignment is
	// outdated.
	HeaderFence = "Chestnutcourse-Fence"
	HeaderEpoch = "Chestnutcourse-Epoch"
	// HeaderKey is the key, extracted from the request as the manifest specifies.
	HeaderKey = "Chestnutcourse-Key"
	// HeaderDeadline is the caller's deadline in milliseconds since the Unix epoch.
	HeaderDeadline = "Chestnutcourse-Deadline"
	// HeaderLatestStart is the latest time at which the target may start to run the
	// request, in milliseconds since the Unix epoch.
	HeaderLatestStart = "Chestnutcourse-Latest-Start"
	// HeaderNotRun is set by a target that rejects a request without running it. The
	// value is the reason: "shed", "fenced", "late", "draining" or "cold".
	HeaderNotRun = "Chestnutcourse-Not-Run"
	// HeaderIncarnation is the target's incarnation. It is set in every answer.
	HeaderIncarnation = "Chestnutcourse-Incarnation"
)

// Paths of the control endpoints of a target.
const (
	PathGrant  = "/chestnutcourse/v1/grant"
	PathRevoke = "/chestnutcourse/v1/revoke"
	PathHealth = "/chestnutcourse/v1/health"
)

// GrantedSlice is a slice and its fence, as sent to the target.
type GrantedSlice struct {
	First uint64 `json:"first,string"`
	Last  uint64 `json:"last,string"`
	Key   string `json:"key,omitempty"`
	Fence uint64 `json:"fence"`
}

// Grant grants a target the whole set of slices that it owns, or renews that grant.
type Grant struct {
	Epoch uint64 `json:"epoch"`
	// SetNumber identifies a set of slices within its epoch. A renewal repeats the
	// number and leaves Slices nil.
	SetNumber uint64 `json:"setNumber"`
	// DurationMillis is how long the grant lasts from its receipt.
	DurationMillis int64 `json:"durationMillis"`
	// NotAfter is the latest end of the grant, in milliseconds since the Unix epoch.
	// Without it, a target that was frozen would count the whole duration from the
	// time at which it reads a grant that had been waiting in its socket buffer.
	NotAfter int64 `json:"notAfter"`
	// Slices is the whole set. If it is nil, the set with the same number is renewed.
	Slices []GrantedSlice `json:"slices"`
}

// GrantReply is the target's answer to a grant.
type GrantReply struct {
	Incarnation string `json:"incarnation"`
	// NeedSet requests the whole set, because the target does not have the set that
	// was to be renewed.
	NeedSet bool `json:"needSet,omitempty"`
	// Refused is set if the grant's epoch is lower than HighestEpoch.
	Refused bool `json:"refused,omitempty"`
	// HighestEpoch is the highest epoch that the target knows. It is set only if the
	// grant is refused.
	HighestEpoch uint64 `json:"highestEpoch,omitempty"`
}

// Revocation revokes the grant of slices. The target answers once it has stopped
// accepting requests for them.
type Revocation struct {
	Epoch  uint64         `json:"epoch"`
	Slices []GrantedSlice `json:"slices"`
}

// Health is a target's report about itself. It may be outdated or wrong.
type Health struct {
	Incarnation string  `json:"incarnation"`
	Ready       bool    `json:"ready"`
	Leaving     bool    `json:"leaving,omitempty"`
	Load        float64 `json:"load"`
}

// Controller sends control requests to targets by address. The error of a call that
// the target did not answer is of kind fault.Unavailable if the connection was refused
// (no process listens at the address) and of kind fault.UnknownOutcome otherwise.
type Controller interface {
	Grant(ctx context.Context, address string, grant Grant) (GrantReply, error)
	Revoke(ctx context.Context, address string, revocation Revocation) error
	Health(ctx context.Context, address string) (Health, error)
}

// GrantedSliceOf returns the slice and its fence as sent to targets.
func GrantedSliceOf(s *assignment.Slice, fence uint64) GrantedSlice {
	return GrantedSlice{First: s.First, Last: s.Last, Key: s.Key, Fence: fence}
}
