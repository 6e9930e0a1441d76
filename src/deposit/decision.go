package deposit

import "time"

// Decision is how a request with an idempotency key is handled: Granted, Replay, InProgress, Unknown, Mismatch or NotRun. Begin does not return NotRun.
type Decision interface{ isDecision() }

// Granted allows the request to be sent; its claim must be ended by Finish, Release or Abandon.
type Granted struct {
	Claim Claim `json:"claim"`
}

// Replay holds the recorded outcome of an earlier request with this key.
type Replay struct {
	Record Record `json:"record"`
}

// InProgress means that another request with this key is being served.
type InProgress struct {
	RetryAfter time.Duration `json:"retry_after_ns"`
}

// Unknown means that an earlier request with this key may have run.
type Unknown struct{}

// Mismatch means that the key was used for a request with another fingerprint, so with other contents.
type Mismatch struct{}

// NotRun refuses the request; Begin returns it as an error of kind problem.NotRun.
type NotRun struct {
	RetryAfter time.Duration `json:"retry_after_ns"`
}

func (Granted) isDecision()    {}
func (Replay) isDecision()     {}
func (InProgress) isDecision() {}
func (Unknown) isDecision()    {}
func (Mismatch) isDecision()   {}
func (NotRun) isDecision()     {}
