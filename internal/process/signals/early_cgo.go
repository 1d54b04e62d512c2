//go:build cgo

package signals

/*
#include <signal.h>

static void (*inherited)(int);

// Runs when the program is loaded, before the Go runtime starts. The runtime leaves an
// ignored SIGHUP ignored until the program subscribes to it.
__attribute__((constructor)) static void ignoreHangUp(void) {
	inherited = signal(SIGHUP, SIG_IGN);
}

static void restoreHangUp(void) { signal(SIGHUP, inherited); }
*/
import "C"

// restoreHangUp restores the action that SIGHUP had at the start of the process.
func restoreHangUp() { C.restoreHangUp() }
