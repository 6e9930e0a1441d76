package registry

// Verdict is the outcome of a heartbeat or leave message.
type Verdict string

// The values appear in logs.
const (
	VerdictAccepted Verdict = "taken"
	VerdictStale    Verdict = "stale"   // not newer than the current state, or a leave of another instance; acknowledged, but the current state is unchanged (a leave is still recorded)
	VerdictRefused  Verdict = "refused" // incomplete, or about another service or address
)
