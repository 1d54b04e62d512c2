//go:build !cgo

package signals

// restoreHangUp does nothing: without cgo, SIGHUP is not changed before the Go runtime starts.
func restoreHangUp() {}
