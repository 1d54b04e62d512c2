package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// ControlConnections is the maximum number of control connections per target.
	// With a second one, a health check that hangs does not block a renewal.
	ControlConnections = 2
	// controlIdleTimeout is how long an unused control connection stays open.
	controlIdleTimeout = 30 * time.Second
	// controlDialTimeout limits the time to open a control connection.
	controlDialTimeout = 500 * time.Millisecond
	// maxControlReplyBytes limits the body of the reply to a control request, in bytes.
	maxControlReplyBytes = 1 << 20
)

// ControlClient implements Controller over HTTP. Its connections are separate from
// those for requests, so that in-flight requests never delay a grant.
type ControlClient struct {
	mu      sync.Mutex
	targets map[string]*controlState
}

// controlState is the client's state for one target address.
type controlState struct {
	// inFlight is a semaphore that limits the in-flight calls, and with them the
	// connections.
	inFlight  chan struct{}
	transport *http.Transport
	usedAt    time.Time
}

// NewControlClient returns a client. Close closes its connections.
func NewControlClient() *ControlClient {
	return &ControlClient{targets: map[string]*controlState{}}
}

func newControlTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: controlDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    ControlConnections,
		IdleConnTimeout:        controlIdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// Close closes the idle connections.
func (c *ControlClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		t.transport.CloseIdleConnections()
	}
}

// stateFor returns the state for an address, creating it if needed. Creating one also
// removes the state of addresses that have not been called for twice the idle
// timeout.
func (c *ControlClient) stateFor(address string) *controlState {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t := c.targets[address]
	if t == nil {
		// The connections of the removed entries have already been closed by the
		// idle timeout.
		maps.DeleteFunc(c.targets, func(_ string, t *controlState) bool {
			return len(t.inFlight) == 0 && now.Sub(t.usedAt) > 2*controlIdleTimeout
		})
		t = &controlState{inFlight: make(chan struct{}, ControlConnections), transport: newControlTransport()}
		c.targets[address] = t
	}
	t.usedAt = now
	return t
}

// Grant grants slices to a target or renews its grant.
func (c *ControlClient) Grant(ctx context.Context, address string, grant Grant) (GrantReply, error) {
	var reply GrantReply
	err := c.call(ctx, http.MethodPost, address, PathGrant, grant, &reply)
	return reply, err
}

// Revoke revokes slices. It returns nil only after the target has confirmed.
func (c *ControlClient) Revoke(ctx context.Context, address string, revocation Revocation) error {
	return c.call(ctx, http.MethodPost, address, PathRevoke, revocation, nil)
}

// Health requests the target's health.
func (c *ControlClient) Health(ctx context.Context, address string) (Health, error) {
	var health Health
	err := c.call(ctx, http.MethodGet, address, PathHealth, nil, &health)
	return health, err
}

// call sends one control request and decodes the JSON response into reply, unless
// reply is nil.
func (c *ControlClient) call(ctx context.Context, method, address, path string, message, reply any) error {
	request, err := newControlRequest(ctx, method, address, path, message)
	if err != nil {
		return err
	}
	t := c.stateFor(address)
	select {
	case t.inFlight <- struct{}{}:
		defer func() { <-t.inFlight }()
	case <-ctx.Done():
		return callError(ctx.Err(), address)
	}
	transport := t.transport
	if path == PathRevoke {
		// Control replies carry no request ID, so a duplicate of an earlier reply could
		// be mistaken for the confirmation of this revocation. Each revocation therefore
		// uses a new connection. Idle ones are closed first, to stay within the limit.
		transport.CloseIdleConnections()
		transport = newControlTransport()
		transport.DisableKeepAlives = true
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return callError(err, address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlReplyBytes))
	if err != nil {
		return callError(err, address)
	}
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.UnknownOutcome, "check that the target implements docs/TARGETS.md",
			"target %s answered %s to %s", address, response.Status, path)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fault.Wrap(err, fault.UnknownOutcome, "check that the target implements docs/TARGETS.md",
			"target %s sent a malformed reply to %s", address, path)
	}
	return nil
}

func newControlRequest(ctx context.Context, method, address, path string, message any) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "report this as a defect", "body of the control request to %s cannot be encoded", path)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "correct the target's address in the manifest", "target address %q is invalid", address)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// callError classifies the error of a call that got no answer. Only a refused
// connection proves that no process listens at the address.
func callError(cause error, address string) error {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return fault.Wrap(cause, fault.Unavailable, "start the target or remove it from the manifest", "target %s refused the connection", address)
	}
	return fault.Wrap(cause, fault.UnknownOutcome, "wait for the grant to lapse before relying on it", "target %s did not answer", address)
}
