package events

import "github.com/rs/zerolog"

// Events of routing and of the sessions between daemons.
var (
	RequestRouted     = register(2001, "request-routed", zerolog.InfoLevel, "A request was sent to the dispatcher of the target that owns its key, or of the target chosen for a freely placed service.")
	RequestRedirected = register(2002, "request-redirected", zerolog.InfoLevel, "A dispatcher named the next owner of a key; the request follows at once.")
	RequestRetried    = register(2003, "request-retried", zerolog.InfoLevel, "A request that was not run is sent again.")
	RequestRefused    = register(2004, "request-refused", zerolog.WarnLevel, "A request ended as not run; the target did not execute it.")
	RequestUnknown    = register(2005, "request-unknown", zerolog.WarnLevel, "A request ended as unknown; the target may have executed it.")
	RequestHedged     = register(2006, "request-hedged", zerolog.InfoLevel, "An idempotent request that was slow to be answered was also sent to a second target.")
	ResponseCut       = register(2007, "response-cut", zerolog.WarnLevel, "The body of an answer broke; the caller sees a broken transfer.")
	CallerFailed      = register(2008, "caller-failed", zerolog.WarnLevel, "The HTTP server could not go on with a caller's connection, e.g. after a failed TLS handshake.")

	PeerSessionOpened  = register(2050, "peer-session-opened", zerolog.InfoLevel, "A session to another VM is open.")
	PeerSessionClosed  = register(2051, "peer-session-closed", zerolog.InfoLevel, "A session to another VM has ended.")
	PeerSessionRefused = register(2052, "peer-session-refused", zerolog.WarnLevel, "An incoming connection did not become a session.")
	PeerUnreachable    = register(2053, "peer-unreachable", zerolog.WarnLevel, "A dial to another VM failed; it is tried again after a delay.")
)

// Events of requests on VMs whose targets check fences themselves.
var (
	RequestAnswered   = register(2101, "request-answered", zerolog.InfoLevel, "A caller got a target's answer.")
	RequestTurnedAway = register(2102, "request-turned-away", zerolog.WarnLevel, "A request was refused as not run; the line has the reason and when the caller may come back.")
	RequestFailed     = register(2103, "request-failed", zerolog.WarnLevel, "A request got a status of this VM's own that does not say that it was not run.")
	AttemptFailed     = register(2104, "attempt-failed", zerolog.InfoLevel, "An attempt at a target brought no answer; the line has the result and whether the request may have run.")
	CallerLeft        = register(2105, "caller-left", zerolog.InfoLevel, "A caller closed its connection before it had its answer.")
)
