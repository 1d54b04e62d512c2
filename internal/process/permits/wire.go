package permits

import (
	"time"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/admission"
	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// requestToWire encodes the aim and the deadline as the time that remains at now, as
// the clocks of VMs may differ; requestFromWire adds it to the time of receipt.
func requestToWire(r admission.Request, now time.Time) *peerv1.PermitRequest {
	return &peerv1.PermitRequest{
		Number: r.ID.Number, Service: r.Service, Key: uint32(r.Key), Class: r.Class, FailureDomain: r.Domain,
		Priority: int32(r.Priority), AimMillis: int32(r.Aim.Sub(now).Milliseconds()),
		DeadlineMillis: int32(r.Deadline.Sub(now).Milliseconds()), Repeat: r.Repeat, Exclude: r.Exclude, Large: r.Large,
		Team: r.Team,
	}
}

func requestFromWire(vm string, m *peerv1.PermitRequest, now time.Time) admission.Request {
	return admission.Request{
		ID: admission.ID{VM: vm, Number: m.Number}, Service: m.Service, Key: uint16(m.Key), Class: m.Class,
		Domain: m.FailureDomain, Priority: int(m.Priority),
		Aim: now.Add(millis(m.AimMillis)), Deadline: now.Add(millis(m.DeadlineMillis)),
		Repeat: m.Repeat, Exclude: m.Exclude, Large: m.Large,
		Team: m.Team,
	}
}

func decisionToWire(d admission.Decision) *peerv1.PermitReply {
	return &peerv1.PermitReply{
		Number: d.ID.Number, Target: d.Target.ID, Born: d.Target.Born, Refused: string(d.Refused),
		RetryAfterMillis: int32(d.RetryAfter.Milliseconds()),
	}
}

func decisionFromWire(self string, m *peerv1.PermitReply) admission.Decision {
	return admission.Decision{
		ID: admission.ID{VM: self, Number: m.Number}, Target: fleet.Life{ID: m.Target, Born: m.Born},
		Refused: admission.Reason(m.Refused), RetryAfter: millis(m.RetryAfterMillis),
	}
}

func endFromWire(vm string, m *peerv1.PermitEnd) admission.End {
	end := admission.End{
		ID: admission.ID{VM: vm, Number: m.Number}, Result: admission.Result(m.Result),
		Took: time.Duration(m.ServiceMicros) * time.Microsecond, Leaving: m.Leaving, Rest: time.Duration(m.RestMillis) * time.Millisecond,
	}
	if m.Load != nil {
		end.HasLoad = true
		end.Load = fleet.Load{
			Running: int(m.Load.Running), Waiting: int(m.Load.Waiting), Slots: int(m.Load.Slots), Pace: int(m.Load.Pace),
		}
	}
	return end
}

func millis(value int32) time.Duration { return time.Duration(value) * time.Millisecond }
