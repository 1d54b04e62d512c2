package ownership

import (
	"fmt"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

// eventOf gives each kind of decision its numbered event.
var eventOf = map[decisionKind]events.Event{
	granted:             events.TargetGranted,
	grantRefused:        events.GrantRefused,
	targetSuspected:     events.TargetSuspected,
	targetGone:          events.TargetLost,
	targetFound:         events.TargetFound,
	released:            events.SliceReleased,
	acceptedRelease:     events.SliceAccepted,
	dispatcherSuspected: events.DispatcherSuspected,
	suspicionEnded:      events.SuspicionEnded,
	tookOver:            events.TargetTakenOver,
	handoverBegun:       events.HandoverBegun,
	handoverAccepted:    events.HandoverAccepted,
	recoveryBegun:       events.RecoveryBegun,
	tenureEnded:         events.TenureEnded,
	movePostponed:       events.MovePostponed,
}

// decide logs and counts a decision.
func (d *Driver) decide(made decision) {
	event := eventOf[made.kind]
	d.config.Metrics.Tagged(map[string]string{"decision": event.Name}).Counter("ownership_decisions").Inc(1)
	line := event.Log(&d.config.Logger).Str("target", made.target).Uint64("epoch", made.epoch)
	if made.nextEpoch != 0 {
		line.Uint64("nextEpoch", made.nextEpoch)
	}
	if made.setNumber != 0 {
		line.Uint64("setNumber", made.setNumber).Int("slices", made.count)
	}
	if made.slice != nil {
		line.Str("slice", fmt.Sprintf("%s %d-%d %s", made.slice.Cell, made.slice.First, made.slice.Last, made.slice.Key)).Uint64("fence", made.fence)
	}
	if made.next != "" {
		line.Str("next", made.next).Uint64("nextFence", made.nextFence).Bool("loss", made.loss)
	}
	for _, field := range []struct{ name, value string }{
		{"vm", made.vm}, {"owner", made.owner}, {"incarnation", made.incarnation}, {"reason", made.reason},
	} {
		if field.value != "" {
			line.Str(field.name, field.value)
		}
	}
	if made.kind == tookOver {
		line.Str("failureDomain", d.config.FailureDomain)
	}
	line.Send()
}
