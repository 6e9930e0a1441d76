package drain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call must not be taken late in a planned stop, when it could only be cut at the end.
func TestPlanAdmits(t *testing.T) {
	epoch := time.Unix(1000, 0)
	const ms = time.Millisecond
	normal, short := NewPlan(epoch, 6*time.Second, 2200*ms), NewPlan(epoch, time.Second, 2200*ms)
	tests := map[string]struct {
		plan    *Plan
		at      time.Duration
		longest time.Duration
		phase   Phase
		want    bool
	}{
		"no stop":                 {nil, 0, time.Hour, PhaseNone, true},
		"before the handover":     {&normal, 2199 * ms, time.Hour, PhaseHandover, true},
		"fits":                    {&normal, 2200 * ms, 3450 * ms, PhaseFinish, true},
		"does not fit":            {&normal, 2200 * ms, 3451 * ms, PhaseFinish, false},
		"at the last answer":      {&normal, 5650 * ms, 0, PhaseRefuse, false},
		"at the kill":             {&normal, 5800 * ms, 0, PhaseKill, false},
		"short grace, handover":   {&short, 499 * ms, time.Hour, PhaseHandover, true},
		"short grace, fits":       {&short, 500 * ms, 300 * ms, PhaseFinish, true},
		"short grace, last":       {&short, 800 * ms, 0, PhaseRefuse, false},
		"short grace, kill":       {&short, 900 * ms, 0, PhaseKill, false},
		"suspended past the kill": {&normal, time.Hour, 0, PhaseKill, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, tc.plan.Phase(epoch.Add(tc.at)), qt.Equals, tc.phase)
			qt.Check(t, tc.plan.Admits(epoch.Add(tc.at), tc.longest), qt.Equals, tc.want)
		})
	}
}
