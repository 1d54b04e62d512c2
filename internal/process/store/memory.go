package store

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// historyLength is the number of changes that a Memory store keeps for watches.
const historyLength = 4096

// Memory is an in-memory store for development and tests.
type Memory struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]Object
	// history holds the latest changes in ascending order of their versions.
	history []Object
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   Calls
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Copy returns a copy of the store, with its revision and history. Changes of one do not
// affect the other.
func (m *Memory) Copy() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Memory{
		revision: m.revision, objects: maps.Clone(m.objects), history: slices.Clone(m.history), changed: make(chan struct{}),
	}
}

// Calls returns the number of calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Get++
	object, ok := m.objects[name]
	if !ok {
		return Object{}, notFound(name)
	}
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, name string, value []byte, expected int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Put++
	if len(value) > MaxValueBytes {
		return 0, tooLarge(name, len(value))
	}
	if found := m.objects[name].Version; found != expected {
		return 0, conflict(name, expected, found)
	}
	m.apply(Object{Name: name, Value: append([]byte(nil), value...)})
	return m.revision, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, name string, expected int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Delete++
	found, ok := m.objects[name]
	if !ok {
		return notFound(name)
	}
	if found.Version != expected {
		return conflict(name, expected, found.Version)
	}
	m.apply(Object{Name: name, Deleted: true})
	return nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.List++
	var found []Object
	for name, object := range m.objects {
		if strings.HasPrefix(name, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, m.revision, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error) {
	m.mu.Lock()
	m.calls.Watch++
	m.mu.Unlock()
	for {
		changes, revision, changed, err := m.changesSince(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, after, nil
		case <-changed:
		}
	}
}

// changesSince returns the changes after a revision, the current revision, and a
// channel that is closed at the next change.
func (m *Memory) changesSince(prefix string, after int64) ([]Object, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.history) > 0 && m.history[0].Version > after+1 {
		return nil, 0, nil, fault.New(fault.Conflict, "list again", "the changes after revision %d are no longer available", after)
	}
	start := sort.Search(len(m.history), func(i int) bool { return m.history[i].Version > after })
	var changes []Object
	for _, object := range m.history[start:] {
		if strings.HasPrefix(object.Name, prefix) {
			changes = append(changes, object)
		}
	}
	return changes, m.revision, m.changed, nil
}

// apply makes a change at the next revision and wakes the waiting watches.
func (m *Memory) apply(object Object) {
	m.revision++
	object.Version = m.revision
	if object.Deleted {
		delete(m.objects, object.Name)
	} else {
		m.objects[object.Name] = object
	}
	m.history = append(m.history, object)
	if len(m.history) > historyLength {
		m.history = append([]Object(nil), m.history[len(m.history)-historyLength:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func notFound(name string) error {
	return fault.New(fault.NotFound, "create it first", "object %q does not exist", name)
}

func tooLarge(name string, size int) error {
	return fault.New(fault.Invalid, "split the object", "object %q has %d bytes, more than the limit of %d", name, size, MaxValueBytes)
}

func conflict(name string, expected, found int64) error {
	return fault.New(fault.Conflict, "read the object again and repeat the change", "object %q is at version %d, not %d", name, found, expected)
}
