package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

func TestBackupIsTriedWhenTheDispatcherIsUnreachable(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm1" {
			return notSent(vm)
		}
		return answered(request, "")
	}), bookingService())
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	sent := tried.all()
	assert.Equal(t, len(sent), 3, "the second request goes to the VM that served the first")
	assert.Equal(t, sent[0].vm+sent[1].vm+sent[2].vm, "vm1vm2vm2")
}

// TestRequestsWaitForARepair covers the time between the loss of a dispatcher
// and the end of its lease.
func TestRequestsWaitForARepair(t *testing.T) {
	began := time.Now()
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		switch {
		case vm == "vm1":
			return notSent(vm)
		case time.Since(began) < 700*time.Millisecond:
			return refused(request, outcome.LeaseLapsed)
		}
		return answered(request, "")
	}), bookingService())
	got := b.send(t, "POST", "/booking", nil, nil)
	assert.Equal(t, got.outcome(), "answered")
	assert.Equal(t, b.handler.serviceStateByName("booking").repairWaits.Load(), int64(0))
}

func TestRepairEndsWithTheDeadline(t *testing.T) {
	b := newBench(t, senderFunc(func(_ context.Context, vm string, _ *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		return notSent(vm)
	}), bookingService())
	got := b.send(t, "POST", "/booking", nil, func(r *http.Request) { r.Header.Set(DeadlineHeader, "100") })
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.reason(), string(outcome.PeerUnreachable))
	got = b.send(t, "POST", "/booking", nil, nil)
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.status, 503)
}

// TestDeadlineBetweenTwoAttempts: the caller learns why its request was not run, also if the
// deadline passes while the next attempt is prepared.
func TestDeadlineBetweenTwoAttempts(t *testing.T) {
	b := newBench(t, senderFunc(func(_ context.Context, vm string, _ *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		return notSent(vm)
	}), bookingService())
	const deadline = 100 * time.Millisecond
	var snapshots atomic.Int32
	b.handler.config.Snapshot = func() *routing.Snapshot {
		if snapshots.Add(1) == 2 {
			time.Sleep(2 * deadline)
		}
		return b.snapshot.Load()
	}
	got := b.send(t, "POST", "/booking", nil, func(r *http.Request) { r.Header.Set(DeadlineHeader, "100") })
	assert.Equal(t, got.outcome(), "not-run")
	assert.Equal(t, got.reason(), string(outcome.PeerUnreachable))
}

func TestRepairWaitsAreBounded(t *testing.T) {
	b := newBench(t, senderFunc(func(_ context.Context, vm string, _ *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		return notSent(vm)
	}), bookingService())
	declared := bookingService()
	state := b.handler.serviceState(&declared)
	state.repairWaits.Store(maxRepairWaits)
	var tried attempts
	b.handler.config.Sender = senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		return notSent(vm)
	})
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "not-run")
	assert.Equal(t, len(tried.all()), 1)
	assert.Equal(t, state.repairWaits.Load(), int64(maxRepairWaits))
}

func TestRedirectsAreFollowedAndRemembered(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm9" && request.Target == "booking-t2" {
			return answered(request, "")
		}
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6})
	}), bookingService())
	for range 2 {
		assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	}
	sent := tried.all()
	assert.Equal(t, len(sent), 3, "the second request goes straight to the next owner")
	assert.Equal(t, sent[0].vm+sent[1].vm+sent[2].vm, "vm1vm9vm9")

	newer := snapshotOf(2, bookingService())
	newer.Services["booking"].Cells[0].Assignment.Slices[0].Fence = 6
	b.snapshot.Store(newer)
	b.send(t, "POST", "/booking", nil, nil)
	assert.Equal(t, tried.all()[3].vm, "vm1", "the record has caught up with the redirect")
}

func TestRedirectsAreBounded(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		n := tried.add(vm, request)
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm2", Fence: uint64(5 + n)})
	}), bookingService())
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "not-run")
	assert.Equal(t, len(tried.all()), 1+maxRedirectsFollowed)
}

// TestOutdatedRedirectIsForgotten covers a next owner that has lost the key in turn.
func TestOutdatedRedirectIsForgotten(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		n := tried.add(vm, request)
		if vm == "vm1" && request.Target == "booking-t1" && n > 1 {
			return answered(request, "")
		}
		if n == 1 {
			return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6})
		}
		return refused(request, outcome.NotOwner)
	}), bookingService())
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	assert.Equal(t, len(b.handler.redirects.known), 0)
}

// TestRedirectOfAnEarlierMoveIsNotFollowed: a next owner that owned the key before
// answers with where it released it then, until it has taken the key over.
func TestRedirectOfAnEarlierMoveIsNotFollowed(t *testing.T) {
	var tried attempts
	began := time.Now()
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm9" && time.Since(began) > 200*time.Millisecond {
			return answered(request, "")
		}
		if vm == "vm9" {
			return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t1", Dispatcher: "vm1", Fence: 4})
		}
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6})
	}), bookingService())
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	sent := tried.all()
	assert.Equal(t, sent[len(sent)-1].vm, "vm9")
	assert.Assert(t, len(sent) < 40, "%d attempts", len(sent))
}

// TestHandoverDuringAMoveIsFollowed guards against a redirect to a next owner's dispatcher that has
// just handed its right over: its own redirect has the same fence and a later epoch.
func TestHandoverDuringAMoveIsFollowed(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm8" {
			return answered(request, "")
		}
		if vm == "vm9" {
			return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm8", Fence: 6, Epoch: 2})
		}
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6, Epoch: 1})
	}), bookingService())
	for range 2 {
		assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	}
	assert.DeepEqual(t, tried.vms(), []string{"vm1", "vm9", "vm8", "vm8"})
}

