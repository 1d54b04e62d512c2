package target

import "time"

// PoolOptions holds the settings of a Pool: how its target speaks HTTP and the timeouts
// of its connections.
type PoolOptions struct {
	// RequestIDHeader is the name of the header with the request's ID. The target
	// repeats the header in its answer.
	RequestIDHeader string
	// Probe sends a health check on each new connection to learn the target's
	// incarnation. Targets that check in each request whether it is meant for them
	// need no probe.
	Probe bool
	// Unframed accepts answers whose body ends with the connection, for lack of a
	// length and of chunked encoding.
	Unframed bool
	// SkipStray skips answers to other requests, e.g. duplicates of earlier answers.
	SkipStray bool
	// DialTimeout limits the time to open a connection, including its probe.
	DialTimeout time.Duration
	// MaxIdle is how long a connection may be idle before it is closed. It should be
	// shorter than the idle timeout of the targets.
	MaxIdle time.Duration
	// IdleLimit, if not nil, is a learned limit on the idle time. Pools whose targets
	// behave alike share it.
	IdleLimit *IdleLimit
}

// DefaultPoolOptions holds the settings for targets that implement docs/TARGETS.md.
var DefaultPoolOptions = PoolOptions{
	RequestIDHeader: HeaderRequestID, Probe: true, DialTimeout: dialTimeout, MaxIdle: maxIdle,
}
