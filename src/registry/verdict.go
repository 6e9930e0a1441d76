package registry

// Verdict is the outcome of a heartbeat or leave message.
type Verdict string

// The verdicts.
const (
	VerdictAccepted Verdict = "taken"
	VerdictStale    Verdict = "stale"   // older than the current state; acknowledged, changes nothing
	VerdictRefused  Verdict = "refused" // does not describe this agent's backend server
)
