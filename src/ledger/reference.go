package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Reference is the record under HeadRefKey, which refers to the accepted head, as read from the store.
type Reference struct {
	Revision uint64 // store revision of the record, 0 when no configuration was ever accepted
	headRef  wire.HeadRef
}

// Version returns the accepted configuration version, 0 when there is none.
func (r Reference) Version() uint64 { return r.headRef.Version }

// ReadReference reads the record under HeadRefKey.
func ReadReference(ctx context.Context, store kv.Store) (Reference, error) {
	r, revision, err := readHeadRef(ctx, store)
	return Reference{Revision: revision, headRef: r}, err
}

// WatchReference waits until the record is past revision after, or returns it unchanged once wait has elapsed.
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
