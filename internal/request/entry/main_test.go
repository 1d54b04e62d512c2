package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/connection/peer"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
	"github.com/chestnutcourse/chestnutcourse/internal/version/assignment"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
	"github.com/chestnutcourse/chestnutcourse/internal/version/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for something that must happen; it is no measure of speed.
const patience = 20 * time.Second

// senderFunc is a peer.RequestSender.
type senderFunc func(ctx context.Context, vm string, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error)

func (f senderFunc) Do(ctx context.Context, vm string, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser, error) {
	return f(ctx, vm, request, body)
}

// bookingService is keyed by a header, seatsService free.
func bookingService() manifest.Service {
	return manifest.Service{
		Name: "booking", Match: manifest.Match{PathPrefix: "/booking"}, Placement: manifest.Keyed,
		Key: &manifest.Key{From: manifest.KeyFromHeader, Name: "Furnace"},
	}
}

func rosterService() manifest.Service {
	return manifest.Service{Name: "roster", Match: manifest.Match{PathPrefix: "/roster"}, Placement: manifest.Free}
}

// snapshotOf builds a snapshot in which target t1 of each service, dispatched by
// vm1 with backup vm2, owns all keys at fence 5; t2 (vm2, backup vm1) is next.
func snapshotOf(version int64, services ...manifest.Service) *routing.Snapshot {
	m := &manifest.Manifest{Format: manifest.FormatVersion, Deployment: "test", Services: services}
	cells := make(map[string]*routing.Cell)
	for i := range services {
		name := services[i].Name
		m.Targets = append(m.Targets, manifest.Target{Name: name + "-t1", Service: name}, manifest.Target{Name: name + "-t2", Service: name})
		cells[assignment.CellID(name, 0)] = &routing.Cell{Version: version, Assignment: &assignment.Cell{
			ID: assignment.CellID(name, 0), Last: math.MaxUint64,
			Slices: []assignment.Slice{{Last: math.MaxUint64, Owner: name + "-t1", Fence: 5, Next: name + "-t2", NextFence: 6}},
			Targets: []assignment.Rights{
				{Target: name + "-t1", Epoch: 1, Partners: partners("vm1", "vm2")},
				{Target: name + "-t2", Epoch: 1, Partners: partners("vm2", "vm1")},
			},
		}}
	}
	return routing.New(m, version, cells, nil)
}

func partners(dispatcher, backup string) assignment.Partners {
	return assignment.Partners{
		Dispatcher: assignment.Holder{VM: dispatcher, Incarnation: "1"},
		Backup:     assignment.Holder{VM: backup, Incarnation: "1"},
	}
}

// bench runs a handler behind a server on loopback.
type bench struct {
	handler  *Handler
	server   *Server
	url      string
	snapshot atomic.Pointer[routing.Snapshot]
	client   *http.Client
	log      logLines
}

// logLines counts log lines that tell of a panic in the server.
type logLines struct{ panics atomic.Int64 }

func (l *logLines) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		l.panics.Add(1)
	}
	return len(line), nil
}

// newBench starts the server; its client speaks HTTP/1.1.
func newBench(t *testing.T, sender peer.RequestSender, services ...manifest.Service) *bench {
	t.Helper()
	b := &bench{}
	b.snapshot.Store(snapshotOf(1, services...))
	b.handler = New(Config{
		Self: "vm0", Snapshot: b.snapshot.Load, Sender: sender,
		Ready:  func() (outcome.Reason, bool) { return "", true },
		Logger: zerolog.New(&b.log),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.server = NewServer(listener, b.handler, nil)
	b.url = "http://" + listener.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- b.server.Run() }()
	transport := &http.Transport{}
	b.client = &http.Client{Transport: transport, Timeout: patience}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		assert.NilError(t, b.server.Close())
		assert.NilError(t, <-ended)
		assert.Equal(t, b.log.panics.Load(), int64(0), "the server panicked")
	})
	return b
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// broken is the error of reading the body.
	broken error
}

func (r *response) outcome() string { return r.header.Get(outcome.Header) }
func (r *response) reason() string  { return r.header.Get(outcome.ReasonHeader) }

// send makes a request of booking's key "f1"; change may alter it.
func (b *bench) send(t *testing.T, method, path string, body io.Reader, change func(*http.Request)) *response {
	t.Helper()
	request, err := http.NewRequest(method, b.url+path, body)
	assert.NilError(t, err)
	request.Header.Set("Furnace", "f1")
	if change != nil {
		change(request)
	}
	reply, err := b.client.Do(request)
	assert.NilError(t, err)
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return &response{status: reply.StatusCode, header: reply.Header, body: string(content), broken: err}
}

// attempts records what a sender was asked to send.
type attempts struct {
	mu   sync.Mutex
	sent []sentAttempt
}

type sentAttempt struct {
	vm      string
	request *peerv1.Request
}

func (a *attempts) add(vm string, request *peerv1.Request) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, sentAttempt{vm, request})
	return len(a.sent)
}

func (a *attempts) all() []sentAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]sentAttempt(nil), a.sent...)
}

// vms returns the VMs that were asked, in order.
func (a *attempts) vms() []string {
	var vms []string
	for _, attempt := range a.all() {
		vms = append(vms, attempt.vm)
	}
	return vms
}

func answered(request *peerv1.Request, body string) (*peerv1.Response, io.ReadCloser, error) {
	return &peerv1.Response{
		Id: request.Id, Outcome: outcome.Answered.Wire(), Status: 200,
		ContentLength: int64(len(body)), Body: []byte(body),
	}, nil, nil
}

func refused(request *peerv1.Request, reason outcome.Reason) (*peerv1.Response, io.ReadCloser, error) {
	return &peerv1.Response{Id: request.Id, Outcome: outcome.NotRun.Wire(), Reason: string(reason)}, nil, nil
}

// redirected refuses a request for a key that another dispatcher serves.
func redirected(request *peerv1.Request, to *peerv1.Redirect) (*peerv1.Response, io.ReadCloser, error) {
	response, body, err := refused(request, outcome.NotOwner)
	response.Redirect = to
	return response, body, err
}

func streamed(request *peerv1.Request, length int64, body io.Reader) (*peerv1.Response, io.ReadCloser, error) {
	return &peerv1.Response{
		Id: request.Id, Outcome: outcome.Answered.Wire(), Status: 200, BodyFollows: true, ContentLength: length,
	}, io.NopCloser(body), nil
}

func notSent(vm string) (*peerv1.Response, io.ReadCloser, error) {
	return nil, nil, &peer.SendError{VM: vm, Cause: io.ErrClosedPipe}
}

func lost(vm string) (*peerv1.Response, io.ReadCloser, error) {
	return nil, nil, &peer.SendError{VM: vm, Sent: true, Cause: io.ErrClosedPipe}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func repeat(n int) io.Reader { return bytes.NewReader(bytes.Repeat([]byte("x"), n)) }
