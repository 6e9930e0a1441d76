package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var aheadAtStart = aheadOfMonotonic()

// aheadOfMonotonic returns how far the clock that counts suspension is ahead of the monotonic one,
// zero where the clocks cannot be read.
func aheadOfMonotonic() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// NowWithSuspension returns the time by a clock that also advances while the VM is suspended. Its
// times are to be compared with one another only.
func NowWithSuspension() time.Time { return time.Now().Add(aheadOfMonotonic() - aheadAtStart) }
