package dispatch_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// coldTarget bears one request until it has answered as many as it takes to
// warm up.
func coldTarget(answers int) faketarget.Settings {
	return faketarget.Settings{
		Slots: 4, ServiceMillis: 2, Cold: faketarget.Cold{Answers: answers, Slots: 1, Slowdown: 2, Collapse: 10},
	}
}

// bearable is the declaration of a service whose targets are as coldTarget: the
// limit rises only after they are warm.
func bearable(answers int) func(*manifest.Service, *manifest.Target) {
	return func(service *manifest.Service, _ *manifest.Target) {
		service.ColdStart = manifest.ColdStart{Slots: 1, SuccessesPerStep: answers}
		service.Limits.Queue = 512
	}
}

func checkBounds(t *testing.T, record faketarget.Record) {
	t.Helper()
	assert.Equal(t, record.ColdExceeded, 0, "the cold target got more than it can bear")
	assert.Equal(t, record.SlotsExceeded, 0)
	assert.Assert(t, record.MaxInside <= 4)
}

func TestSlotsAreNeverExceededAndAllUsed(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 5})
	f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) { s.Limits.Queue = 512 })
	f.warm(4)
	for _, got := range f.flood(200, nil) {
		assert.Equal(t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
	record := server.Record()
	checkBounds(t, record)
	assert.Equal(t, record.MaxInside, 4)
}

func TestColdStartBoundIsNeverExceeded(t *testing.T) {
	server := listenTarget(t, coldTarget(40))
	f := newFixture(t, server.Address(), bearable(40))
	f.flood(200, nil)
	record := server.Record()
	checkBounds(t, record)
	assert.Equal(t, record.MaxInside, 4, "the limit must rise to the slots")
}

func TestColdStartBoundHoldsAcrossAnUnannouncedRestart(t *testing.T) {
	server := listenTarget(t, coldTarget(40))
	address := server.Address()
	f := newFixture(t, address, bearable(40))
	f.warm(4)
	checkBounds(t, server.Record())

	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 16 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
					f.serve(f.request(nil))
				}
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	server.Close()
	settings := coldTarget(40)
	settings.Incarnation = "second"
	restarted, err := faketarget.Listen(address, settings)
	assert.NilError(t, err)
	t.Cleanup(restarted.Close)
	eventually(t, func() bool { return len(restarted.Record().Executions) > 80 }, "no traffic after the restart")
	close(stop)
	callers.Wait()
	checkBounds(t, restarted.Record())
}

func TestColdStartBoundHoldsAfterAHandover(t *testing.T) {
	server := listenTarget(t, coldTarget(1000))
	f := newFixture(t, server.Address(), bearable(1000))
	old := f.dispatcher
	slow := f.request(func(r *peerv1.Request) {
		r.Headers = []*peerv1.Header{{Name: faketarget.HeaderServiceMillis, Value: "200"}}
	})
	done := make(chan *reply, 1)
	go func() { done <- f.serve(slow) }()
	eventually(t, func() bool { return server.Record().Inside == 1 }, "the request did not start")

	f.dispatcher = f.newDispatcher()
	f.dispatcher.StartWith(testTarget, old.InFlight(testTarget, nil), old.ColdLimit(testTarget))
	time.AfterFunc(50*time.Millisecond, func() {
		for old.InFlight(testTarget, nil) > 0 {
			time.Sleep(time.Millisecond)
		}
		f.dispatcher.StartWith(testTarget, 0, old.ColdLimit(testTarget))
	})
	for _, got := range f.flood(20, nil) {
		assert.Equal(t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
	assert.Equal(t, (<-done).kind(), outcome.Answered)
	record := server.Record()
	checkBounds(t, record)
	assert.Equal(t, record.MaxInsideCold, 1)
}

func TestWarmHandoverLeavesRoomForRequestsStillInFlight(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 1})
	f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) { s.Limits.Queue = 512 })
	f.warm(4)
	old := f.dispatcher
	var callers sync.WaitGroup
	for range 3 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			serveBy(t.Context(), old, f.request(func(r *peerv1.Request) {
				r.Headers = []*peerv1.Header{{Name: faketarget.HeaderServiceMillis, Value: "300"}}
			}), nil)
		}()
	}
	eventually(t, func() bool { return server.Record().Inside == 3 }, "the requests did not start")
	f.dispatcher = f.newDispatcher()
	f.dispatcher.StartWith(testTarget, old.InFlight(testTarget, nil), old.ColdLimit(testTarget))
	for _, got := range f.flood(50, nil) {
		assert.Equal(t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
	callers.Wait()
	checkBounds(t, server.Record())
}

func TestShedLowersTheLimitAtOnce(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 50})
	f := newFixture(t, server.Address(), nil)
	f.warm(4)
	server.Change(func(s *faketarget.Settings) { s.ShedAbove = 2 })
	shed := 0
	for _, got := range f.flood(3, nil) {
		if got.why() == outcome.TargetShed {
			assert.Equal(t, got.kind(), outcome.NotRun)
			shed++
		}
	}
	assert.Equal(t, shed, 1)
	assert.Assert(t, f.dispatcher.ColdLimit(testTarget) < 4)
}

