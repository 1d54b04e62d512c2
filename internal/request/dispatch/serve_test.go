package dispatch_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/target"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
)

func TestAnswerIsTheTargetsOwn(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{})
	f := newFixture(t, server.Address(), nil)
	request := f.request(nil)
	got := f.serve(request)
	assert.Equal(t, got.kind(), outcome.Answered)
	assert.Equal(t, got.Id, request.Id)
	assert.Equal(t, got.Status, uint32(200))
	checkHonest(t, request, got, server.Record())
	execution := server.Record().Executions[0]
	assert.Equal(t, execution.Fence, uint64(testFence))
	assert.Equal(t, execution.Epoch, uint64(testEpoch))
	assert.Equal(t, execution.Key, "key-1")
	assert.Equal(t, execution.URI, "/seats?row=4")
	assert.Equal(t, execution.BodyBytes, int64(4))
}

func TestLargeBodiesAreStreamedBothWays(t *testing.T) {
	for _, length := range []int64{-1, 4 << 20} {
		t.Run("length "+strconv.FormatInt(length, 10), func(t *testing.T) {
			server := listenTarget(t, faketarget.Settings{AnswerBytes: 3 << 20, Chunked: length < 0})
			f := newFixture(t, server.Address(), nil)
			upload := bytes.Repeat([]byte("upload.."), 4<<20/8)
			request := f.request(func(r *peerv1.Request) {
				r.Body, r.BodyFollows, r.ContentLength = nil, true, length
			})
			got := serveBy(context.Background(), f.dispatcher, request, bytes.NewReader(upload))
			assert.Assert(t, got.answeredWhole(), "%s %v", got.Reason, got.broken)
			assert.Equal(t, len(got.whole), 3<<20)
			digest := sha256.Sum256(upload)
			assert.Equal(t, server.Record().Executions[0].BodyDigest, hex.EncodeToString(digest[:]))
			eventually(t, func() bool { return f.dispatcher.InFlightTotal() == 0 }, "the slot was not freed")
		})
	}
}

func TestNothingIsSentWithoutTheRight(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fixture)
		reason outcome.Reason
	}{
		{"no rights at all", func(f *fixture) { f.table.Store(nil) }, outcome.NotOwner},
		{"another target", func(f *fixture) { f.table.Store(&rights.Table{}) }, outcome.NotOwner},
		{"another slice", func(f *fixture) { f.hold(func(held *rights.Target) { held.Slices = nil }) }, outcome.NotOwner},
		{"lapsed lease", func(f *fixture) { f.lease.Revoke() }, outcome.LeaseLapsed},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := listenTarget(t, faketarget.Settings{})
			f := newFixture(t, server.Address(), nil)
			test.change(f)
			got := f.serve(f.request(nil))
			assert.Equal(t, got.kind(), outcome.NotRun)
			assert.Equal(t, got.why(), test.reason)
			assert.Equal(t, len(server.Record().Executions), 0)
		})
	}
}

func TestLeaseThatLapsesInTheQueueStopsTheRequest(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 300})
	f := newFixture(t, server.Address(), nil)
	time.AfterFunc(100*time.Millisecond, f.lease.Revoke)
	replies := f.flood(2, nil)
	answered, lapsed := 0, 0
	for _, got := range replies {
		if got.kind() == outcome.Answered {
			answered++
		}
		if got.why() == outcome.LeaseLapsed {
			lapsed++
		}
	}
	assert.Equal(t, answered, 1)
	assert.Equal(t, lapsed, 1)
	assert.Equal(t, len(server.Record().Executions), 1)
}

// The latest start lets a target refuse what a dispatcher that was paused after
// its own check of the lease would still send.
func TestRequestsCarryTheLeaseAsLatestStart(t *testing.T) {
	const remaining = 5 * time.Second
	starts := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != target.PathHealth {
			starts <- r.Header.Get(target.HeaderLatestStart)
		}
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	}))
	t.Cleanup(server.Close)
	f := newFixture(t, server.Listener.Addr().String(), nil)
	f.lease = &rights.Lease{}
	f.lease.Extend(rights.Monotonic() + remaining)
	latest := time.Now().Add(remaining)
	f.hold(func(*rights.Target) {})
	assert.Equal(t, f.serve(f.request(nil)).kind(), outcome.Answered)
	millis, err := strconv.ParseInt(<-starts, 10, 64)
	assert.NilError(t, err)
	assert.Assert(t, !time.UnixMilli(millis).After(latest), "the latest start lies after the lease")
	assert.Assert(t, time.UnixMilli(millis).After(latest.Add(-time.Second)))
}

