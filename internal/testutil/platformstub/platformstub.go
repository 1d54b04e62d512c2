// Package platformstub is a stand-in of the users' object store for tests:
// objects by kind and name with revisions, conditional writes, pages, watches,
// and the ways in which the store fails.
package platformstub

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PathFaults takes the Faults in force, for tests in other processes.
const PathFaults = "/stub/faults"

// Faults says how the store misbehaves; the zero value is a healthy store.
type Faults struct {
	// Status refuses every call with it: 503 or 429.
	Status int `json:"status,omitempty"`
	// Silent answers nothing.
	Silent bool `json:"silent,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseAnswers is the number of coming writes whose answers are lost.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LateMillis is by how much a write with a lost answer takes effect late.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// MuteWatches leaves watches without events.
	MuteWatches bool `json:"muteWatches,omitempty"`
}

// Metadata is what the store keeps about an object.
type Metadata struct {
	Name       string `json:"name"`
	Rev        int64  `json:"rev"`
	CreatedRev int64  `json:"createdRev"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     int64
	Object  Object
	Deleted bool
}

// text returns the object as JSON. encoding/json refuses values that are nested deeper
// than 10,000, which the store takes.
func (o Object) text() string {
	status := string(o.Status)
	if status == "" {
		status = "null"
	}
	return fmt.Sprintf(`{"metadata":%s,"spec":%s,"status":%s}`, encode(o.Metadata), o.Spec, status)
}

// Stub is the stand-in; it is an http.Handler.
type Stub struct {
	// PageSize is the number of objects in a page of a list.
	PageSize int

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	events   []event
	// dropped is the revision up to which the history is gone.
	dropped int64
	changed chan struct{}
	faults  Faults
	calls   map[string]int
	// era numbers the copies from which the store has been restored. answering is held, shared,
	// from an operation to its answer, so that no restore comes between them.
	era       int
	answering sync.RWMutex
}

// New returns an empty store.
func New() *Stub {
	return &Stub{
		PageSize: 500, revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Copy is the state of a store at one moment.
type Copy struct {
	revision int64
	objects  map[string]map[string]Object
	events   []event
}

// Copy returns a copy of the store's state.
func (s *Stub) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, objects: map[string]map[string]Object{}, events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces the state of the store by a copy. Revisions since are given out again, and
// another era begins. Watches that wait are not told.
func (s *Stub) Restore(c Copy) {
	s.answering.Lock()
	defer s.answering.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.events, s.dropped = c.revision, slices.Clone(c.events), 0
	s.objects = map[string]map[string]Object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
}

// Rewrite writes again what operators and servers had changed between a copy and the state that
// its restore has replaced, unless it has been changed since.
func (s *Stub) Rewrite(lost, copied Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range []string{"config", "servers", "evacuations"} {
		for name, o := range lost.objects[kind] {
			unchanged := s.objects[kind][name].Metadata.Rev == copied.objects[kind][name].Metadata.Rev
			if unchanged && o.Metadata.Rev != copied.objects[kind][name].Metadata.Rev {
				s.write(kind, name, o.Spec, o.Status)
			}
		}
		for name, o := range copied.objects[kind] {
			_, kept := lost.objects[kind][name]
			if !kept && s.objects[kind][name].Metadata.Rev == o.Metadata.Rev {
				s.remove(kind, name)
			}
		}
	}
}

// eraHeader sets the header that names the store's era when the answer is written.
type eraHeader struct {
	http.ResponseWriter
	stub *Stub
}

func (w eraHeader) WriteHeader(status int) {
	w.stub.mu.Lock()
	w.Header().Set("Store-Era", fmt.Sprintf("era-%d", w.stub.era))
	w.stub.mu.Unlock()
	w.ResponseWriter.WriteHeader(status)
}

// SetFaults replaces the faults in force.
func (s *Stub) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory forgets all events; waiting watches are left without a word.
func (s *Stub) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.dropped = nil, s.revision
}

// Calls returns the number of calls by method.
func (s *Stub) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Set writes an object as the platform does, without condition.
func (s *Stub) Set(kind, name string, spec, status any) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, encode(spec), encode(status)).Metadata.Rev
}

// Remove deletes an object as the platform does.
func (s *Stub) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns an object.
func (s *Stub) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func encode(value any) json.RawMessage {
	if raw, ok := value.(json.RawMessage); ok {
		return raw
	}
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}

