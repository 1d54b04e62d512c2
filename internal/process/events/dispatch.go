package events

import "github.com/rs/zerolog"

// Events of requests at the dispatcher and of how its targets respond.
var (
	DispatchAnswered = register(3001, "dispatch-answered", zerolog.InfoLevel, "A request was sent to its target and answered; logged when decisions are logged.")
	DispatchRefused  = register(3002, "dispatch-refused", zerolog.WarnLevel, "A request was refused as not run; the reason says why. Logged when decisions are logged.")
	DispatchUnknown  = register(3003, "dispatch-unknown", zerolog.WarnLevel, "A request was sent to its target and no complete response arrived; it may have run. Logged when decisions are logged.")
	DispatchJoined   = register(3004, "dispatch-joined", zerolog.InfoLevel, "A request with a known Idempotency-Key received the result of the first request with that key. Logged when decisions are logged.")
	TargetCold       = register(3010, "target-cold", zerolog.InfoLevel, "A target is treated as cold; its limit of requests in flight restarts at the cold-start slots.")
	TargetWarm       = register(3011, "target-warm", zerolog.InfoLevel, "A target has completed its cold start and accepts requests in all of its slots.")
	TargetInherited  = register(3012, "target-inherited", zerolog.InfoLevel, "Dispatch to a target was taken over; requests in flight from its former dispatcher still occupy slots.")
	TargetStalled    = register(3013, "target-stalled", zerolog.WarnLevel, "A target has not answered a request for much longer than usual; it is treated as cold until it answers in time again.")
	TargetStraggling = register(3014, "target-straggling", zerolog.WarnLevel, "A target answers much more slowly than it usually does; its slices may be moved away.")
	TargetRecovered  = register(3015, "target-recovered", zerolog.InfoLevel, "A straggling target answers as fast as usual again.")
)
