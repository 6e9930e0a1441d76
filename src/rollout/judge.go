package rollout

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Judge decides from the reports of all servers of a service whether the target version is bad.
type Judge struct {
	TargetVersion string
}

// Add takes in a report.
func (j *Judge) Add(now time.Time, r wire.RolloutReport) {}

// Find evaluates the evidence.
func (j *Judge) Find(now time.Time) Finding { return Finding{} }
