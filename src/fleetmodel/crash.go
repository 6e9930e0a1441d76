package fleetmodel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/wire"
)

// crash ends the agent's server, with all that it runs, for its downtime.
func (a *agent) crash() {
	f := a.fleet
	f.lastCall++
	e := quarantine.Crashed{ID: f.lastCall, Instance: fmt.Sprint("i-", a.member.ID)}
	var running []uint64
	for _, id := range slices.Sorted(maps.Keys(a.inbound)) {
		if in := a.inbound[id]; !in.admittedAt.IsZero() {
			running = append(running, id)
			e.Contents = append(e.Contents, in.request.content)
		}
	}
	slices.Sort(e.Contents)
	e.Contents = slices.Compact(e.Contents)
	a.crashes++
	a.stepQuarantine(e)
	a.stepBooking(booking.Health{State: booking.HealthDown})
	for _, id := range running {
		repeated := a.quarantine.IsRepeated(a.inbound[id].request.content)
		a.stepBooking(booking.Release{Call: id, Result: booking.ResultFailed})
		a.answerRefused(id, dispatch.AttemptRefused{Reason: wire.ReasonCrashed, MayHaveRun: true, Repeated: repeated})
	}
	f.clock.after(a.downtime, func() { a.stepBooking(booking.Health{State: booking.HealthUp}) })
}

// stepQuarantine passes an event to the quarantine core and tells all other agents what it says.
func (a *agent) stepQuarantine(e quarantine.Event) {
	for _, action := range a.quarantine.Step(a.fleet.clock.now, e) {
		broadcast, ok := action.(quarantine.Broadcast)
		if !ok {
			continue
		}
		for _, to := range a.fleet.agents {
			if to != a {
				a.fleet.clock.after(a.fleet.Delay, func() { to.stepQuarantine(quarantine.Received(broadcast)) })
			}
		}
	}
}

// quarantineRefusal reports whether the agent refuses to send a request, and when its caller may come
// back.
func (a *agent) quarantineRefusal(q *request) (time.Duration, bool) {
	v, ok := a.quarantine.Verdict(a.fleet.clock.now, q.content).(quarantine.Refused)
	return v.RetryAfter, ok
}

// admitQuarantined reports whether the agent refuses to run a request that has been admitted, and when
// its caller may come back. It claims a probe that is due.
func (a *agent) admitQuarantined(q *request) (time.Duration, bool) {
	switch v := a.quarantine.Verdict(a.fleet.clock.now, q.content).(type) {
	case quarantine.Refused:
		return v.RetryAfter, true
	case quarantine.ProbeDue:
		claimed := a.fleet.claims[q.content] >= v.Number
		a.fleet.claims[q.content] = max(a.fleet.claims[q.content], v.Number)
		a.stepQuarantine(quarantine.ProbeClaimed{Probe: quarantine.Probe{Content: q.content, Number: v.Number}, Own: !claimed})
		return time.Second, claimed
	}
	return 0, false
}
