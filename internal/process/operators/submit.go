package operators

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
	"github.com/chestnutcourse/chestnutcourse/internal/process/store"
	"github.com/chestnutcourse/chestnutcourse/internal/version/manifest"
)

// resolveRetry is the pause between attempts to learn what became of a write.
const resolveRetry = 200 * time.Millisecond

// Submitter changes the manifest by conditional writes. Exactly one change is
// accepted per version, and a change is derived from the version it replaces,
// so that no accepted change is lost.
type Submitter struct {
	// Store is the platform's store.
	Store store.Store
	// Deployment is the deployment that manifests must be for.
	Deployment string
	// Loads returns what the services use now.
	Loads func(context.Context) ([]manifest.ServiceLoad, error)
}

// Result is an accepted change.
type Result struct {
	Version int64
	// Repeated is set if the change had been accepted or was in force before.
	Repeated bool
}

// ConflictError tells a submitter which version won.
type ConflictError struct {
	CurrentVersion int64
	// OperationID is the operation that produced the current version.
	OperationID string
	err         error
}

// Error names the winner and the remedy.
func (e *ConflictError) Error() string { return e.err.Error() }

// Unwrap returns the error of kind Conflict.
func (e *ConflictError) Unwrap() error { return e.err }

func conflictWith(current *current, replaces int64) error {
	return &ConflictError{
		CurrentVersion: current.version, OperationID: current.envelope.OperationID,
		err: fault.New(fault.Conflict, "fetch that version, apply the change to it, and submit the result as its replacement",
			"the manifest is at version %d (operation %q), not %d", current.version, current.envelope.OperationID, replaces),
	}
}

// current is the manifest in the store.
type current struct {
	version  int64
	envelope *manifest.Envelope
}

// Submit validates a manifest and writes it in place of the version that it
// replaces. A lost answer is resolved by reading back; a repeated submission
// changes nothing.
func (s *Submitter) Submit(ctx context.Context, operationID string, document []byte, replaces int64, force bool) (Result, error) {
	if err := checkOperation(operationID); err != nil {
		return Result{}, err
	}
	m, err := manifest.Decode(document)
	if err != nil {
		return Result{}, err
	}
	if m.Deployment != s.Deployment {
		return Result{}, fault.New(fault.Invalid, "submit it to the daemons of its own deployment, or correct the field deployment",
			"the manifest is for deployment %q, this is %q", m.Deployment, s.Deployment)
	}
	found, err := s.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if version, ok := found.envelope.VersionOf(operationID, found.version); ok {
		return Result{Version: version, Repeated: true}, nil
	}
	if found.version != replaces {
		return Result{}, conflictWith(found, replaces)
	}
	return s.write(ctx, found, m, operationID, force)
}

// Drain drains or restores a target, VM or failure domain in whatever version
// is current. Other operators' changes stay.
func (s *Submitter) Drain(ctx context.Context, operationID string, scope manifest.Scope, name string, drained, force bool) (Result, error) {
	if err := checkOperation(operationID); err != nil {
		return Result{}, err
	}
	for {
		found, err := s.read(ctx)
		if err != nil {
			return Result{}, err
		}
		if version, ok := found.envelope.VersionOf(operationID, found.version); ok {
			return Result{Version: version, Repeated: true}, nil
		}
		if found.envelope.Manifest == nil {
			return Result{}, fault.New(fault.NotFound, "submit a manifest first", "there is no manifest")
		}
		next, changed, err := found.envelope.Manifest.WithDrain(scope, name, drained)
		if err != nil {
			return Result{}, err
		}
		if !changed {
			return Result{Version: found.version, Repeated: true}, nil
		}
		result, err := s.write(ctx, found, next, operationID, force)
		if !fault.Is(err, fault.Conflict) || ctx.Err() != nil {
			return result, err
		}
	}
}

func checkOperation(operationID string) error {
	if operationID == "" {
		return fault.New(fault.Invalid, "send an id that is unique to the change, e.g. a UUID", "the operation id is missing")
	}
	return nil
}

// read returns the manifest in the store; version 0 and an empty envelope if
// there is none.
func (s *Submitter) read(ctx context.Context) (*current, error) {
	object, err := s.Store.Get(ctx, manifest.ObjectName)
	if fault.Is(err, fault.NotFound) {
		return &current{version: store.Absent, envelope: &manifest.Envelope{}}, nil
	}
	if err != nil {
		return nil, err
	}
	envelope, err := manifest.DecodeEnvelope(object.Value)
	if err != nil {
		return nil, err
	}
	return &current{version: object.Version, envelope: envelope}, nil
}

// write checks the change and puts it in place of the current version.
func (s *Submitter) write(ctx context.Context, found *current, m *manifest.Manifest, operationID string, force bool) (Result, error) {
	if !force {
		loads, err := s.Loads(ctx)
		if err != nil {
			return Result{}, err
		}
		if err := manifest.CheckChangeErr(found.envelope.Manifest, m, loads); err != nil {
			return Result{}, err
		}
	}
	envelope := &manifest.Envelope{OperationID: operationID, Manifest: m}
	if found.version != store.Absent {
		envelope = found.envelope.Next(found.version, m, operationID)
	}
	value, err := envelope.Encode()
	if err != nil {
		return Result{}, err
	}
	version, err := s.Store.Put(ctx, manifest.ObjectName, value, found.version)
	switch {
	case err == nil:
		return Result{Version: version}, nil
	case fault.Is(err, fault.UnknownOutcome), fault.Is(err, fault.Conflict):
		return s.resolve(ctx, operationID, value, found.version, err)
	}
	return Result{}, err
}

// resolve finds out what became of a write. The write may be repeated, because
// it is conditional on the version that it replaces: it takes effect at most
// once, whichever attempt arrives.
func (s *Submitter) resolve(ctx context.Context, operationID string, value []byte, replaces int64, cause error) (Result, error) {
	for {
		found, err := s.read(ctx)
		if err == nil {
			if version, ok := found.envelope.VersionOf(operationID, found.version); ok {
				return Result{Version: version}, nil
			}
			if found.version != replaces {
				return Result{}, conflictWith(found, replaces)
			}
			version, err := s.Store.Put(ctx, manifest.ObjectName, value, replaces)
			if err == nil {
				return Result{Version: version}, nil
			}
		}
		select {
		case <-ctx.Done():
			return Result{}, stillUnknown(cause, operationID)
		case <-time.After(resolveRetry):
		}
	}
}

// stillUnknown reports a write that could not be resolved in time.
func stillUnknown(cause error, operationID string) error {
	var typed *fault.Error
	if errors.As(cause, &typed) && typed.Kind == fault.Conflict {
		return cause
	}
	return fault.Wrap(cause, fault.UnknownOutcome, "submit it again with the same operation id once the store answers; it takes effect at most once",
		"it is not known whether operation %q was accepted", operationID)
}
