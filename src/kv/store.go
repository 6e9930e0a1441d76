package kv

import (
	"context"
	"time"
)

// MaxValueSize is the largest value that the store takes, in bytes.
const MaxValueSize = 1 << 20

// Entry is a key with its value and the revision that wrote it.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // grows with each write of the key and with each era, 0 when the key does not exist; see JoinRevision
	Era      uint64 // of the store, also set when the key does not exist; 0 for a store that names none
}

// Lease is a holder's claim on a key for a time.
type Lease struct {
	Key    string
	Holder string
	Token  uint64 // grows with each grant of the key
	TTL    time.Duration
}

// Store is the platform's key-value service.
//
// Errors are of the kinds problem.NotFound, problem.Conflict, problem.Unavailable (not carried out) and problem.Unsure (may have been carried out).
type Store interface {
	// Get returns the entry of a key, or an error of kind problem.NotFound with an entry that holds
	// only the era.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes a value if the key is at revision expect and returns the new revision. 0 stands
	// for a key that does
	// not exist, in any era; JoinRevision(era, 0) for one that does not exist in that era.
	Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error)
	// Delete removes a key that is at revision expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant gives the lease of a key to a holder, or returns an error of kind problem.Conflict while another holds it.
	Grant(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease, or returns an error of kind problem.Conflict when it has lapsed.
	Renew(ctx context.Context, l Lease) error
	// Release ends a lease; a lapsed one is no error.
	Release(ctx context.Context, l Lease) error
	// Watch waits until the key is past revision after, or returns the entry unchanged when wait is over.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}
