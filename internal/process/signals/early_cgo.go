//go:build cgo

package signals

/*
#include <signal.h>

static void (*inherited)(int);

// Runs once the program is loaded, before the Go runtime starts, which leaves an
// ignored SIGHUP alone until the program asks for it.
__attribute__((constructor)) static void ignoreHangUp(void) {
	inherited = signal(SIGHUP, SIG_IGN);
}

static void restoreHangUp(void) { signal(SIGHUP, inherited); }
*/
import "C"

// restoreHangUp gives SIGHUP the action that it had at the start of the process.
func restoreHangUp() { C.restoreHangUp() }
