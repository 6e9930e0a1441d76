package rollout

// Outcome is how the run of a call at a backend server ended, as far as it says something about the
// server's version.
type Outcome uint8

// The outcomes.
const (
	OutcomeAnswered Outcome = iota // a complete answer with a status below 500
	OutcomeFailed                  // a 5xx answer of the server itself, or a connection that ended mid-answer
	OutcomeHung                    // no answer within the route's timeout
	OutcomeCrashed                 // the server crashed while it ran the call
	OutcomeCut                     // given up by the caller or at the caller's own deadline; says at most that the run took longer
	OutcomeIgnored                 // refused, not run, or lost on a link: says nothing
)
