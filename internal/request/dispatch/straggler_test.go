package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// playedTarget is a target of four slots on the clock of a synctest bubble. Its times
// are exact, which those of a real target of 2 ms are not on a busy machine.
type playedTarget struct {
	t *testing.T
	*endpoint
	// takes is how long a request takes, at any limit.
	takes time.Duration
}

// playTarget starts a target with its housekeeping and warms it up.
func playTarget(t *testing.T, takes time.Duration) *playedTarget {
	service := &manifest.Service{
		Name: "booking", Placement: manifest.Keyed, Fencing: manifest.Checked, Grants: manifest.Expire,
		ColdStart: manifest.ColdStart{Slots: 1, SuccessesPerStep: 5},
	}
	declared := manifest.Target{Name: "target-1", Service: "booking", Slots: 4, Connections: 32}
	p := &playedTarget{t: t, endpoint: newEndpoint(declared, service, zerolog.Nop()), takes: takes}
	ticker := time.NewTicker(housekeepingInterval)
	stop := make(chan struct{})
	t.Cleanup(func() { ticker.Stop(); close(stop); p.close() })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				p.check(time.Now(), nil)
			}
		}
	}()
	for p.limit() < 4 {
		p.flood(1)
	}
	return p
}

// flood sends requests at once and waits for their answers.
func (p *playedTarget) flood(count int) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			ticket := &ticket{key: "key-1", deadline: time.Now().Add(20 * time.Second)}
			assert.Check(p.t, p.acquire(p.t.Context(), ticket, "") == outcome.Reason(""))
			p.sent(ticket)
			time.Sleep(p.takes)
			p.answered(ticket, sliceID{}, "first")
		})
	}
	all.Wait()
}

func (p *playedTarget) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.limit
}

func (p *playedTarget) speed() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.times.speed()
}

// becomes sends requests, some at once, until the limit has a value.
func (p *playedTarget) becomes(limit, atOnce int) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); p.limit() != limit; p.flood(atOnce) {
		assert.Assert(p.t, time.Now().Before(end), "the limit is %d, not %d", p.limit(), limit)
	}
}

// TestStragglerGetsItsSlotsBackWhileItIsSlow: a target that is as slow at the lower
// limit as before is slowed by something else than its load.
func TestStragglerGetsItsSlotsBackWhileItIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := playTarget(t, 2*time.Millisecond)
		p.flood(60)
		p.takes *= 20
		p.becomes(1, 1)
		p.becomes(4, 4)
		p.flood(20)
		assert.Equal(t, p.limit(), 4)
		assert.Assert(t, p.speed() < 0.5, "speed %v of a target that still is a straggler", p.speed())
	})
}
