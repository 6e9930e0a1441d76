package dispatch

// TimerKind names what a timer of a call is for.
type TimerKind string

// The timers of a call.
const (
	TimerAttempt TimerKind = "attempt" // an attempt's timeout, at the latest the call's deadline
	TimerHedge   TimerKind = "hedge"   // the answer to an idempotent call is late enough for a hedged request
)
