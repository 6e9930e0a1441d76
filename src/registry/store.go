package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// HistoryGone is the kind of error that Watch returns if the store no longer has the changes after
// the given revision, also because that revision is of an earlier era.
const HistoryGone problem.Kind = "history gone"

// Store is a linearizable key-value store with leases and prefix watches. Its methods may be called concurrently.
//
// It may come back from an older copy of its data: what was written since is gone, leases too, and
// a new era begins. Revisions are those of JoinRevision.
//
// Errors are of the kinds problem.Unavailable (not executed), problem.Unsure (may have been executed or may still be), problem.Conflict, problem.NotFound and HistoryGone.
type Store interface {
	// List returns the items whose keys begin with prefix, and the revision to pass to Watch as after, so that no change is missed.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits for changes after a revision and returns them with the revision to continue from. It may return several changes of a key. If nothing changes within wait, it returns no items, and the revision is not to be used.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Commit applies a transaction atomically and returns its revision. An error is of kind problem.Conflict if a precondition does not hold, and problem.NotFound if a lease has expired or was revoked.
	Commit(ctx context.Context, txn Transaction) (uint64, error)
	// GrantLease creates a lease that expires unless it is renewed within ttl, and returns its ID.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease; an error of kind problem.NotFound means that it has expired or was revoked.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease uint64) error
	// Era returns the highest era that any answer so far has shown, 0 for none. Leases and
	// preconditions of an earlier era are void.
	Era() uint64
}
