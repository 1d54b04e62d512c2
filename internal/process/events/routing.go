package events

import "github.com/rs/zerolog"

// Events of routing and of the sessions between daemons.
var (
	RequestRouted     = register(2001, "request-routed", zerolog.InfoLevel, "A request was sent to the dispatcher of the target that owns its key or, for a freely placed service, of the chosen target.")
	RequestRedirected = register(2002, "request-redirected", zerolog.InfoLevel, "A dispatcher named the next owner of a key; the request is sent there at once.")
	RequestRetried    = register(2003, "request-retried", zerolog.InfoLevel, "A request that was not run is retried.")
	RequestRefused    = register(2004, "request-refused", zerolog.WarnLevel, "A request ended as not run; the target did not execute it.")
	RequestUnknown    = register(2005, "request-unknown", zerolog.WarnLevel, "A request ended as unknown; the target may have executed it.")
	RequestHedged     = register(2006, "request-hedged", zerolog.InfoLevel, "An idempotent request was also sent to a second target because the first was slow to answer.")
	ResponseCut       = register(2007, "response-cut", zerolog.WarnLevel, "The body of a response failed before its end; the caller sees a broken transfer.")
	CallerFailed      = register(2008, "caller-failed", zerolog.WarnLevel, "The HTTP server could not continue with a caller's connection, e.g. after a failed TLS handshake.")

	PeerSessionOpened  = register(2050, "peer-session-opened", zerolog.InfoLevel, "A session to another VM is open.")
	PeerSessionClosed  = register(2051, "peer-session-closed", zerolog.InfoLevel, "A session to another VM has ended.")
	PeerSessionRefused = register(2052, "peer-session-refused", zerolog.WarnLevel, "An incoming connection was rejected; no session was opened on it.")
	PeerSuspect        = register(2054, "peer-suspect", zerolog.WarnLevel, "A session to another VM has not answered a probe in time. New messages use another session, which is opened if there is none.")
	PeerUnreachable    = register(2053, "peer-unreachable", zerolog.WarnLevel, "A dial to another VM failed; it is retried after a delay.")
)

// Events of requests on VMs whose targets check fences themselves.
var (
	RequestAnswered   = register(2101, "request-answered", zerolog.InfoLevel, "A target's response was delivered to the caller.")
	RequestTurnedAway = register(2102, "request-turned-away", zerolog.WarnLevel, "A request was refused as not run; the line has the reason and the time after which the caller may retry.")
	RequestFailed     = register(2103, "request-failed", zerolog.WarnLevel, "This VM ended a request with a status of its own that does not state that the request was not run.")
	AttemptFailed     = register(2104, "attempt-failed", zerolog.InfoLevel, "An attempt at a target ended without a usable response; the line has the result and whether the request may have run.")
	TargetLeaving     = register(2120, "target-leaving", zerolog.InfoLevel, "A target has said in a response that it is leaving; this VM sends it no more requests.")
	TargetBackoff     = register(2121, "target-backoff", zerolog.InfoLevel, "A target that refused a request has asked for a back-off; until its end this VM sends it no requests. Logged once for each back-off.")
	TargetSilent      = register(2122, "target-silent", zerolog.WarnLevel, "A target has not answered a request, though it answers others: it drops what it cannot queue. It gets no requests until it answers or a back-off has passed.")
	CallerLeft        = register(2105, "caller-left", zerolog.InfoLevel, "A caller closed its connection before it had received its response.")
)
