// Package storestub is a stand-in of the platform's store for tests: the HTTP
// form over store.Memory, with outages, slowness, lost answers and failing
// watches on demand.
//
// It also holds the platform's lagging list of VMs, as objects under
// PlatformPrefix that tests write like any other.
package storestub

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
)

// Paths that tests use.
const (
	// PathFaults takes the Faults in force: GET and PUT.
	PathFaults = "/stub/faults"
	// PathCalls returns the CallCounts since the start.
	PathCalls = "/stub/calls"
)

// Faults says how the store misbehaves; the zero value is a healthy store.
type Faults struct {
	// Outage refuses every call without effect.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseAnswers is the number of coming writes whose answers are lost after
	// the write has taken effect.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// OutageAfterWrites begins an outage right after that many more writes;
	// 0 means never.
	OutageAfterWrites int `json:"outageAfterWrites,omitempty"`
	// OutageAfterWriteTo begins an outage right after the next write to the
	// object with this name.
	OutageAfterWriteTo string `json:"outageAfterWriteTo,omitempty"`
	// FailWatches refuses watches.
	FailWatches bool `json:"failWatches,omitempty"`
}

// CallCounts counts the calls that reached the store, also those refused.
type CallCounts struct {
	store.Calls
	// Refused is how many of them were refused by an outage.
	Refused int64
}

// Stub is the stand-in; it is an http.Handler.
type Stub struct {
	memory *store.Memory
	mux    *http.ServeMux

	mu     sync.Mutex
	faults Faults
	counts CallCounts
	// changed is closed when the faults change, to end waiting watches.
	changed chan struct{}
}

// New returns a healthy, empty store.
func New() *Stub {
	s := &Stub{memory: store.NewMemory(), mux: http.NewServeMux(), changed: make(chan struct{})}
	s.mux.HandleFunc("GET "+store.PathObjects+"{name...}", s.get)
	s.mux.HandleFunc("PUT "+store.PathObjects+"{name...}", s.put)
	s.mux.HandleFunc("DELETE "+store.PathObjects+"{name...}", s.delete)
	s.mux.HandleFunc("GET "+store.PathList, s.list)
	s.mux.HandleFunc("GET "+store.PathWatch, s.watch)
	s.mux.HandleFunc("GET "+PathFaults, s.getFaults)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("GET "+PathCalls, s.getCalls)
	return s
}

// Memory returns the store behind the stand-in, which has no faults.
func (s *Stub) Memory() *store.Memory { return s.memory }

// SetFaults replaces the faults in force.
func (s *Stub) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(faults)
}

// setFaults is SetFaults with the lock held.
func (s *Stub) setFaults(faults Faults) {
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (s *Stub) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the calls so far.
func (s *Stub) Calls() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP implements http.Handler.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Stub) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, func(c *store.Calls) { c.Get++ }) {
		return
	}
	object, err := s.memory.Get(r.Context(), r.PathValue("name"))
	respond(w, store.WireObject(object), err)
}

func (s *Stub) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil || !s.admit(w, r, func(c *store.Calls) { c.Put++ }) {
		return
	}
	s.write(w, r, func(expected int64) (int64, error) {
		return s.memory.Put(r.Context(), r.PathValue("name"), value, expected)
	})
}

func (s *Stub) delete(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, func(c *store.Calls) { c.Delete++ }) {
		return
	}
	s.write(w, r, func(expected int64) (int64, error) {
		return 0, s.memory.Delete(r.Context(), r.PathValue("name"), expected)
	})
}

// write applies a conditional write and answers, unless the answer is to be lost.
func (s *Stub) write(w http.ResponseWriter, r *http.Request, apply func(expected int64) (int64, error)) {
	expected, err := strconv.ParseInt(r.URL.Query().Get(store.ParamExpected), 10, 64)
	if err != nil {
		respond(w, nil, fault.Wrap(err, fault.Invalid, "send an integer", "parameter %s cannot be read", store.ParamExpected))
		return
	}
	version, err := apply(expected)
	if err == nil && s.afterWrite(r.PathValue("name")) {
		panic(http.ErrAbortHandler)
	}
	respond(w, store.WireWritten{Version: version}, err)
}

