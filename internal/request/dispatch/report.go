package dispatch

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// report counts a served request and, if asked for, logs the decision.
func (d *Dispatcher) report(from peer.Peer, request *peerv1.Request, done *result, took time.Duration) {
	kind := outcome.FromWire(done.response.Outcome)
	d.config.Metrics.Tagged(map[string]string{
		"service": request.Service, "outcome": kind.String(), "reason": done.response.Reason,
	}).Counter("dispatch_requests").Inc(1)
	if !d.config.LogDecisions {
		return
	}
	eventOf(kind, done.joined).Log(&d.config.Logger).
		Str("request_id", request.RequestId).Str("entry", from.VM).
		Str("service", request.Service).Str("target", request.Target).Str("key", request.Key).
		Str("class", request.TrafficClass).Str("outcome", kind.String()).Str("reason", done.response.Reason).
		Uint32("status", done.response.Status).Str("redirect", done.response.GetRedirect().GetDispatcher()).
		Dur("queued", done.queued).Dur("service_time", done.service).Dur("total", took).Send()
}

func eventOf(kind outcome.Kind, joined bool) events.Event {
	switch {
	case joined:
		return events.DispatchJoined
	case kind == outcome.Answered:
		return events.DispatchAnswered
	case kind == outcome.NotRun:
		return events.DispatchRefused
	}
	return events.DispatchUnknown
}
