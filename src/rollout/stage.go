package rollout

// Stage is how far a rollout has come.
type Stage uint8

// The stages in their order. StageNone stands for a service without a record.
const (
	StageNone       Stage = iota
	StageCanary           // a small share of the requests goes to the canary set of the new servers
	StageShift            // Plan.Share of the requests goes to the new servers
	StageDrainOld         // all requests go to the new servers; the old ones finish what they run
	StageCompleted        // settled: the old servers may be stopped
	StageRolledBack       // settled: the new servers may be stopped
)

var stageNames = [...]string{"none", "canary", "shift", "drain_old", "completed", "rolled_back"}

// String returns the name of the stage, as it appears in logs.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "unknown"
}

// IsSettled reports whether the stage is a verdict.
func (s Stage) IsSettled() bool { return s == StageCompleted || s == StageRolledBack }
