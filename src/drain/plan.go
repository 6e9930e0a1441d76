package drain

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
)

const (
	exitMargin     = 200 * time.Millisecond // from the reset of what remains until the process is killed
	deliveryMargin = 150 * time.Millisecond // from the last answers of this process until then, for callers to get them
	marginShare    = 10                     // a margin is at most this part of the grace
	maxSleep       = 100 * time.Millisecond // timers do not count the suspension of the VM, so that long waits look at the clock
)

// Plan is the schedule of one planned stop, fixed when it begins. Its durations count from Signal, so that a pause of the process or a suspension of its VM shortens the stop and does not postpone its end.
//
// Up to Handover all calls are taken that are expected to end before LastAnswer. From then on a call is taken only if it ends before LastAnswer whatever happens. At LastAnswer the calls still in flight are answered by this process, and at Kill their connections are reset.
type Plan struct {
	Signal     time.Time // by clock.NowWithSuspension
	Handover   time.Duration
	LastAnswer time.Duration
	Kill       time.Duration
}

// NewPlan returns the schedule of a stop that begins now, of a process that is killed after grace. The handover is at half of the grace at the latest.
func NewPlan(now time.Time, grace, handover time.Duration) Plan {
	kill := grace - min(exitMargin, grace/marginShare)
	return Plan{Signal: now, Handover: min(handover, grace/2), LastAnswer: kill - min(deliveryMargin, grace/marginShare), Kill: kill}
}

// Phase returns how far the stop is; that of a nil Plan is PhaseNone.
func (p *Plan) Phase(now time.Time) Phase {
	if p == nil {
		return PhaseNone
	}
	switch d := now.Sub(p.Signal); {
	case d < p.Handover:
		return PhaseHandover
	case d < p.LastAnswer:
		return PhaseFinish
	case d < p.Kill:
		return PhaseRefuse
	}
	return PhaseKill
}

// Left returns the time until d after Signal, negative after it.
func (p *Plan) Left(now time.Time, d time.Duration) time.Duration { return d - now.Sub(p.Signal) }

// Admits reports whether a call that takes up to longest may be taken; a nil Plan admits every call.
func (p *Plan) Admits(now time.Time, longest time.Duration) bool {
	switch p.Phase(now) {
	case PhaseNone, PhaseHandover:
		return true
	case PhaseFinish:
		return longest <= p.Left(now, p.LastAnswer)
	}
	return false
}

// Await waits until d after Signal or until ctx is done, and returns the error of ctx.
func (p *Plan) Await(ctx context.Context, d time.Duration) error {
	for {
		left := p.Left(clock.NowWithSuspension(), d)
		if left <= 0 {
			return ctx.Err()
		}
		t := time.NewTimer(min(left, maxSleep))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}
