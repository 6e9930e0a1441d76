package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Boot returns the time on the clock that counts suspension of the VM, as a time since an arbitrary
// epoch. Where that clock cannot be read, the time on the monotonic clock is returned.
func Boot() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(0, t.Nano())
}
