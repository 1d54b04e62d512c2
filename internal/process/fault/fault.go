// Package fault defines the typed errors of the project. Every error that
// reaches an operator says what happened and how to remedy it.
package fault

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies an error. Code branches on it with Is, never on the text.
type Kind string

const (
	// Invalid means that the input is wrong; the message names the field.
	Invalid Kind = "invalid"
	// Conflict means that the object was changed by another writer first.
	Conflict Kind = "conflict"
	// NotFound means that the object does not exist.
	NotFound Kind = "not-found"
	// Unavailable means that the call had no effect and may be retried.
	Unavailable Kind = "unavailable"
	// UnknownOutcome means that the call may have taken effect: read the object
	// back before acting.
	UnknownOutcome Kind = "unknown-outcome"
	// Refused means that a rule of the system forbids the operation.
	Refused Kind = "refused"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	// Remedy says what the operator can do about the error; it is never empty.
	Remedy string
	Cause  error
}

// Error returns the message, the cause and the remedy on one line, as
// "message: cause; remedy".
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of the kind. The message is formatted from format and
// args; Error appends the remedy to it.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the kind with a cause. Its message and remedy are as
// in New.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause}
}

// Is reports whether err, or an error that it wraps, is of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
