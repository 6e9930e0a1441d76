package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Notice is what a reader learns of the accepted configuration from one small record.
type Notice struct {
	Revision uint64 // of the store, 0 when no configuration was ever accepted
	ref      wire.HeadRef
}

// Version returns the accepted configuration version, 0 when there is none.
func (n Notice) Version() uint64 { return n.ref.Version }

// ReadNotice reads the accepted version.
func ReadNotice(ctx context.Context, store kv.Store) (Notice, error) {
	r, revision, err := readRef(ctx, store)
	return Notice{Revision: revision, ref: r}, err
}

// WatchNotice waits until the record is past a revision, or returns it unchanged when wait is over.
func WatchNotice(ctx context.Context, store kv.Store, after uint64, wait time.Duration) (Notice, error) {
	e, err := store.Watch(ctx, HeadKey, after, wait)
	if errors.Is(err, problem.NotFound) || (err == nil && e.Revision == 0) {
		return Notice{ref: emptyState().ref}, nil
	}
	if err != nil {
		return Notice{}, err
	}
	r, err := decodeRef(e.Value)
	return Notice{Revision: e.Revision, ref: r}, err
}
