// Package signals takes the signals of the daemon as early as a Go program can.
//
// Until a program asks for a signal the runtime lets SIGHUP and SIGTERM end the
// process. Asking for them in main is late: the packages that the daemon imports
// initialise themselves before it, which takes most of the start. Packages are
// initialised in the order of their import paths once those that they import are, so
// this one, which imports little, is among the first; it must stay so. Where the program
// is linked against the C library, SIGHUP is ignored until then.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// Stop receives SIGTERM and SIGINT.
	Stop = take(syscall.SIGTERM, os.Interrupt)
	// HangUp receives SIGHUP.
	HangUp = take(syscall.SIGHUP)
)

// take returns a channel with room for one signal: a second of its kind that comes
// before the first was read says nothing new.
func take(which ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which...)
	return signals
}

// HangUpEnds lets SIGHUP end the process, also one that was taken before, unless it
// was started to ignore it.
func HangUpEnds() {
	signal.Reset(syscall.SIGHUP)
	restoreHangUp()
	select {
	case <-HangUp:
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	default:
	}
}
