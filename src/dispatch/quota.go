package dispatch

import (
	"context"
	"time"
)

// Quota limits the requests of tenants. Its methods are called concurrently.
type Quota interface {
	// Take takes the credit of one request of a tenant. It may wait up to maxWait, and until ctx is
	// done, for credit of another agent. If there is none, ok is false and retryAfter the time until
	// credit is expected.
	Take(ctx context.Context, now time.Time, tenant string, maxWait time.Duration) (retryAfter time.Duration, ok bool)
	// GiveBack returns the credit of a request that no backend server has run.
	GiveBack(now time.Time, tenant string)
}
