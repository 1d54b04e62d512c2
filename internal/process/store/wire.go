package store

import "github.com/chestnutcourse/chestnutcourse/internal/process/fault"

// Paths of the store's HTTP API.
const (
	// PathObjects is followed by the object's name; it supports GET, PUT and DELETE.
	PathObjects = "/v1/objects/"
	// PathList takes the query parameter prefix.
	PathList = "/v1/list"
	// PathWatch takes the query parameters prefix, after and waitMillis.
	PathWatch = "/v1/watch"
)

// Query parameters of the store's HTTP API.
const (
	ParamExpected   = "expected"
	ParamPrefix     = "prefix"
	ParamAfter      = "after"
	ParamWaitMillis = "waitMillis"
)

// WireObject is the JSON encoding of an object. Value is base64 in JSON.
type WireObject struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// WireWritten is the response to a successful write or deletion.
type WireWritten struct {
	Version int64 `json:"version"`
}

// WireObjects is the response to a list or a watch.
type WireObjects struct {
	Objects  []WireObject `json:"objects"`
	Revision int64        `json:"revision"`
}

// WireError is the response to a call that the store refused. Kind is one of the
// kinds that Store documents.
type WireError struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}
