package target

import "time"

// Form is how targets are spoken to, where that differs between deployments.
type Form struct {
	// RequestIDHeader identifies a request; the target repeats it in its answer.
	RequestIDHeader string
	// Probe asks each new connection for the target's incarnation. Targets that
	// check the identity in each request need no probe.
	Probe bool
	// Unframed accepts answers that end with their connection.
	Unframed bool
	// SkipStray reads past answers to other requests, e.g. doubled ones.
	SkipStray bool
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle closes an idle connection before a target is likely to do so.
	MaxIdle time.Duration
	// Idle, if set, is the limit learnt for all targets that share it.
	Idle *IdleLimit
}

// OwnForm is the form of docs/TARGETS.md.
var OwnForm = Form{
	RequestIDHeader: HeaderRequestID, Probe: true, DialTimeout: dialTimeout, MaxIdle: maxIdle,
}