// TestRecordNamesTheDispatcherOfANextOwner guards against a redirect of a VM whose record is older
// than the entry's: the next owner's dispatcher has changed since.
func TestRecordNamesTheDispatcherOfANextOwner(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm2" && request.Target == "booking-t2" {
			return answered(request, "")
		}
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6, Epoch: 1})
	}), bookingService())
	newer := snapshotOf(2, bookingService())
	newer.Services["booking"].Cells[0].Assignment.Targets[1].Epoch = 2
	b.snapshot.Store(newer)
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	assert.DeepEqual(t, tried.vms(), []string{"vm1", "vm2"})
}

// TestNextOwnersDispatcherIsAskedAgain guards against a request that asks only the next owner's
// backup once its dispatcher has refused it, here while the release is on its way.
func TestNextOwnersDispatcherIsAskedAgain(t *testing.T) {
	var tried attempts
	asked := 0
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm9" {
			if asked++; asked > 1 {
				return answered(request, "")
			}
		}
		if vm == "vm1" {
			return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6})
		}
		return refused(request, outcome.NotOwner)
	}), bookingService())
	assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "answered")
	assert.Assert(t, len(tried.all()) <= 8, "%v", tried.vms())
}

// TestRoundsOfARepairAreSpacedOut guards against attempts without a pause while the owner's and the
// next owner's dispatchers name each other.
func TestRoundsOfARepairAreSpacedOut(t *testing.T) {
	var tried attempts
	b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.add(vm, request)
		if vm == "vm9" {
			return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t1", Dispatcher: "vm1", Fence: 5})
		}
		return redirected(request, &peerv1.Redirect{Cell: "booking/0", Target: "booking-t2", Dispatcher: "vm9", Fence: 6})
	}), bookingService())
	got := b.send(t, "POST", "/booking", nil, func(r *http.Request) { r.Header.Set(DeadlineHeader, "500") })
	assert.Equal(t, got.outcome(), "not-run")
	// Rounds wait 5 to 10 ms, then up to 80 ms: at most a dozen in 500 ms.
	assert.Assert(t, len(tried.all()) <= 12*(maxAttemptsARound+1), "%d attempts", len(tried.all()))
}

func TestRedirectCacheIsBounded(t *testing.T) {
	cache := newRedirectCache()
	for i := range maxRedirects + 100 {
		cache.add(string(rune(i)), &peerv1.Redirect{Cell: "c", Fence: 1})
	}
	assert.Equal(t, len(cache.known), maxRedirects)
}

// TestRetriesNeverMultiplyLoad covers a target that refuses everything.
func TestRetriesNeverMultiplyLoad(t *testing.T) {
	var tried atomic.Int64
	b := newBench(t, senderFunc(func(_ context.Context, _ string, request *peerv1.Request, _ io.Reader) (*peerv1.Response, io.ReadCloser, error) {
		tried.Add(1)
		return refused(request, outcome.QueueFull)
	}), bookingService())
	const requests = 300
	for range requests {
		assert.Equal(t, b.send(t, "POST", "/booking", nil, nil).outcome(), "not-run")
	}
	// The service's budget is a tenth of its requests, and what was saved up.
	assert.Assert(t, tried.Load() <= requests*11/10+maxTokens, "%d attempts for %d requests", tried.Load(), requests)
	assert.Assert(t, tried.Load() > requests, "nothing was retried")
}

func TestSmallBodyIsReplayed(t *testing.T) {
	for name, body := range map[string]func() io.Reader{
		"known length":   func() io.Reader { return repeat(100) },
		"unknown length": func() io.Reader { return io.MultiReader(repeat(100)) },
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, in io.Reader) (*peerv1.Response, io.ReadCloser, error) {
				content := request.Body
				if in != nil {
					assert.Check(t, len(content) == 0, "the body is sent twice")
					var err error
					content, err = io.ReadAll(in)
					assert.Check(t, err)
				}
				assert.Check(t, len(content) == 100)
				if calls++; calls == 1 {
					return refused(request, outcome.QueueFull)
				}
				return answered(request, "")
			}), bookingService())
			assert.Equal(t, b.send(t, "POST", "/booking", body(), nil).outcome(), "answered")
			assert.Equal(t, calls, 2)
		})
	}
}

func TestLargeBodyIsSentAgainOnlyIfUnread(t *testing.T) {
	for name, read := range map[string]int64{"unread": 0, "kept": 20_000, "lost": 100_000} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			b := newBench(t, senderFunc(func(_ context.Context, vm string, request *peerv1.Request, in io.Reader) (*peerv1.Response, io.ReadCloser, error) {
				if calls++; calls == 1 {
					_, err := io.CopyN(io.Discard, in, read)
					assert.Check(t, err)
					return refused(request, outcome.QueueFull)
				}
				n, err := io.Copy(io.Discard, in)
				assert.Check(t, err)
				assert.Check(t, n == 200_000)
				return answered(request, "")
			}), bookingService())
			got := b.send(t, "POST", "/booking", repeat(200_000), nil)
			if read > replayLimit {
				assert.Equal(t, got.outcome(), "not-run")
				assert.Equal(t, calls, 1)
				return
			}
			assert.Equal(t, got.outcome(), "answered")
			assert.Equal(t, calls, 2)
		})
	}
}
