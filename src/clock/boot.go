package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the system's start, suspensions included.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
