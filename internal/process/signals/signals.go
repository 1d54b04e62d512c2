// Package signals subscribes to the daemon's signals as early as a Go program can.
//
// Until a program subscribes to SIGHUP and SIGTERM, the Go runtime lets them end the
// process. Subscribing in main is too late: the packages that the daemon imports are
// initialised before main, and that takes most of the start-up time. A package is
// initialised once its imports are, and among those that are ready the order is that of
// the import paths. This package must therefore import little, so that it is among the
// first. In a build with cgo, SIGHUP is also ignored until this package is initialised.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// Stop receives SIGTERM and SIGINT.
	Stop = subscribe(syscall.SIGTERM, os.Interrupt)
	// HangUp receives SIGHUP.
	HangUp = subscribe(syscall.SIGHUP)
)

// subscribe returns a channel that receives the signals. It buffers one signal: another
// one that arrives before the first is read adds no information.
func subscribe(which ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which...)
	return signals
}

// ResetHangUp restores the action that SIGHUP had at the start of the process: it ends
// the process unless it was ignored then. A SIGHUP that is still unread in HangUp is
// sent again, so that it has this effect too.
func ResetHangUp() {
	signal.Reset(syscall.SIGHUP)
	restoreHangUp()
	select {
	case <-HangUp:
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	default:
	}
}
