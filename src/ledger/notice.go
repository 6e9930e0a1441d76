package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Notice is what a reader learns of the head.
type Notice struct {
	Revision uint64 // of the store, 0 when no configuration was ever accepted
	Head     wire.Head
}

// ReadNotice reads the head.
func ReadNotice(ctx context.Context, store platform.Store) (Notice, error) {
	h, revision, err := readHead(ctx, store)
	return Notice{Revision: revision, Head: h}, err
}

// WatchNotice waits until the head is past a revision, or returns it unchanged when wait is over.
func WatchNotice(ctx context.Context, store platform.Store, after uint64, wait time.Duration) (Notice, error) {
	e, err := store.Watch(ctx, HeadKey, after, wait)
	if errors.Is(err, problem.NotFound) || (err == nil && e.Revision == 0) {
		return Notice{Head: wire.Head{Schema: wire.SchemaNumber}}, nil
	}
	if err != nil {
		return Notice{}, err
	}
	h, err := DecodeHead(e.Value)
	return Notice{Revision: e.Revision, Head: h}, err
}
