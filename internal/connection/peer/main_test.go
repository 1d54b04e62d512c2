package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/chestnutcourse/chestnutcourse/api/peerv1"
	"github.com/chestnutcourse/chestnutcourse/internal/request/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds the wait for a condition that must become true. It is
// generous because it is not meant to check speed.
const testTimeout = 20 * time.Second

// serveFunc is a function used as RequestHandler.
type serveFunc func(ctx context.Context, from Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser)

func (f serveFunc) Serve(ctx context.Context, from Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser) {
	return f(ctx, from, request, body)
}

// echo answers a request with the body of the request.
func echo(_ context.Context, _ Peer, request *peerv1.Request, body io.Reader) (*peerv1.Response, io.ReadCloser) {
	response := &peerv1.Response{Outcome: outcome.Answered.Wire(), Status: 200, ContentLength: int64(len(request.Body)), Body: request.Body}
	if body != nil {
		response.BodyFollows, response.ContentLength = true, request.ContentLength
		return response, io.NopCloser(body)
	}
	return response, nil
}

// directory maps VM names to addresses.
type directory struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (d *directory) set(vm, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addresses == nil {
		d.addresses = make(map[string]string)
	}
	d.addresses[vm] = address
}

func (d *directory) addressOf(vm string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address, ok := d.addresses[vm]
	return address, ok
}

// start runs the transport of a VM on loopback until the end of the test and adds
// its address to the directory. change may adjust its Config.
func start(t testing.TB, d *directory, vm string, change func(*Config)) *Transport {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := Config{
		Self: Peer{VM: vm, Incarnation: vm + "-1"}, Deployment: "test", Listener: listener, AddressOf: d.addressOf,
		Control:  func(Peer, *peerv1.Control) *peerv1.Control { return nil },
		Requests: serveFunc(echo),
	}
	if change != nil {
		change(&config)
	}
	d.set(config.Self.VM, listener.Addr().String())
	transport := NewTransport(config)
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(context.Background()) }()
	t.Cleanup(func() {
		transport.Close()
		assert.NilError(t, <-ended)
	})
	return transport
}

// eventually waits until a condition is true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen in %v: %s", testTimeout, what)
		}
	}
}

// testContext returns a context that ends after testTimeout, or with the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// sentOf returns the Sent field of an error, which must be a *SendError.
func sentOf(t *testing.T, err error) bool {
	t.Helper()
	failure, ok := err.(*SendError)
	assert.Assert(t, ok, "error is %T, not a *SendError: %v", err, err)
	return failure.Sent
}
