package cut

// End is how a request ended, as its caller saw it.
type End uint8

// The ends of a request. Each one whose header was read has exactly one.
const (
	EndUnknown       End = iota
	EndAnswered          // the whole answer of a backend server, with a status below 500, has been written
	EndServerFailure     // the same with a status of 500 or above
	EndNotRun            // refused with a status that says that the request has not run and may be repeated
	EndRejected          // refused with a status that says that it must not be repeated unchanged
	EndMayHaveRun        // answered with 502
	EndTimeout           // answered with 504, or ended at its deadline
	EndCallerLeft        // its caller left
	EndParent            // the call within which it was made ended
	EndStalled           // its caller took no bytes of the answer, or sent none of the body, for too long
	EndCut               // its connection was closed before its answer was whole
	numEnds
)

var endNames = [numEnds]string{
	EndUnknown: "unknown", EndAnswered: "answered", EndServerFailure: "answered_server_failure", EndNotRun: "refused_not_run", EndRejected: "rejected",
	EndMayHaveRun: "refused_may_have_run", EndTimeout: "timeout", EndCallerLeft: "caller_left", EndParent: "parent_ended", EndStalled: "caller_stalled", EndCut: "cut",
}

// String returns the name in logs and metrics.
func (e End) String() string { return endNames[e] }

// IsLogged reports whether a request that ends so has a line "request cut". The others have a line
// that says how they were answered.
func (e End) IsLogged() bool {
	switch e {
	case EndAnswered, EndServerFailure, EndNotRun, EndRejected:
		return false
	}
	return true
}
