package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/version/fleet"
)

// withUnready returns a copy of a view in which the slices of an owner are not ready.
func withUnready(view *fleet.View, owner string) *fleet.View {
	next := *view
	next.Slices = map[string][]fleet.Slice{}
	for service, list := range view.Slices {
		next.Slices[service] = append([]fleet.Slice(nil), list...)
		for i := range list {
			next.Slices[service][i].Ready = list[i].Ready && list[i].Owner.ID != owner
		}
	}
	return &next
}

// unreadyFor plays a load in which the keys of one of four owners are not ready for a time.
func unreadyFor(duration time.Duration) *simulation {
	view := fleetOf(fleet.Service{Name: "s", Keyed: true}, 4)
	p := newSimulation(defaultConfig(), view)
	l := withRate(browse, 40)
	l.key = func(r *rand.Rand) uint16 { return uint16(r.IntN(fleet.Keys)) }
	p.scheduleLoad(l, 0, 10*time.Second)
	p.schedule(p.start.Add(3*time.Second), func() { p.broker.Update(withUnready(view, "t1"), p.now) })
	// Views with other changes arrive all the time.
	for at := 3100 * time.Millisecond; at < 3*time.Second+duration; at += 100 * time.Millisecond {
		p.schedule(p.start.Add(at), func() { p.broker.Update(withUnready(view, "t1"), p.now) })
	}
	p.schedule(p.start.Add(3*time.Second+duration), func() { p.broker.Update(view, p.now) })
	p.runUntil(11 * time.Second)
	return p
}

// TestLossOfAnOwnerIsSaidAtOnce plays the loss of an owner of keys whose grants take two
// seconds to run out: callers that cannot be served are told so while they have most of
// their time left, and requests for other keys are not affected.
func TestLossOfAnOwnerIsSaidAtOnce(t *testing.T) {
	p := unreadyFor(2 * time.Second)
	lost := func(r *simulatedRequest) bool {
		return r.Key/(fleet.Keys/4) == 1 && r.arrivedAt.Sub(p.start) > 3*time.Second && r.arrivedAt.Sub(p.start) < 5*time.Second
	}
	held := func(r *simulatedRequest) bool {
		return r.refused != "" && r.endedAt.Sub(r.arrivedAt) >= 3*r.Deadline.Sub(r.arrivedAt)/4
	}
	assert.Equal(t, p.share(lost, held), 0.0)
	atOnce := func(r *simulatedRequest) bool { return r.refused != "" && r.endedAt.Sub(r.arrivedAt) <= browse.aim/8 }
	assert.Assert(t, p.share(lost, atOnce) > 0.5, "%f are refused at once", p.share(lost, atOnce))
	others := p.share(func(r *simulatedRequest) bool { return r.Key/(fleet.Keys/4) != 1 }, (*simulatedRequest).inAim)
	assert.Assert(t, others > 0.97, "%f of the other requests meet their aim", others)
	back := p.share(func(r *simulatedRequest) bool {
		return r.Key/(fleet.Keys/4) == 1 && r.arrivedAt.Sub(p.start) > 5100*time.Millisecond
	}, (*simulatedRequest).inAim)
	assert.Assert(t, back > 0.97, "%f meet their aim once the owner is back", back)
}

// TestPlannedMoveRefusesNothing plays a move of keys that takes as long as two requests.
func TestPlannedMoveRefusesNothing(t *testing.T) {
	for _, duration := range []time.Duration{30 * time.Millisecond, 2 * browse.work} {
		t.Run(fmt.Sprint(duration), func(t *testing.T) {
			refused := unreadyFor(duration).share(anyRequest, func(r *simulatedRequest) bool { return r.refused != "" })
			assert.Equal(t, refused, 0.0)
		})
	}
}
