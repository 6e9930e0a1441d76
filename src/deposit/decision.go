package deposit

import "time"

// Decision is what becomes of a request with an idempotency key: Granted, Replay, InProgress, Unknown or Mismatch.
type Decision interface{ isDecision() }

// Granted lets the request be sent; its claim must be ended by Finish, Release or Abandon.
type Granted struct {
	Claim Claim `json:"claim"`
}

// Replay answers with the recorded outcome of the request that ran.
type Replay struct {
	Record Record `json:"record"`
}

// InProgress tells that another request with this key is being served.
type InProgress struct {
	RetryAfter time.Duration `json:"retry_after_ns"`
}

// Unknown tells that an earlier request with this key may have run.
type Unknown struct{}

// Mismatch tells that the key was used for another request.
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
