package dispatch

import (
	"context"

	"github.com/yuccaport/yuccaport/src/deposit"
)

// Deposits decides on payments with an idempotency key; *deposit.Guard implements it.
type Deposits interface {
	// Begin decides on a payment; on an error the payment has not run.
	Begin(ctx context.Context, service, key string, fingerprint uint64) (deposit.Decision, error)
	// Confirm returns the claim if it still allows the payment to be sent, otherwise an error.
	Confirm(ctx context.Context, c deposit.Claim) (deposit.Claim, error)
	// Finish records the outcome of a payment that ran.
	Finish(ctx context.Context, c deposit.Claim, r deposit.Record) error
	// Release gives back the claim of a payment that has certainly not run.
	Release(ctx context.Context, c deposit.Claim) error
	// Abandon marks the claim of a payment that may have run.
	Abandon(ctx context.Context, c deposit.Claim) error
}
