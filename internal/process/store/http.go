package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

const (
	// defaultCallTimeout bounds a call other than a watch.
	defaultCallTimeout = 5 * time.Second
	// watchPollWait is how long the store holds one long poll open.
	watchPollWait = 25 * time.Second
	// watchGrace is how much longer than watchPollWait a long poll may take before
	// the connection counts as lost.
	watchGrace = 5 * time.Second
	// maxResponseBytes limits the size of a response, and so the memory that it takes.
	maxResponseBytes = 256 << 20
)

// HTTP is a client of a store with an HTTP and JSON API.
//
// A write that fails before it has a connection is Unavailable; one that had a
// connection and got no complete response is UnknownOutcome. Reads have no
// effect, so their failures are always Unavailable.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
	calls   callCounter
}

// HTTPOption configures an HTTP client.
type HTTPOption func(*HTTP)

// WithCallTimeout sets the timeout of each call other than a watch.
func WithCallTimeout(timeout time.Duration) HTTPOption {
	return func(h *HTTP) { h.timeout = timeout }
}

// WithClient replaces the HTTP client, e.g. for TLS.
func WithClient(client *http.Client) HTTPOption {
	return func(h *HTTP) { h.client = client }
}

// NewHTTP returns a client for the store at baseURL, e.g. "http://10.0.0.5:7000".
func NewHTTP(baseURL string, options ...HTTPOption) *HTTP {
	h := &HTTP{
		base:    strings.TrimSuffix(baseURL, "/"),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}},
		timeout: defaultCallTimeout,
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Calls returns the number of calls so far. Each long poll of a watch counts as one.
func (h *HTTP) Calls() Calls { return h.calls.snapshot() }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, name string) (Object, error) {
	h.calls.get.Add(1)
	var found WireObject
	err := h.call(ctx, http.MethodGet, objectPath(name), nil, &found)
	return Object(found), err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, name string, value []byte, expected int64) (int64, error) {
	h.calls.put.Add(1)
	if len(value) > MaxValueBytes {
		return 0, tooLarge(name, len(value))
	}
	if value == nil {
		value = []byte{}
	}
	var written WireWritten
	err := h.call(ctx, http.MethodPut, objectPath(name)+"?"+expectedQuery(expected), value, &written)
	return written.Version, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, name string, expected int64) error {
	h.calls.delete.Add(1)
	var written WireWritten
	return h.call(ctx, http.MethodDelete, objectPath(name)+"?"+expectedQuery(expected), nil, &written)
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	h.calls.list.Add(1)
	var found WireObjects
	query := url.Values{ParamPrefix: {prefix}}
	if err := h.call(ctx, http.MethodGet, PathList+"?"+query.Encode(), nil, &found); err != nil {
		return nil, 0, err
	}
	return fromWire(found.Objects), found.Revision, nil
}

// Watch implements Store. It polls until there is a change, the context ends
// or a poll fails.
func (h *HTTP) Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error) {
	for ctx.Err() == nil {
		found, err := h.poll(ctx, prefix, after)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return nil, 0, err
		}
		if len(found.Objects) > 0 {
			return fromWire(found.Objects), found.Revision, nil
		}
		after = max(after, found.Revision)
	}
	return nil, after, nil
}

// poll makes one long poll.
func (h *HTTP) poll(ctx context.Context, prefix string, after int64) (WireObjects, error) {
	h.calls.watch.Add(1)
	query := url.Values{
		ParamPrefix:     {prefix},
		ParamAfter:      {strconv.FormatInt(after, 10)},
		ParamWaitMillis: {strconv.FormatInt(watchPollWait.Milliseconds(), 10)},
	}
	var found WireObjects
	ctx, cancel := context.WithTimeout(ctx, watchPollWait+watchGrace)
	defer cancel()
	err := h.exchange(ctx, http.MethodGet, PathWatch+"?"+query.Encode(), nil, &found)
	return found, err
}

// call makes one exchange within the call timeout.
func (h *HTTP) call(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.exchange(ctx, method, path, body, result)
}

// exchange sends a request and decodes the response into result, or into an error
// if the store refused the call.
func (h *HTTP) exchange(ctx context.Context, method, path string, body []byte, result any) error {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "correct the store's address in the settings", "store address %q cannot be used", h.base)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return h.callError(err, method, gotConn.Load())
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return h.callError(err, method, true)
	}
	if response.StatusCode != http.StatusOK {
		return h.responseError(method, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return h.callError(err, method, true)
	}
	return nil
}

// callError returns the error for a call that got no complete response.
func (h *HTTP) callError(cause error, method string, gotConn bool) error {
	if gotConn && method != http.MethodGet {
		return fault.Wrap(cause, fault.UnknownOutcome, "read the object back before acting", "the store at %s did not answer a write", h.base)
	}
	return fault.Wrap(cause, fault.Unavailable, "try again; if it lasts, check the platform's store and the network", "the store at %s cannot be reached", h.base)
}

// responseError turns a response with a status other than 200 into a typed error. A
// response that is not the store's own, e.g. of a proxy, leaves open whether a
// write took effect.
func (h *HTTP) responseError(method string, status int, content []byte) error {
	var refused WireError
	if err := json.Unmarshal(content, &refused); err == nil && knownKind(refused.Kind) {
		return fault.New(refused.Kind, refused.Remedy, "%s", refused.Message)
	}
	cause := fault.New(fault.Invalid, "check the store's address", "unexpected HTTP status %d", status)
	return h.callError(cause, method, true)
}

// knownKind reports whether the store may return errors of the kind.
func knownKind(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Conflict, fault.Unavailable, fault.UnknownOutcome, fault.Invalid:
		return true
	}
	return false
}

func objectPath(name string) string { return PathObjects + (&url.URL{Path: name}).EscapedPath() }

func expectedQuery(expected int64) string {
	return url.Values{ParamExpected: {strconv.FormatInt(expected, 10)}}.Encode()
}

func fromWire(objects []WireObject) []Object {
	converted := make([]Object, len(objects))
	for i, object := range objects {
		converted[i] = Object(object)
	}
	return converted
}

// callCounter counts calls; it is safe for concurrent use.
type callCounter struct {
	get, put, delete, list, watch atomic.Int64
}

func (c *callCounter) snapshot() Calls {
	return Calls{Get: c.get.Load(), Put: c.put.Load(), Delete: c.delete.Load(), List: c.list.Load(), Watch: c.watch.Load()}
}
