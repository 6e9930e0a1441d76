package dispatch

import (
	"context"

	"github.com/yuccaport/yuccaport/src/deposit"
)

// Deposits keeps the claims and outcomes of payments, so that each runs at most once and its repeats receive the recorded answer.
//
// Its methods may be called concurrently; *deposit.Guard implements it.
type Deposits interface {
	// Begin claims a payment's key, or decides how the request is to be answered instead; on an error the request must not be sent, but an earlier one with the key may have run.
	//
	// A claim that it grants is to be ended by one call of Finish, Release or Abandon.
	Begin(ctx context.Context, service, key string, fingerprint uint64) (deposit.Decision, error)
	// Confirm returns the claim, which may be renewed, if it still allows the payment to be sent, otherwise an error; it is called before each attempt.
	Confirm(ctx context.Context, c deposit.Claim) (deposit.Claim, error)
	// Finish records the outcome of a payment that ran.
	Finish(ctx context.Context, c deposit.Claim, r deposit.Record) error
	// Release gives back the claim of a payment that has not run.
	Release(ctx context.Context, c deposit.Claim) error
	// Abandon marks the claim of a payment that may have run.
	Abandon(ctx context.Context, c deposit.Claim) error
}
