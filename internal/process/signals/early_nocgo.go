//go:build !cgo

package signals

// restoreHangUp has nothing to restore: nothing was changed before the runtime's start.
func restoreHangUp() {}