func TestPausedSliceHoldsRequestsUntilItIsResumed(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{})
	f := newFixture(t, server.Address(), nil)
	f.hold(func(held *rights.Target) { held.Slices[0].Paused = true })
	done := make(chan *reply, 1)
	go func() { done <- f.serve(f.request(nil)) }()
	select {
	case got := <-done:
		t.Fatalf("answered %s while the slice was paused", got.Reason)
	case <-time.After(100 * time.Millisecond):
	}
	assert.Equal(t, len(server.Record().Executions), 0)
	f.hold(func(*rights.Target) {})
	assert.Equal(t, (<-done).kind(), outcome.Answered)
}

func TestPausedSliceIsRedirectedAfterItsRelease(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{})
	f := newFixture(t, server.Address(), nil)
	f.hold(func(held *rights.Target) { held.Slices[0].Paused = true })
	done := make(chan *reply, 1)
	go func() { done <- f.serve(f.request(nil)) }()
	time.Sleep(20 * time.Millisecond)
	released := rights.Redirect{Slice: wholeRange().Slice, Target: "target-2", Dispatcher: "vm-9", Fence: 7, Epoch: 3}
	f.table.Store(&rights.Table{
		Targets:   map[string]*rights.Target{testTarget: {Name: testTarget, Cell: testCell, Lease: f.lease}},
		Redirects: map[string][]rights.Redirect{testCell: {released}},
	})
	got := <-done
	assert.Equal(t, got.kind(), outcome.NotRun)
	assert.Equal(t, got.why(), outcome.NotOwner)
	assert.Equal(t, got.Redirect.GetDispatcher(), "vm-9")
	assert.Equal(t, got.Redirect.GetTarget(), "target-2")
	assert.Equal(t, got.Redirect.GetFence(), uint64(7))
	assert.Equal(t, got.Redirect.GetEpoch(), uint64(3))
	assert.Equal(t, len(server.Record().Executions), 0)
}

// A slice may be released when InFlight says 0 after the pause was published:
// no request may be sent after that, not even one that was queued before.
func TestNothingStartsAfterAPausedSliceIsIdle(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{Slots: 1, ServiceMillis: 1})
	f := newFixture(t, server.Address(), func(_ *manifest.Service, d *manifest.Target) { d.Slots = 1 })
	slice := wholeRange().Slice
	for range 50 {
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			f.flood(8, nil)
		}()
		time.Sleep(2 * time.Millisecond)
		f.hold(func(held *rights.Target) { held.Slices[0].Paused = true })
		for f.dispatcher.InFlight(testTarget, &slice) > 0 {
			runtime.Gosched()
		}
		before := len(server.Record().Executions)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, len(server.Record().Executions), before, "a request started after the slice was idle")
		f.hold(func(*rights.Target) {})
		<-finished
	}
}

func TestTargetsRefusalIsNotRun(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{Leaving: true, RefusesWhenLeaving: true})
	f := newFixture(t, server.Address(), nil)
	got := f.serve(f.request(nil))
	assert.Equal(t, got.kind(), outcome.NotRun)
	assert.Equal(t, got.why(), outcome.Draining)
	assert.Equal(t, len(server.Record().Executions), 0)
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{})
	address := server.Address()
	server.Close()
	f := newFixture(t, address, nil)
	got := f.serve(f.request(nil))
	assert.Equal(t, got.kind(), outcome.NotRun)
	assert.Equal(t, got.why(), outcome.TargetUnreachable)
}

func TestDefectiveAnswersNeverReachACallerAsWhole(t *testing.T) {
	for _, fault := range []faketarget.Fault{
		faketarget.FaultCrossed, faketarget.FaultShort, faketarget.FaultShortChunked, faketarget.FaultEndless,
		faketarget.FaultReset, faketarget.FaultGarbage,
	} {
		t.Run(string(fault), func(t *testing.T) {
			server := listenTarget(t, faketarget.Settings{})
			f := newFixture(t, server.Address(), nil)
			request := f.request(func(r *peerv1.Request) {
				r.Headers = []*peerv1.Header{{Name: faketarget.HeaderFault, Value: string(fault)}}
			})
			got := f.serve(request)
			assert.Assert(t, !got.answeredWhole(), "a %s answer looked whole", fault)
			assert.Assert(t, got.kind() != outcome.NotRun)
			checkHonest(t, request, got, server.Record())
			after := f.request(nil)
			got = f.serve(after)
			assert.Assert(t, got.answeredWhole(), "%s", got.Reason)
			checkHonest(t, after, got, server.Record())
		})
	}
}

// TestPassedDeadlineCancelsAtTheTargetAndLeavesTheOutcomeUnknown uses a target
// that does not look at deadlines: one that does may answer at the same moment
// at which the dispatcher gives up, and either is an honest outcome.
func TestPassedDeadlineCancelsAtTheTargetAndLeavesTheOutcomeUnknown(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 60000, IgnoresDeadlines: true})
	f := newFixture(t, server.Address(), nil)
	request := f.request(func(r *peerv1.Request) { r.RemainingUs = (100 * time.Millisecond).Microseconds() })
	got := f.serve(request)
	assert.Equal(t, got.kind(), outcome.Unknown)
	assert.Equal(t, got.why(), outcome.DeadlinePassed)
	eventually(t, func() bool { return server.Record().Inside == 0 }, "the target still runs the request")
	checkHonest(t, request, got, server.Record())
}

