package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime is the time since the VM's start, with the time for which it was
// suspended; the clock of package time does not count that.
func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every kernel that the daemon runs on has this clock.
		panic("gateway: the kernel has no clock that counts suspension: " + err.Error())
	}
	return time.Duration(now.Nano())
}
