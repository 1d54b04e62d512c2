package deployment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/fencetarget"
)

// attempts numbers the attempts of all callers.
var attempts atomic.Int64

// Result is what a caller got.
type Result struct {
	Attempt string
	Status  int
	// Whole is set if the answer is a server's whole answer to this attempt.
	Whole bool
	Err   error
	Began time.Time
	Took  time.Duration
	// Kept is set if the request went over a connection that had been used before.
	Kept bool
}

// Caller sends requests to one VM over kept connections.
type Caller struct {
	address string
	client  *http.Client
	// AccessKey is the access key that requests carry, if any.
	AccessKey string
}

// Caller returns a caller of a VM.
func (v *VM) Caller() *Caller {
	return &Caller{address: v.Callers, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Close closes the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Send sends one request; key counts for paths of the keyed service.
func (c *Caller) Send(ctx context.Context, method, path string, key int, body io.Reader) Result {
	r := Result{Attempt: fmt.Sprintf("attempt-%d", attempts.Add(1))}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return Result{Err: err}
	}
	// A failed attempt must not be repeated unseen.
	request.GetBody = nil
	request.Host = Host
	request.Header.Set("Attempt-Id", r.Attempt)
	request.Header.Set("Request-Deadline", "2500")
	request.Header.Set("Shard-Key", fmt.Sprint(key))
	if c.AccessKey != "" {
		request.Header.Set("Credential", c.AccessKey)
	}
	r.Began = time.Now()
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { r.Kept = got.Reused },
	})))
	r.Took = time.Since(r.Began)
	if err != nil {
		r.Err = err
		return r
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	r.Took = time.Since(r.Began)
	r.Status, r.Err = response.StatusCode, err
	id := ""
	_, _ = fmt.Sscanf(string(content), "answer of %s to", &id)
	r.Whole = err == nil && response.Header.Get("Server-Seal") == fencetarget.Seal(r.Attempt) &&
		string(content) == fencetarget.Body(id, r.Attempt)
	return r
}
