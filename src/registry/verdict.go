package registry

// Verdict is the outcome of a heartbeat or leave message.
type Verdict string

// The values appear in logs.
const (
	VerdictAccepted Verdict = "taken"
	VerdictStale    Verdict = "stale"   // older than the current state, or the leave of another instance; acknowledged, leaves the current state as it is (a leave is still recorded)
	VerdictRefused  Verdict = "refused" // incomplete, or about another service or address
)
