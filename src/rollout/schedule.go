package rollout

import "time"

// The schedule of a rollout, in shares of the order's duration. A bad version that is found before
// all requests are shifted has had at most senderShare * canaryShare of the exposure, and what
// Limiter allows in the steps after it.
const (
	canaryShare      = 0.5  // of the time left when the canary starts
	canaryExtension  = 0.1  // longest further wait for evidence, also of the time left
	settleShare      = 0.9  // of the duration, until which the verdict is to be written
	drainShare       = 0.1  // longest wait in StageDrainOld for the old servers to finish
	stepExtension    = 0.04 // longest further wait in a step while the version is suspect or lacks servers
	minDwellFactor   = 0.5  // of a step's time that remains when the rollout is late
	settleDwellShare = 0.01 // shortest time in StageDrainOld, in which all senders learn of it
)

// step is a step after the canary.
type step struct {
	stage Stage
	share float64
	dwell float64 // share of the duration until the next step
	rest  float64 // share of the duration from the start of this step to the verdict
}

// finalShare is the share of the last step of StageShift. The rest stays with the old servers, since
// without their answers at the same time a disturbance of all servers looks like a bad version.
const finalShare = 0.9

var steps = []step{
	{StageShift, 0.25, 0.07, 0.22},
	{StageShift, 0.5, 0.06, 0.15},
	{StageShift, finalShare, 0.05, 0.09},
	{StageDrainOld, 1, 0, 0.04},
}

// stepAfter returns the step that follows a record.
func stepAfter(p Plan) (next step, ok bool) {
	for _, s := range steps {
		if p.Stage < s.stage || p.Stage == s.stage && p.Share < s.share {
			return s, true
		}
	}
	return step{}, false
}

// dwell returns the shortest and the longest time in the stage of a record before the next step.
func dwell(p Plan) (shortest, longest time.Duration) {
	d := p.Order.Duration
	if p.Stage == StageCanary {
		left := max(d-p.Elapsed, d/2)
		return part(left, canaryShare), part(left, canaryShare+canaryExtension)
	}
	for _, s := range steps {
		if p.Stage == s.stage && p.Share == s.share {
			factor := float64(part(d, settleShare)-p.Elapsed) / float64(part(d, s.rest))
			shortest = part(d, s.dwell*min(1, max(minDwellFactor, factor)))
		}
	}
	return shortest, shortest + part(d, stepExtension)
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
