package dispatch_test

import (
	"context"
	"io"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/dispatch"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/testutil/faketarget"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/rights"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

var _ peer.RequestHandler = (*dispatch.Dispatcher)(nil)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// patience bounds requests that are expected to be answered.
	patience   = 20 * time.Second
	testTarget = "target-1"
	testCell   = "booking/0"
	testFence  = 5
	testEpoch  = 3
)

// fixture is a dispatcher with one target whose rights the test controls.
type fixture struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	service    *manifest.Service
	lease      *rights.Lease
	table      atomic.Pointer[rights.Table]
	snapshot   atomic.Pointer[routing.Snapshot]
	sequence   atomic.Uint64
}

// newFixture starts a dispatcher for a target at an address. configure may
// change the service and the target before the start.
func newFixture(t *testing.T, address string, configure func(*manifest.Service, *manifest.Target)) *fixture {
	t.Helper()
	f := &fixture{t: t, lease: &rights.Lease{}}
	service := manifest.Service{
		Name: "booking", Placement: manifest.Keyed, Fencing: manifest.Checked, Grants: manifest.Expire,
		ColdStart: manifest.ColdStart{Slots: 1, SuccessesPerStep: 1},
	}
	declared := manifest.Target{Name: testTarget, Service: "booking", Address: address, Slots: 4, Connections: 32}
	if configure != nil {
		configure(&service, &declared)
	}
	m := &manifest.Manifest{Services: []manifest.Service{service}, Targets: []manifest.Target{declared}}
	f.service = &m.Services[0]
	f.snapshot.Store(routing.New(m, 1, nil, nil))
	f.lease.Extend(rights.Monotonic() + time.Hour)
	f.hold(func(*rights.Target) {})
	f.dispatcher = f.newDispatcher()
	return f
}

// newDispatcher starts another dispatcher under the same rights.
func (f *fixture) newDispatcher() *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{
		Self: "vm-1", Rights: f.table.Load, Snapshot: f.snapshot.Load, Logger: zerolog.Nop(), LogDecisions: true,
	})
	f.t.Cleanup(d.Close)
	return d
}

// wholeRange returns the held slice that covers every key.
func wholeRange() rights.Held {
	return rights.Held{Slice: assignment.Slice{First: 0, Last: math.MaxUint64, Owner: testTarget}, Fence: testFence}
}

// hold publishes rights to the target for the whole range, as changed.
func (f *fixture) hold(change func(*rights.Target)) {
	held := &rights.Target{
		Name: testTarget, Cell: testCell, Epoch: testEpoch, Lease: f.lease, Slices: []rights.Held{wholeRange()},
	}
	change(held)
	f.table.Store(&rights.Table{Targets: map[string]*rights.Target{testTarget: held}})
}

// request returns a request for the target.
func (f *fixture) request(change func(*peerv1.Request)) *peerv1.Request {
	number := f.sequence.Add(1)
	request := &peerv1.Request{
		Id: number, Service: "booking", Cell: testCell, Target: testTarget, Key: "key-1",
		Method: "POST", Uri: "/seats?row=4", Host: "booking.example", Body: []byte("seat"),
		ContentLength: 4, RemainingUs: patience.Microseconds(), RequestId: "request-" + strconv.FormatUint(number, 10),
	}
	if change != nil {
		change(request)
	}
	return request
}

// reply is a response with its whole body.
type reply struct {
	*peerv1.Response
	whole []byte
	// broken is the error of a body that broke off.
	broken error
}

func (r *reply) kind() outcome.Kind  { return outcome.FromWire(r.Outcome) }
func (r *reply) why() outcome.Reason { return outcome.Reason(r.Reason) }
func (r *reply) answeredWhole() bool { return r.kind() == outcome.Answered && r.broken == nil }
func (f *fixture) serve(request *peerv1.Request) *reply {
	return serveBy(context.Background(), f.dispatcher, request, nil)
}

func serveBy(ctx context.Context, d *dispatch.Dispatcher, request *peerv1.Request, body io.Reader) *reply {
	response, follows := d.Serve(ctx, peer.Peer{VM: "vm-2"}, request, body)
	got := &reply{Response: response, whole: response.Body}
	if follows != nil {
		got.whole, got.broken = io.ReadAll(follows)
		_ = follows.Close()
	}
	return got
}

// warm sends requests until the target is warm.
func (f *fixture) warm(slots int) {
	f.t.Helper()
	for f.dispatcher.ColdLimit(testTarget) < slots {
		_, got := f.reach()
		assert.Equal(f.t, got.kind(), outcome.Answered, "%s", got.Reason)
	}
}

// connectBound is how long a connection to a target may take to open.
const connectBound = 500 * time.Millisecond

// reach sends a request. It is sent anew if the target could not be reached for as long
// as a connection may take to open: the stand-in gets no time on a busy machine.
func (f *fixture) reach() (*peerv1.Request, *reply) {
	f.t.Helper()
	for end := time.Now().Add(patience); ; {
		request, began := f.request(nil), time.Now()
		got := f.serve(request)
		unreached := got.kind() == outcome.NotRun && got.why() == outcome.TargetUnreachable && time.Since(began) >= connectBound
		if !unreached || time.Now().After(end) {
			return request, got
		}
	}
}

// flood sends count requests at once and returns the replies.
func (f *fixture) flood(count int, change func(int, *peerv1.Request)) []*reply {
	replies := make([]*reply, count)
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			replies[i] = f.serve(f.request(func(r *peerv1.Request) {
				if change != nil {
					change(i, r)
				}
			}))
		}()
	}
	all.Wait()
	return replies
}

func listenTarget(t *testing.T, settings faketarget.Settings) *faketarget.Server {
	t.Helper()
	if settings.Incarnation == "" {
		settings.Incarnation = "first"
	}
	if settings.Slots == 0 {
		settings.Slots = 4
	}
	server, err := faketarget.Listen("127.0.0.1:0", settings)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

// checkHonest checks a reply against the target's own record.
func checkHonest(t *testing.T, request *peerv1.Request, got *reply, record faketarget.Record) {
	t.Helper()
	runs := record.CountByRequest()[request.RequestId]
	switch got.kind() {
	case outcome.NotRun:
		assert.Equal(t, runs, 0, "refused as not run (%s), but it ran", got.Reason)
	case outcome.Answered:
		assert.Equal(t, runs, 1)
		if got.broken == nil {
			want := faketarget.AnswerBody(request.RequestId, request.Key, len(got.whole))
			assert.Equal(t, string(got.whole), string(want))
		}
	case outcome.Unknown:
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
}

func eventually(t *testing.T, condition func() bool, message string) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(message)
}
