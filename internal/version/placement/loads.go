package placement

import "github.com/chestnutcourse/chestnutcourse/internal/version/assignment"

// Loads holds measured loads in requests per second.
type Loads struct {
	slices map[SliceID]float64
	keys   map[string]float64
}

// NewLoads returns an empty set of loads.
func NewLoads() *Loads {
	return &Loads{slices: map[SliceID]float64{}, keys: map[string]float64{}}
}

// SetSlice records the load of a slice.
func (l *Loads) SetSlice(id SliceID, requestsPerSecond float64) { l.slices[id] = requestsPerSecond }

// Known reports whether a slice has a load, measured or estimated.
func (l *Loads) Known(id SliceID) bool {
	_, known := l.slices[id]
	return known
}

// SetKey records the load of a key that may not have a slice of its own.
func (l *Loads) SetKey(key string, requestsPerSecond float64) { l.keys[key] = requestsPerSecond }

// Slice returns the load of a slice, 0 if none was measured.
func (l *Loads) Slice(id SliceID) float64 {
	if l == nil {
		return 0
	}
	return l.slices[id]
}

// Key returns the load of a key, 0 if none was measured.
func (l *Loads) Key(key string) float64 {
	if l == nil {
		return 0
	}
	return l.keys[key]
}

// Retain drops slices and keys for which keep reports false.
func (l *Loads) Retain(keepSlice func(SliceID) bool, keepKey func(string) bool) {
	for id := range l.slices {
		if !keepSlice(id) {
			delete(l.slices, id)
		}
	}
	for key := range l.keys {
		if !keepKey(key) {
			delete(l.keys, key)
		}
	}
}

// split estimates the loads of the two parts of a range by their widths.
func (l *Loads) split(id SliceID, last uint64) {
	if l == nil {
		return
	}
	load := l.slices[id]
	left := load * (float64(last-id.First) + 1) / (float64(id.Last-id.First) + 1)
	l.slices[SliceID{First: id.First, Last: last}] = left
	l.slices[SliceID{First: last + 1, Last: id.Last}] = load - left
}

// isolate takes the load of a key out of the load of its range.
func (l *Loads) isolate(id SliceID, key string) {
	hash := assignment.HashKey(key)
	load := min(l.keys[key], l.slices[id])
	l.slices[SliceID{First: hash, Last: hash, Key: key}] = load
	l.slices[id] -= load
}

// join adds the load of one slice to that of another under a new identity.
func (l *Loads) join(a, b, joined SliceID) {
	if l == nil {
		return
	}
	l.slices[joined] = l.slices[a] + l.slices[b]
}
