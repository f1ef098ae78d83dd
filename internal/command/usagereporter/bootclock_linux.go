package usagereporter

import (
	"time"

	"golang.org/x/sys/unix"
)

// readBootTime returns the time since the machine was started, including the time in which it
// was suspended.
func readBootTime() (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