func TestDeadlineReachesTheTarget(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 60000})
	f := newFixture(t, server.Address(), nil)
	request := f.request(func(r *peerv1.Request) { r.RemainingUs = (100 * time.Millisecond).Microseconds() })
	got := f.serve(request)
	assert.Assert(t, got.kind() != outcome.NotRun)
	eventually(t, func() bool { return server.Record().Inside == 0 }, "the target still runs the request")
	checkHonest(t, request, got, server.Record())
}

func TestCancellationReachesTheTarget(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 60000})
	f := newFixture(t, server.Address(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	got := serveBy(ctx, f.dispatcher, f.request(nil), nil)
	assert.Equal(t, got.kind(), outcome.Unknown)
	assert.Equal(t, got.why(), outcome.Canceled)
	eventually(t, func() bool { return server.Record().Inside == 0 }, "the target still runs the request")
}

// An unchecked target may still run a request that was given up, so its slice
// is not idle before the deadline.
func TestAbandonedRequestCountsUntilItsDeadlineForUncheckedTargets(t *testing.T) {
	for _, test := range []struct {
		fencing manifest.Fencing
		counts  bool
	}{{manifest.Unchecked, true}, {manifest.Checked, false}} {
		t.Run(string(test.fencing), func(t *testing.T) {
			server := listenTarget(t, faketarget.Settings{ServiceMillis: 60000})
			f := newFixture(t, server.Address(), func(s *manifest.Service, _ *manifest.Target) { s.Fencing = test.fencing })
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			serveBy(ctx, f.dispatcher, f.request(nil), nil)
			slice := wholeRange().Slice
			assert.Equal(t, f.dispatcher.InFlight(testTarget, &slice), 1)
			if test.counts {
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, f.dispatcher.InFlight(testTarget, &slice), 1)
				return
			}
			eventually(t, func() bool { return f.dispatcher.InFlight(testTarget, &slice) == 0 }, "still in flight")
		})
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) { checkLeaving(t, false) }

// TestLeavingTargetGetsNoNewWorkAfterAHandover guards against a next dispatcher that gives a
// leaving target its time anew.
func TestLeavingTargetGetsNoNewWorkAfterAHandover(t *testing.T) { checkLeaving(t, true) }

// checkLeaving sends requests for a leaving target, whose dispatcher changes in the middle of
// its time if handover is set.
func checkLeaving(t *testing.T, handover bool) {
	const limit = 3 * time.Second
	server := listenTarget(t, faketarget.Settings{ServiceMillis: 5})
	f := newFixture(t, server.Address(), nil)
	f.warm(4)
	server.Change(func(s *faketarget.Settings) { s.Leaving = true })
	f.hold(func(held *rights.Target) { held.Leaving, held.LeavingSince = true, rights.Monotonic() })
	serveUntil := func(end time.Time) (last *reply) {
		for time.Now().Before(end) {
			last = f.serve(f.request(nil))
		}
		return last
	}
	began := time.Now()
	if handover {
		serveUntil(began.Add(limit / 2))
		f.dispatcher = f.newDispatcher()
	}
	last := serveUntil(began.Add(limit + 500*time.Millisecond))
	assert.Equal(t, last.kind(), outcome.NotRun)
	assert.Equal(t, last.why(), outcome.Draining)
	record := server.Record()
	assert.Equal(t, record.StartsAfterLeaving(limit), 0)
	assert.Assert(t, record.StartsAfterLeaving(0) > 0, "keys must be served while their slices move")
}

func TestUploadSurvivesTheDrainOfItsTarget(t *testing.T) {
	server := listenTarget(t, faketarget.Settings{})
	f := newFixture(t, server.Address(), nil)
	reader, writer := io.Pipe()
	request := f.request(func(r *peerv1.Request) { r.Body, r.BodyFollows, r.ContentLength = nil, true, -1 })
	done := make(chan *reply, 1)
	go func() { done <- serveBy(context.Background(), f.dispatcher, request, reader) }()
	_, err := writer.Write([]byte("first half"))
	assert.NilError(t, err)
	f.hold(func(held *rights.Target) { held.Leaving, held.Slices = true, nil })
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !f.dispatcher.Loads()[0].Drained, "an upload is in flight")
	_, err = writer.Write([]byte(", second half"))
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	got := <-done
	assert.Assert(t, got.answeredWhole(), "%s", got.Reason)
	assert.Equal(t, server.Record().Executions[0].BodyBytes, int64(len("first half, second half")))
	eventually(t, func() bool { return f.dispatcher.Loads()[0].Drained }, "never drained")
}
