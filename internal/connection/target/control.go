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
	// ControlConnections is the number of control connections per target. A
	// second one lets a renewal pass a health check that hangs.
	ControlConnections = 2
	// controlIdleTimeout closes control connections that renewals no longer use.
	controlIdleTimeout = 30 * time.Second
	// controlDialTimeout bounds the opening of a control connection.
	controlDialTimeout = 500 * time.Millisecond
	// maxControlReply is the largest reply to a control request in bytes.
	maxControlReply = 1 << 20
)

// ControlClient is the Controller over HTTP. It has connections of its own, so
// that requests in progress never delay a grant.
type ControlClient struct {
	mu      sync.Mutex
	targets map[string]*controlled
}

// controlled is what the client keeps for one address.
type controlled struct {
	// turns bounds the calls under way, and with them the connections.
	turns     chan struct{}
	transport *http.Transport
	usedAt    time.Time
}

// NewControlClient returns a client; Close releases its connections.
func NewControlClient() *ControlClient {
	return &ControlClient{targets: map[string]*controlled{}}
}

func newControlTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: controlDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    ControlConnections,
		IdleConnTimeout:        controlIdleTimeout,
		MaxResponseHeaderBytes: maxHead,
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

// to returns what is kept for an address, and forgets addresses without calls.
func (c *ControlClient) to(address string) *controlled {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t := c.targets[address]
	if t == nil {
		// Their connections have been closed as idle.
		maps.DeleteFunc(c.targets, func(_ string, t *controlled) bool {
			return len(t.turns) == 0 && now.Sub(t.usedAt) > 2*controlIdleTimeout
		})
		t = &controlled{turns: make(chan struct{}, ControlConnections), transport: newControlTransport()}
		c.targets[address] = t
	}
	t.usedAt = now
	return t
}

// Grant gives or renews the slices of a target.
func (c *ControlClient) Grant(ctx context.Context, address string, grant Grant) (GrantReply, error) {
	var reply GrantReply
	err := c.call(ctx, http.MethodPost, address, PathGrant, grant, &reply)
	return reply, err
}

// Revoke takes slices away; it returns nil once the target has confirmed.
func (c *ControlClient) Revoke(ctx context.Context, address string, revocation Revocation) error {
	return c.call(ctx, http.MethodPost, address, PathRevoke, revocation, nil)
}

// Health asks a target about itself.
func (c *ControlClient) Health(ctx context.Context, address string) (Health, error) {
	var health Health
	err := c.call(ctx, http.MethodGet, address, PathHealth, nil, &health)
	return health, err
}

// call sends one control request and decodes the reply into reply, unless nil.
func (c *ControlClient) call(ctx context.Context, method, address, path string, message, reply any) error {
	request, err := newControlRequest(ctx, method, address, path, message)
	if err != nil {
		return err
	}
	t := c.to(address)
	select {
	case t.turns <- struct{}{}:
		defer func() { <-t.turns }()
	case <-ctx.Done():
		return callError(ctx.Err(), address)
	}
	transport := t.transport
	if path == PathRevoke {
		// Answers bear no id: an earlier one that is written again must not pass for
		// the end of the grant, so a revocation uses a connection once. The idle ones
		// make room for it.
		transport.CloseIdleConnections()
		transport = newControlTransport()
		transport.DisableKeepAlives = true
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return callError(err, address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlReply))
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
			return nil, fault.Wrap(err, fault.Invalid, "report this as a defect", "message for %s cannot be encoded", path)
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

// callError classifies a call without an answer: only a refused connection
// proves that nothing runs at the address.
func callError(cause error, address string) error {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return fault.Wrap(cause, fault.Unavailable, "start the target or remove it from the manifest", "target %s refused the connection", address)
	}
	return fault.Wrap(cause, fault.UnknownOutcome, "wait for the grant to lapse before relying on it", "target %s did not answer", address)
}