func TestSuddenSlowAnswersMakeTheTargetCold(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 5})
	f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) { s.ColdStart.SuccessesPerStep = 5 })
	f.warm(4)
	f.flood(40, nil)
	server.Change(func(s *faketarget.Settings) { s.Slowdown = 20 })
	eventually(t, func() bool {
		f.serve(f.request(nil))
		return f.dispatcher.ColdLimit(testTarget) == 1
	}, "slow answers did not lower the limit")
	load := f.dispatcher.Loads()[0]
	assert.Assert(t, load.Cold)
	assert.Assert(t, load.Speed < 0.5, "speed %v", load.Speed)
	server.Change(func(s *faketarget.Settings) { s.Slowdown = 1 })
	eventually(t, func() bool {
		f.serve(f.request(nil))
		return f.dispatcher.ColdLimit(testTarget) == 4 && f.dispatcher.Loads()[0].Speed > 0.75
	}, "the target did not recover")
}

// A target that turned cold without a word and collapses under more than it
// bears is quick again at the lower limit and slow as the limit rises, so the
// limit does not come back.
func TestColdTargetThatCollapsesDoesNotGetItsSlotsBack(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 2})
	f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) {
		s.ColdStart.SuccessesPerStep, s.Limits.Queue = 20, 512
	})
	f.warm(4)
	f.flood(60, nil)
	server.Change(func(s *faketarget.Settings) {
		s.Cold = faketarget.Cold{Round: 1, Answers: 1 << 20, Slots: 1, Slowdown: 2, Collapse: 20}
	})
	f.flood(40, nil)
	exceeded := server.Record().ColdExceeded
	assert.Assert(t, exceeded > 0, "the first sign are slow answers")
	const requests = 300
	f.flood(requests, nil)
	again := server.Record().ColdExceeded - exceeded
	assert.Assert(t, again < requests/4, "%d of %d requests came to a full cold target", again, requests)
	assert.Assert(t, f.dispatcher.ColdLimit(testTarget) <= 2)
}

func TestColdStartRateIsCapped(t *testing.T) {
	const perSecond = 50
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 1})
	f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) {
		s.ColdStart = manifest.ColdStart{Slots: 4, SuccessesPerStep: 1000, RequestsPerSecond: perSecond}
	})
	for _, got := range f.flood(21, nil) {
		assert.Equal(t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
	executions := server.Record().Executions
	took := executions[len(executions)-1].Start.Sub(executions[0].Start)
	// 20 intervals of 20 ms, less the delay of the first start on its way.
	assert.Assert(t, took >= 20*time.Second/perSecond-100*time.Millisecond, "21 starts within %v", took)
}

func TestTargetThatWasLostIsColdWhenItReturns(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 1})
	f := newFixture(t, server.Address(), nil)
	f.warm(4)
	f.dispatcher.TargetChanged(testTarget, false, "first")
	assert.Equal(t, f.dispatcher.ColdLimit(testTarget), 1)
	f.warm(4)
	f.dispatcher.TargetChanged(testTarget, true, "second")
	assert.Equal(t, f.dispatcher.ColdLimit(testTarget), 1)
}

func TestQueueRefusesWhatCannotFinishInTime(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{Slots: 1, ServiceMillis: 50})
	f := newFixture(t, server.Address(), func(s *manifest.Service, d *manifest.Target) {
		d.Slots, s.Limits.Queue = 1, 512
	})
	const measured = 10
	for range measured {
		f.serve(f.request(nil))
	}
	// 40 requests of 50 ms need 2 s; only about 10 of them fit into 500 ms.
	early, answered := 0, 0
	started := time.Now()
	for _, got := range f.flood(40, func(_ int, r *peerv1.Request) { r.RemainingUs = (500 * time.Millisecond).Microseconds() }) {
		switch {
		case got.kind() == outcome.Answered:
			answered++
		case got.why() == outcome.WouldBeLate:
			early++
		}
	}
	assert.Assert(t, time.Since(started) < 2*time.Second)
	assert.Assert(t, answered > 0)
	assert.Assert(t, early >= 20, "refused early %d, answered %d", early, answered)
	ran := len(server.Record().Executions) - measured
	assert.Assert(t, ran <= 15, "ran %d", ran)
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{Slots: 1, ServiceMillis: 50})
	f := newFixture(t, server.Address(), func(s *manifest.Service, d *manifest.Target) {
		d.Slots, s.Limits.Queue = 1, 4
	})
	full, answered := 0, 0
	for _, got := range f.flood(20, nil) {
		if got.why() == outcome.QueueFull {
			full++
		}
		if got.kind() == outcome.Answered {
			answered++
		}
	}
	assert.Equal(t, answered, 5, "one in its slot and four in the queue")
	assert.Equal(t, full, 15)
}

// Browsing fills the queue before any confirmation comes. Confirmations still
// get a place and their share of the slots.
func TestBrowsingCannotCrowdOutConfirmations(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{Slots: 1, ServiceMillis: 10})
	f := newFixture(t, server.Address(), func(s *manifest.Service, d *manifest.Target) {
		d.Slots, s.Limits.Queue = 1, 40
		s.Classes = []manifest.Class{{Name: "confirmation", Weight: 9}, {Name: "browsing", Weight: 1}}
	})
	f.serve(f.request(nil))
	const browsing, confirmations = 60, 20
	replies := f.flood(browsing+confirmations, func(i int, r *peerv1.Request) {
		r.TrafficClass = "browsing"
		if i >= browsing {
			r.TrafficClass = "confirmation"
			time.Sleep(50 * time.Millisecond)
		}
	})
	for _, got := range replies[browsing:] {
		assert.Equal(t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
	refused := 0
	for _, got := range replies[:browsing] {
		if got.kind() == outcome.NotRun {
			refused++
		}
	}
	assert.Assert(t, refused > 0, "browsing must give way in a full queue")
}