// afterWrite advances the faults that count writes and reports whether the
// answer is lost.
func (s *Stub) afterWrite(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	lost := faults.LoseAnswers > 0
	if lost {
		faults.LoseAnswers--
	}
	if faults.OutageAfterWrites > 0 {
		faults.OutageAfterWrites--
		faults.Outage = faults.Outage || faults.OutageAfterWrites == 0
	}
	if name == faults.OutageAfterWriteTo {
		faults.OutageAfterWriteTo, faults.Outage = "", true
	}
	if faults != s.faults {
		s.setFaults(faults)
	}
	return lost
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, func(c *store.Calls) { c.List++ }) {
		return
	}
	objects, revision, err := s.memory.List(r.Context(), r.URL.Query().Get(store.ParamPrefix))
	respond(w, toWire(objects, revision), err)
}

func (s *Stub) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, func(c *store.Calls) { c.Watch++ }) {
		return
	}
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get(store.ParamAfter), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get(store.ParamWaitMillis), 10, 64)
	if err := errors.Join(errAfter, errWait); err != nil {
		respond(w, nil, fault.Wrap(err, fault.Invalid, "send integers", "the watch's parameters cannot be read"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	go s.cancelOnFault(ctx, cancel)
	objects, revision, err := s.memory.Watch(ctx, query.Get(store.ParamPrefix), after)
	if faults := s.Faults(); faults.Outage || faults.FailWatches {
		objects, err = nil, unavailable()
	}
	respond(w, toWire(objects, revision), err)
}

// cancelOnFault ends a waiting watch when an outage or failing watches begin.
func (s *Stub) cancelOnFault(ctx context.Context, cancel context.CancelFunc) {
	for {
		s.mu.Lock()
		failing, changed := s.faults.Outage || s.faults.FailWatches, s.changed
		s.mu.Unlock()
		if failing {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// admit counts a call, delays it, and refuses it during an outage.
func (s *Stub) admit(w http.ResponseWriter, r *http.Request, count func(*store.Calls)) bool {
	s.mu.Lock()
	count(&s.counts.Calls)
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(delay):
	}
	s.mu.Lock()
	refused := s.faults.Outage || s.faults.FailWatches && strings.HasPrefix(r.URL.Path, store.PathWatch)
	if refused {
		s.counts.Refused++
	}
	s.mu.Unlock()
	if refused {
		respond(w, nil, unavailable())
	}
	return !refused
}

func (s *Stub) getFaults(w http.ResponseWriter, _ *http.Request) { respond(w, s.Faults(), nil) }

func (s *Stub) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		respond(w, nil, fault.Wrap(err, fault.Invalid, "send the faults as JSON", "the faults cannot be read"))
		return
	}
	s.SetFaults(faults)
	respond(w, faults, nil)
}

func (s *Stub) getCalls(w http.ResponseWriter, _ *http.Request) { respond(w, s.Calls(), nil) }

func unavailable() error {
	return fault.New(fault.Unavailable, "wait for the end of the outage", "the store is out of service")
}

// statusOf maps the kinds of errors to HTTP statuses.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	case fault.Invalid:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// respond writes a result, or the error in its place.
func respond(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	var typed *fault.Error
	if errors.As(err, &typed) {
		status = statusOf(typed.Kind)
		result = store.WireError{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result)
}

func toWire(objects []store.Object, revision int64) store.WireObjects {
	converted := make([]store.WireObject, len(objects))
	for i, object := range objects {
		converted[i] = store.WireObject(object)
	}
	return store.WireObjects{Objects: converted, Revision: revision}
}
