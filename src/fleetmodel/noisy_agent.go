package fleetmodel

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/booking"
)

// slowdown returns how many times as long work takes at the agent's server now, and the time until
// that may change, 0 for never.
func (a *agent) slowdown() (float64, time.Duration) {
	n := a.noise
	if !a.noisy {
		return 1, 0
	}
	since := a.fleet.clock.now.Sub(a.fleet.start) + time.Duration(a.member.ID)*n.Period/7 // the servers do not change together
	left := n.Period - since%n.Period
	if xxh3.HashString(fmt.Sprint(a.fleet.Seed, a.member.ID, since/n.Period))&1 == 0 {
		return 1, left
	}
	return n.Factor, left
}

// spend calls done when the server has done work that takes the given time without noise.
func (a *agent) spend(work time.Duration, done func()) {
	f, until := a.slowdown()
	need := time.Duration(float64(work) * f)
	if until == 0 || need <= until {
		a.fleet.clock.after(need, done)
		return
	}
	a.fleet.clock.after(until, func() { a.spend(work-time.Duration(float64(until)/f), done) })
}

// reportSpeed passes the current speed to the booking core, as an answer of the server does.
func (a *agent) reportSpeed() {
	if a.noise.Told {
		f, _ := a.slowdown()
		a.stepBooking(booking.Speed{Percent: int(100*f + 0.5)})
	}
}
