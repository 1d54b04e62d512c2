package store

import (
	"context"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// PutResolved writes like Put. If the outcome is unknown, it reads the object back;
// isOwn reports whether a stored value is the one of this write, which carries an
// operation id for that purpose. The error is UnknownOutcome if the read failed
// too, if the write is not visible yet, or if another writer has since replaced or
// deleted the object, which hides whether this write took effect.
func PutResolved(ctx context.Context, s Store, name string, value []byte, expected int64, isOwn func(stored []byte) bool) (int64, error) {
	version, err := s.Put(ctx, name, value, expected)
	if !fault.Is(err, fault.UnknownOutcome) {
		return version, err
	}
	stored, readErr := s.Get(ctx, name)
	switch {
	case readErr == nil && isOwn(stored.Value):
		return stored.Version, nil
	case readErr == nil && stored.Version == expected:
		return 0, notVisibleYet(err, name)
	case readErr == nil:
		return 0, fault.Wrap(err, fault.UnknownOutcome, "compare the current object with the change and repeat it if it is missing",
			"object %q is now at version %d, written by another operation", name, stored.Version)
	case fault.Is(readErr, fault.NotFound) && expected == Absent:
		return 0, notVisibleYet(err, name)
	}
	return 0, err
}

// notVisibleYet returns the error for a write that is not visible yet. Its outcome
// stays unknown because the store may still apply it.
func notVisibleYet(cause error, name string) error {
	return fault.Wrap(cause, fault.UnknownOutcome, "repeat the write with the same expected version and operation id; it takes effect at most once",
		"the write of object %q is not visible yet", name)
}
