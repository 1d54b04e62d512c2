package entry

import (
	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

// decision begins a log line about the request.
func (x *exchange) decision(event events.Event) *zerolog.Event {
	line := event.Log(&x.handler.config.Logger).Str("request", x.id)
	if x.service != nil {
		line = line.Str("service", x.service.Declared.Name).Str("key", x.params.key)
	}
	return line
}

// logRouted writes where an attempt goes and why.
func (x *exchange) logRouted(d destination, history *history) {
	if !x.handler.config.LogDecisions {
		return
	}
	x.decision(events.RequestRouted).
		Str("cell", d.route.Cell).Int64("assignment", d.route.Version).
		Str("target", d.route.Target).Uint64("fence", d.route.Fence).
		Str("dispatcher", d.vm).Str("by", d.by).
		Int("redirects", history.redirects).Int("retries", history.retries).Int("repairs", history.repairs).Send()
}

// logEvent writes a log line with a reason.
func (x *exchange) logEvent(event events.Event, reason outcome.Reason) {
	if x.handler.config.LogDecisions {
		x.decision(event).Str("reason", string(reason)).Send()
	}
}

// report counts the outcome of the request and logs all but answers.
func (x *exchange) report(r result) {
	x.handler.metrics.record(x, r)
	switch r.kind {
	case outcome.NotRun:
		x.logEvent(events.RequestRefused, r.reason)
	case outcome.Unknown:
		x.logEvent(events.RequestUnknown, r.reason)
	}
}
