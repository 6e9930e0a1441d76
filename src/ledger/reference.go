package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Reference is the record under HeadRefKey as read from the store.
//
// It is small, so that readers can poll and watch it: it holds the accepted version and the latest changes, and refers to the accepted head for the rest.
type Reference struct {
	Revision uint64 // store revision of the record, 0 when there is none; a record of version 0 may exist before the first acceptance
	headRef  wire.HeadRef
}

// Version returns the accepted configuration version, 0 when there is none.
func (r Reference) Version() uint64 { return r.headRef.Version }

// ReadReference reads the record under HeadRefKey.
func ReadReference(ctx context.Context, store kv.Store) (Reference, error) {
	r, revision, err := readHeadRef(ctx, store)
	return Reference{Revision: revision, headRef: r}, err
}

// WatchReference returns the record under HeadRefKey once its revision exceeds after, or the unchanged record when wait ends first (one long poll).
//
// Revision and Version are 0 when there is no record.
func WatchReference(ctx context.Context, store kv.Store, after uint64, wait time.Duration) (Reference, error) {
	e, err := store.Watch(ctx, HeadRefKey, after, wait)
	if errors.Is(err, problem.NotFound) || (err == nil && e.Revision == 0) {
		return Reference{headRef: emptyState().ref}, nil
	}
	if err != nil {
		return Reference{}, err
	}
	r, err := decodeHeadRef(e.Value)
	return Reference{Revision: e.Revision, headRef: r}, err
}
