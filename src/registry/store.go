package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// HistoryGone marks a watch from a revision that the store no longer has.
const HistoryGone problem.Kind = "history gone"

// Store is a linearizable key-value store with leases and prefix watches.
//
// Errors are of the kinds problem.Unavailable (not carried out), problem.Unsure (may be carried out, also later), problem.Conflict, problem.NotFound and HistoryGone.
type Store interface {
	// List returns the items whose keys begin with prefix, and a revision from which a watch misses nothing.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits for changes after a revision and returns them with the revision to go on from; none when wait is over.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Commit carries out a change whole or not at all; an error of kind problem.Conflict tells that a guard does not hold, problem.NotFound that a lease has ended.
	Commit(ctx context.Context, c Transaction) (uint64, error)
	// GrantLease creates a lease that ends after ttl without a renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease; an error of kind problem.NotFound tells that it has ended.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease uint64) error
}
