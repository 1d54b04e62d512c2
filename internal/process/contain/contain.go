// Package contain keeps a panic from ending the process where the work in hand can be
// given up alone: a request, a message of another VM, an entry of the store.
//
// It is not for changes of control state that begin inside the process: their panics show
// a broken invariant, after which the process must not go on.
package contain

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/chestnutcourse/chestnutcourse/internal/process/events"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Run calls f and reports whether it returned. If it panics, Run logs the panic with its
// stack; work says what was given up.
func Run(logger *zerolog.Logger, work string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		if reason := recover(); reason != nil {
			Log(logger, work, reason)
		}
	}()
	f()
	return true
}

// Log logs a panic that has been recovered. It is called by the function that recovered it.
func Log(logger *zerolog.Logger, work string, reason any) {
	stack := debug.Stack()
	events.PanicContained.Log(logger).Str("work", work).Str("reason", fmt.Sprint(reason)).
		Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Send()
}
