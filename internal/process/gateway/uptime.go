package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the VM booted, including the time it was
// suspended, which the monotonic clock of package time does not count.
func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// All supported kernels have this clock.
		panic("gateway: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
