package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Pauses tells how long the VM was suspended, which the clock behind timers does not count.
type Pauses struct {
	ahead time.Duration // of the clock that counts suspension, when last asked
	known bool
}

// Since returns how long the VM was suspended since the last call, zero where the clocks cannot be read.
func (p *Pauses) Since() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	ahead := time.Duration(boot.Nano() - mono.Nano())
	before, known := p.ahead, p.known
	p.ahead, p.known = ahead, true
	if !known {
		return 0
	}
	return max(0, ahead-before)
}
