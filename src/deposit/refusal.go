package deposit

import (
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// refusal is an error that states when to repeat the request.
type refusal struct {
	error
	retryAfter time.Duration
}

func (r refusal) Unwrap() error { return r.error }

func newRefusal(place, reason string, retryAfter time.Duration) error {
	err := problem.New(problem.NotRun, place, reason,
		"this request did not run, but an earlier one with the same key may have: repeat it with the same key")
	return refusal{error: err, retryAfter: retryAfter}
}

// RetryAfter returns how long to wait before repeating a request that Begin or Confirm refused with err, 0 if err does not state it.
func RetryAfter(err error) time.Duration {
	var r refusal
	if errors.As(err, &r) {
		return r.retryAfter
	}
	return 0
}
