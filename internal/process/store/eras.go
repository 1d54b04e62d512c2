package store

import (
	"errors"
	"sync"

	"github.com/chestnutcourse/chestnutcourse/internal/process/fault"
)

// ErrRestored is the cause of the errors of calls that name a version from before the store was
// restored from a copy. A write whose error is of kind Conflict had no effect; one of kind
// UnknownOutcome may have replaced an object that the caller has not read.
var ErrRestored = errors.New("the store has been restored from a copy since the version was read")

// revisionBits is the number of bits of a version that hold the store's revision. The bits above
// number the store's eras, so that versions of different eras differ, and later ones are higher.
const revisionBits = 48

// maxEras is the number of eras that a client tells apart; further ones count as the last.
const maxEras = 1 << 14

// Revision returns the store's revision of a version.
func Revision(version int64) int64 { return version & (1<<revisionBits - 1) }

// eraOf returns the number of the era of a version.
func eraOf(version int64) int64 { return version >> revisionBits }

// Eras numbers the eras of a store in the order in which a client meets them in its answers. A
// store that is restored from an older copy begins another era: its revision goes back, and a
// revision that it gives out again names another state. Eras is safe for concurrent use; nil is
// that of a store that is never restored.
type Eras struct {
	mu    sync.Mutex
	names []string
}

// Meet returns the number of the era that an answer names. An answer that names none counts as
// one of the latest era.
func (e *Eras) Meet(name string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name == "" {
		return e.latest()
	}
	for number, known := range e.names {
		if known == name {
			return int64(number)
		}
	}
	if len(e.names) < maxEras {
		e.names = append(e.names, name)
	}
	return e.latest()
}

// latest returns the number of the latest era; the caller holds the lock.
func (e *Eras) latest() int64 { return int64(max(len(e.names)-1, 0)) }

// isPast reports whether a later era is known than the one with a number.
func (e *Eras) isPast(number int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number < e.latest()
}

// Name returns the name of the era of a version, or of the latest era for Absent. It is "" if
// the store names no eras.
func (e *Eras) Name(version int64) string {
	if e == nil {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	number := eraOf(version)
	if version == Absent {
		number = e.latest()
	}
	if int(number) >= len(e.names) {
		return ""
	}
	return e.names[number]
}

// VersionOf returns the version for a revision in an answer of the era with a number.
func VersionOf(era, revision int64) int64 { return era<<revisionBits | revision }

// BeforeCall returns an error if a call that names a version must not be made, because the
// version is of a past era.
func (e *Eras) BeforeCall(version int64) error {
	if version != Absent && e.isPast(eraOf(version)) {
		return errRestored(fault.Conflict)
	}
	return nil
}

// AfterRead returns an error if an answer to a read is of a past era. named is the version that
// the call named, or Absent.
func (e *Eras) AfterRead(named, number int64) error {
	if e.isPast(number) {
		return fault.Wrap(ErrRestored, fault.Unavailable, "try again", "the answer is from before the store was restored")
	}
	if named != Absent && eraOf(named) != number {
		return errRestored(fault.Conflict)
	}
	return nil
}

// AfterWrite returns the error of a conditional write with an answer of the era with a number.
// err is the error that the answer states. A write on a version of another era that took
// effect replaced a state that the caller does not know.
func (e *Eras) AfterWrite(expected, number int64, err error) error {
	switch {
	case expected == Absent, eraOf(expected) == number, fault.Is(err, fault.Unavailable), fault.Is(err, fault.UnknownOutcome):
		return err
	case err == nil:
		return errRestored(fault.UnknownOutcome)
	}
	return errRestored(fault.Conflict)
}

func errRestored(kind fault.Kind) error {
	return fault.Wrap(ErrRestored, kind, "read the object again", "the object's version is of a past era of the store")
}
