package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/chestnutcourse/chestnutcourse/api/operatorv1"
	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// client calls the operators' API of the first server that accepts a connection.
type client struct {
	servers []string
	http    *http.Client
}

// apiError is an error response of the server.
type apiError struct {
	body operatorv1.Error
}

// Error returns the server's message and remedy.
func (e *apiError) Error() string { return e.body.Message + "; " + e.body.Remedy }

// Unwrap returns a fault.Error with the kind that the server reported.
func (e *apiError) Unwrap() error {
	return fault.New(e.body.Kind, e.body.Remedy, "%s", e.body.Message)
}

// get reads a resource and decodes the response into result.
func (c *client) get(path string, query url.Values, result any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(http.MethodGet, path, nil, result)
}

// post submits a change and decodes the response into result.
func (c *client) post(path string, body, result any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "correct the input", "the request cannot be encoded as JSON")
	}
	return c.call(http.MethodPost, path, content, result)
}

// call sends a request to each server in turn until one accepts a connection.
// Other errors are not retried on the next server, because the request may have
// taken effect.
func (c *client) call(method, path string, body []byte, result any) error {
	var err error
	for _, server := range c.servers {
		var request *http.Request
		request, err = http.NewRequest(method, strings.TrimSuffix(server, "/")+path, bytes.NewReader(body))
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "correct --server", "%q is not an address", server)
		}
		var response *http.Response
		response, err = c.http.Do(request)
		if err == nil {
			return decodeResponse(response, method, result)
		}
		if !isDialError(err) {
			break
		}
	}
	return noResponseError(err, method)
}

// isDialError reports whether err means that no connection was established, so
// the request has not been sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// noResponseError returns the error of a call without a complete response. It is
// Unavailable for reads and for changes that were not sent, because no connection
// was established, and UnknownOutcome for other changes.
func noResponseError(cause error, method string) error {
	if method == http.MethodGet || isDialError(cause) {
		return fault.Wrap(cause, fault.Unavailable, "name another VM with --server", "no server answered")
	}
	return fault.Wrap(cause, fault.UnknownOutcome, "repeat the command with the same --operation; it takes effect at most once", "the server did not answer the change")
}

// decodeResponse decodes a response into result, or returns the error that it
// holds.
func decodeResponse(response *http.Response, method string, result any) error {
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return noResponseError(err, method)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(content, result); err != nil {
			return fault.Wrap(err, fault.UnknownOutcome, "check that --server is the address of an operators' API", "the response cannot be decoded")
		}
		return nil
	}
	apiErr := &apiError{}
	if err := json.Unmarshal(content, &apiErr.body); err != nil || apiErr.body.Kind == "" {
		return fault.New(fault.UnknownOutcome, "check that --server is the address of an operators' API", "the server answered with status %d", response.StatusCode)
	}
	return apiErr
}
