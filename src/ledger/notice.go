package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Reference is the record under HeadRefKey as read from the store; it refers to the accepted head.
type Reference struct {
	Revision uint64 // of the store, 0 when no configuration was ever accepted
	ref      wire.HeadRef
}

// Version returns the accepted configuration version, 0 when there is none.
func (n Reference) Version() uint64 { return n.ref.Version }

// ReadReference reads the record under HeadRefKey.
func ReadReference(ctx context.Context, store kv.Store) (Reference, error) {
	r, revision, err := readRef(ctx, store)
	return Reference{Revision: revision, ref: r}, err
}

// WatchReference waits until the record is past a revision, or returns it unchanged when wait is over.
func WatchReference(ctx context.Context, store kv.Store, after uint64, wait time.Duration) (Reference, error) {
	e, err := store.Watch(ctx, HeadRefKey, after, wait)
	if errors.Is(err, problem.NotFound) || (err == nil && e.Revision == 0) {
		return Reference{ref: emptyState().ref}, nil
	}
	if err != nil {
		return Reference{}, err
	}
	r, err := decodeRef(e.Value)
	return Reference{Revision: e.Revision, ref: r}, err
}
