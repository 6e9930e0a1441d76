package roster

// Reason tells why a member's state changed.
type Reason string

// The reasons.
const (
	ReasonJoined       Reason = "joined"
	ReasonUpdate       Reason = "news"      // told by another member or by itself
	ReasonNoAnswer     Reason = "no_answer" // silent to a ping and to indirect pings
	ReasonTimedOut     Reason = "timed_out" // did not refute a suspicion in time
	ReasonReplaced     Reason = "replaced"  // another member runs at its address
	ReasonLeft         Reason = "left"      // announced its own end
	ReasonRefutedDeath Reason = "came_back" // refuted its death
	ReasonReportedDead Reason = "told_dead" // first heard of as dead
)
