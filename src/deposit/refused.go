package deposit

import (
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// refusal is an error that tells when to come back.
type refusal struct {
	error
	after time.Duration
}

func (r refusal) Unwrap() error { return r.error }

func refused(place, reason string, after time.Duration) error {
	err := problem.New(problem.NotRun, place, reason,
		"this request did not run, and whether an earlier one with this key did is not known here: repeat it with the same key")
	return refusal{error: err, after: after}
}

// RetryAfter returns when to come back after an error of Begin or Confirm, 0 when it does not say.
func RetryAfter(err error) time.Duration {
	var r refusal
	if errors.As(err, &r) {
		return r.after
	}
	return 0
}