// write stores an object; the lock is held.
func (s *Stub) write(kind, name string, spec, status json.RawMessage) Object {
	s.revision++
	before, existed := s.objects[kind][name]
	o := Object{Metadata: Metadata{Name: name, Rev: s.revision, CreatedRev: s.revision}, Spec: spec, Status: status}
	if existed {
		o.Metadata.CreatedRev = before.Metadata.CreatedRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, rev: s.revision, Object: o})
	return o
}

func (s *Stub) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Rev = s.revision
	delete(s.objects[kind], name)
	s.record(event{kind: kind, rev: s.revision, Object: o, Deleted: true})
}

func (s *Stub) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		return
	}
	s.mu.Lock()
	s.calls[r.Method]++
	f := s.faults
	s.mu.Unlock()
	w = eraHeader{w, s}
	if !s.misbehave(w, r, f) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.answering.RLock()
	defer s.answering.RUnlock()
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	s.change(w, r, kind, name, f)
}

// misbehave applies faults and reports whether the call goes on.
func (s *Stub) misbehave(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Silent {
		// Only a read of the whole request lets the server notice its end.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return false
	}
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	return true
}

func (s *Stub) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name == "" {
		s.list(w, kind, r.URL.Query().Get("after"))
		return
	}
	if o, ok := s.Get(kind, name); ok {
		answer(w, http.StatusOK, o)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *Stub) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > s.PageSize
	if more {
		names = names[:s.PageSize]
	}
	items := []string{}
	for _, name := range names {
		items = append(items, s.objects[kind][name].text())
	}
	revision := s.revision
	s.mu.Unlock()
	answerPage(w, "items", items, fmt.Sprintf(`"hasMore":%t,"at":%d`, more, revision))
}

// watch answers as soon as there is an event, or once the time is over.
func (s *Stub) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	millis, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil || millis > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		answered, changed := s.answerWatch(w, kind, from, over)
		if answered {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch answers a watch if there is an event, or its time is over.
func (s *Stub) answerWatch(w http.ResponseWriter, kind string, from int64, over bool) (answered bool, changed chan struct{}) {
	s.answering.RLock()
	defer s.answering.RUnlock()
	found, at, gone, changed := s.eventsAfter(kind, from)
	if gone {
		w.WriteHeader(http.StatusGone)
		return true, nil
	}
	if len(found) == 0 && !over {
		return false, changed
	}
	texts := []string{}
	for _, e := range found {
		texts = append(texts, fmt.Sprintf(`{"object":%s,"deleted":%t}`, e.Object.text(), e.Deleted))
	}
	answerPage(w, "events", texts, fmt.Sprintf(`"at":%d`, at))
	return true, nil
}

func (s *Stub) eventsAfter(kind string, from int64) (found []event, at int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = []event{}
	if s.faults.MuteWatches {
		return found, from, false, s.changed
	}
	if from < s.dropped {
		return nil, 0, true, nil
	}
	for _, e := range s.events {
		if e.kind == kind && e.rev > from {
			found = append(found, e)
		}
	}
	return found, s.revision, false, s.changed
}

func (s *Stub) change(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var o Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else if rev, err := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64); err == nil {
		o.Metadata.Rev = rev
	}
	if f.LoseAnswers > 0 {
		s.mu.Lock()
		s.faults.LoseAnswers--
		s.mu.Unlock()
		if f.LateMillis == 0 {
			s.apply(r.Method, kind, name, o)
		} else {
			time.AfterFunc(time.Duration(f.LateMillis)*time.Millisecond, func() { s.apply(r.Method, kind, name, o) })
		}
		panic(http.ErrAbortHandler)
	}
	status, written := s.apply(r.Method, kind, name, o)
	answer(w, status, written)
}

// apply carries a write out if its condition holds.
func (s *Stub) apply(method, kind, name string, o Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = o.Metadata.Name
	}
	found, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, found
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, Object{}
	case method != http.MethodPost && o.Metadata.Rev != 0 && o.Metadata.Rev != found.Metadata.Rev:
		return http.StatusConflict, found
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, found
	}
	return http.StatusOK, s.write(kind, name, o.Spec, found.Status)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func answerPage(w http.ResponseWriter, field string, items []string, rest string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A caller that has left needs no answer.
	_, _ = fmt.Fprintf(w, `{"%s":[%s],%s}`, field, strings.Join(items, ","), rest)
}
