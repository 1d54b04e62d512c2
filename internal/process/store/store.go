// Package store defines the interface to the platform's store. The store is the
// only place where VMs reach agreement and where state is kept durably.
//
// Guarantees of every implementation: versions are positive and increase with
// each write to any object of the store; a conditional write takes effect only
// if the object is at the expected version; a watch delivers versions of an
// object in order and may skip some, but never the latest one. All
// implementations pass the conformance test of package storetest.
package store

import (
	"context"
)

// MaxValueBytes is the size limit of a value in the platform's store.
const MaxValueBytes = 1 << 20

// Absent is the expected version of an object that must not exist yet.
const Absent int64 = 0

// Object is one object at one version.
type Object struct {
	Name    string
	Version int64
	Value   []byte
	// Deleted is set in the results of a watch if the object was removed at Version.
	Deleted bool
}

// Store is the platform's object API. Its errors have a kind of package fault:
// NotFound, Conflict (the message names the version found), Unavailable (the call
// had no effect), UnknownOutcome (it may have had one) or Invalid.
type Store interface {
	// Get returns an object.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes an object if it is at the expected version (Absent to create)
	// and returns the new version.
	Put(ctx context.Context, name string, value []byte, expected int64) (int64, error)
	// Delete removes an object if it is at the expected version.
	Delete(ctx context.Context, name string, expected int64) error
	// List returns the objects whose names begin with prefix, and the revision
	// to pass to Watch.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Watch waits until objects with the prefix change after the given revision, the
	// store confirms that none have, or the context ends. It returns the changes, if any,
	// and the revision for the next call; the end of the context is not an error. If the store no longer has the
	// changes since that revision, Watch returns Conflict and the caller has to
	// list again.
	Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error)
}

// Calls holds the number of calls made to a store, by operation. A watch that waits
// counts as one call; the HTTP client counts each of its long polls.
type Calls struct {
	Get, Put, Delete, List, Watch int64
}

// Counter is a store that counts its calls.
type Counter interface {
	Calls() Calls
}
