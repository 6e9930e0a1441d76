package rollout

import (
	"fmt"
	"math"
	"time"
)

// enoughAnswers is the number of answers after which a version of badShare is expected to be found.
var enoughAnswers = int(math.Ceil(evidenceLimit / (badShare*math.Log(badShare/tolerableShare) + (1-badShare)*math.Log((1-badShare)/(1-tolerableShare)))))

// wantedStage returns the stage that is due, StageNone to leave the record as it is.
func (c *Coordinator) wantedStage(now time.Time) (stage Stage, share float64, reason string) {
	ready, _ := c.readySlots(true)
	old, _ := c.readySlots(false)
	isMissing := !c.missingAt.IsZero() && now.Sub(c.missingAt) >= graceTime
	hasNoOld := !c.noOldAt.IsZero() && now.Sub(c.noOldAt) >= graceTime
	switch {
	case c.stopped:
		return StageRolledBack, 0, c.stopReason
	case !c.hasRecord() && ready > 0 && hasNoOld:
		return StageCompleted, 1, "there are no servers of another version"
	case !c.hasRecord() && ready > 0 && old > 0:
		return StageCanary, 0, "order seen"
	case !c.hasRecord() && c.elapsed(now) >= c.order.Duration && isMissing:
		return StageRolledBack, 0, "no server of the version was ready before the deadline"
	case !c.hasRecord():
		return StageNone, 0, ""
	case isMissing:
		return StageRolledBack, 0, fmt.Sprintf("%d of at least %d servers of the version ready for %v", ready, c.maxReady, graceTime)
	case now.Sub(c.resumedAt) < maxReportAge || !c.hasFreshReports(now):
		return StageNone, 0, "" // what this coordinator knows is old
	case c.plan.Stage == StageDrainOld:
		return c.afterDrain(now)
	}
	return c.afterStep(now)
}

// afterStep returns the step after the canary or a shift, once it is due.
func (c *Coordinator) afterStep(now time.Time) (stage Stage, share float64, reason string) {
	next, ok := stepAfter(c.plan)
	shortest, longest := dwell(c.plan)
	spent := c.elapsed(now) - c.plan.Elapsed
	if !ok || spent < shortest {
		return StageNone, 0, ""
	}
	_, newSlots := c.readySlots(true)
	_, oldSlots := c.readySlots(false)
	lacksAnswers := c.plan.Stage == StageCanary && c.finding.Total < enoughAnswers
	lacksSlots := float64(newSlots) < next.share*minReadySlots*float64(oldSlots)
	isBehind := c.finding.Behind && next.stage == StageShift
	switch {
	case spent < longest && (lacksAnswers || lacksSlots || isBehind || c.finding.Undecided):
		return StageNone, 0, ""
	case lacksSlots && c.elapsed(now) < part(c.order.Duration, settleShare):
		return StageNone, 0, ""
	case lacksSlots:
		return StageRolledBack, 0, fmt.Sprintf("%d slots of the version ready, too few for the old servers' %d", newSlots, oldSlots)
	case c.finding.Undecided && c.finding.Evidence >= rejectEvidence*c.finding.Limit:
		return StageRolledBack, 0, "still suspect after the longest wait: " + c.finding.String()
	}
	return next.stage, next.share, c.finding.String()
}

// rejectEvidence is the share of the limit from which on a version that is still suspect after the
// longest wait is rolled back.
const rejectEvidence = 0.45

// minReadySlots is the share of the old servers' slots that the new ones must have ready, for each
// share of requests shifted. Some servers may be restarting.
const minReadySlots = 0.75

// afterDrain returns the verdict once the old servers run nothing.
func (c *Coordinator) afterDrain(now time.Time) (stage Stage, share float64, reason string) {
	spent := c.elapsed(now) - c.plan.Elapsed
	shortest, longest := part(c.order.Duration, settleDwellShare), part(c.order.Duration, drainShare)
	switch busy := c.busyOldServers(now); {
	case spent < shortest || spent < longest && busy > 0:
		return StageNone, 0, ""
	case busy > 0:
		return StageCompleted, 1, fmt.Sprintf("%d old servers did not report that they run nothing within %v", busy, longest)
	}
	return StageCompleted, 1, "the old servers run nothing"
}

// busyOldServers returns how many ready old servers have not reported that they refuse new calls and
// run none.
func (c *Coordinator) busyOldServers(now time.Time) int {
	busy := 0
	for _, srv := range c.servers {
		if !srv.Ready || srv.Version == c.order.TargetVersion {
			continue
		}
		r, ok := c.reports[srv.ID]
		if !ok || now.Sub(r.at) > maxReportAge || !r.report.Draining || r.report.InFlight > 0 || int(r.report.Step) < c.plan.Step {
			busy++
		}
	}
	return busy
}

// hasFreshReports reports whether at least half of the ready new servers have reported lately, so
// that a coordinator cut off from them does not go on.
func (c *Coordinator) hasFreshReports(now time.Time) bool {
	ready, fresh := 0, 0
	for _, srv := range c.servers {
		if !srv.Ready || srv.Version != c.order.TargetVersion {
			continue
		}
		ready++
		if r, ok := c.reports[srv.ID]; ok && now.Sub(r.at) <= maxReportAge {
			fresh++
		}
	}
	return 2*fresh >= ready
}
