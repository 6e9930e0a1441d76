package roster

// Reason is why a member's state changed.
type Reason string

// Reasons for a change of state.
const (
	ReasonJoined       Reason = "joined"    // first seen, and not dead
	ReasonUpdate       Reason = "news"      // reported by another member or by the member itself
	ReasonNoAnswer     Reason = "no_answer" // answered neither a ping nor indirect pings, or sent nothing while its reported death was verified
	ReasonTimedOut     Reason = "timed_out" // did not refute a suspicion in time, here or at the member that reported its death
	ReasonReplaced     Reason = "replaced"  // another member runs at its address
	ReasonLeft         Reason = "left"      // announced its own death
	ReasonRefutedDeath Reason = "came_back" // refuted its death
	ReasonReportedDead Reason = "told_dead" // first seen, and already dead; not reported by Changed
)
