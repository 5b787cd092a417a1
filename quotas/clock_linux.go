package quotas

import (
	"time"

	"golang.org/x/sys/unix"
)

// steadyTime returns the time since the system started, including the time in which it was suspended.
func steadyTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// processStart is the origin of the clock where the system has no CLOCK_BOOTTIME.
var processStart = time.Now()
