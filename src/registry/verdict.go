package registry

// Verdict is what becomes of a heartbeat.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "taken"
	VerdictStale    Verdict = "stale"   // older than what is known; acknowledged, changes nothing
	VerdictRefused  Verdict = "refused" // does not describe the backend server beside this agent
)
