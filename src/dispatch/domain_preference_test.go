package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Pattern: demand near the capacity of the failure domain, of servers that share their VMs. Guards
// against calls that are refused by one full server after the other, over failure domains, although
// they would be in time in the first queue, and against long waits where no preference is set.
func TestWaitWithinObjective(t *testing.T) {
	tests := map[string]struct {
		always, ifShared bool
		speed            int // as the servers report it, 0 for none
		minWait, maxWait time.Duration
	}{
		"no preference":                  {maxWait: 60 * ms},
		"preferred":                      {always: true, minWait: 90 * ms, maxWait: 100 * ms},
		"if shared, not shared":          {ifShared: true, maxWait: 60 * ms},
		"if shared, speed reported":      {ifShared: true, speed: 100, minWait: 90 * ms, maxWait: 100 * ms},
		"shared, but no setting":         {speed: 100, maxWait: 60 * ms},
		"slow now, so less time is left": {always: true, speed: 200, minWait: 40 * ms, maxWait: 60 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newObjectiveCore()
			c.Settings.PreferDomain, c.Settings.PreferDomainIfShared = tc.always, tc.ifShared
			load := Load{Free: 1, Slots: 10, ServiceTime: 100 * ms, Speed: tc.speed}
			c.Step(epoch, CallArrived{Call: 1, Policy: readPolicy, Remaining: time.Second, Objective: 300 * ms})
			c.Step(epoch, AttemptAnswered{Call: 1, Attempt: 1, Status: 200, Load: load})
			for _, srv := range c.members {
				srv.recordLoad(epoch, "read", load)
			}
			for _, a := range c.Step(epoch, CallArrived{Call: 2, Policy: readPolicy, Remaining: time.Second, Objective: 300 * ms}) {
				if s, ok := a.(SendAttempt); ok {
					qt.Check(t, s.MaxQueueWait >= tc.minWait && s.MaxQueueWait <= tc.maxWait, qt.IsTrue, qt.Commentf("%v", s.MaxQueueWait))
				}
			}
		})
	}
}
