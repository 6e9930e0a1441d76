package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	fetchers      = 16 // bodies read at once
	keptReads     = 4  // reads of a key that must be there, which a lagging replica may not show yet
	keptReadPause = time.Millisecond
)

// state is what the store holds: the reference, its revision and the head that it names.
type state struct {
	ref      wire.HeadRef
	revision uint64 // 0 when no configuration was ever accepted
	head     wire.Head
}

func emptyState() state {
	return state{ref: wire.HeadRef{Schema: wire.SchemaNumber}, head: wire.Head{Schema: wire.SchemaNumber}}
}

// decodeRef reads the value of HeadRefKey; an error is of kind problem.Protocol.
func decodeRef(value []byte) (wire.HeadRef, error) {
	var r wire.HeadRef
	rest, err := r.UnmarshalMsg(value)
	if err != nil || len(rest) > 0 {
		return r, problem.Wrap(problem.Protocol, err, HeadRefKey, "the record cannot be read", "check that settings name the right store and prefix")
	}
	return r, checkSchema(r.Schema)
}

// decodeHead reads the value of an accepted head; an error is of kind problem.Protocol.
func decodeHead(value []byte) (wire.Head, error) {
	var h wire.Head
	rest, err := h.UnmarshalMsg(value)
	if err != nil || len(rest) > 0 {
		return h, problem.Wrap(problem.Protocol, err, headPrefix, "the record cannot be read", "restore the store's value")
	}
	return h, checkSchema(h.Schema)
}

func checkSchema(schema uint16) error {
	if schema == wire.SchemaNumber {
		return nil
	}
	return problem.New(problem.Protocol, HeadRefKey, fmt.Sprintf("schema %d, this build reads %d", schema, wire.SchemaNumber), "run the release that wrote it")
}

// readRef returns the reference and its revision; an absent one is empty, at revision 0.
func readRef(ctx context.Context, store kv.Store) (wire.HeadRef, uint64, error) {
	e, err := store.Get(ctx, HeadRefKey)
	if errors.Is(err, problem.NotFound) {
		return emptyState().ref, 0, nil
	}
	if err != nil {
		return wire.HeadRef{}, 0, err
	}
	r, err := decodeRef(e.Value)
	return r, e.Revision, err
}

// readHead reads the head that a reference names.
func readHead(ctx context.Context, store kv.Store, r wire.HeadRef) (wire.Head, error) {
	if r.Head == "" {
		return emptyState().head, nil
	}
	e, err := getKept(ctx, store, AcceptedHeadKey(r.Head))
	if err != nil {
		return wire.Head{}, err
	}
	if d := Digest(e.Value); d != r.HeadDigest {
		return wire.Head{}, problem.New(problem.Protocol, AcceptedHeadKey(r.Head), fmt.Sprintf("digest %s where %s is stated", d, r.HeadDigest), "restore the store's value")
	}
	return decodeHead(e.Value)
}

// readState reads the reference and the head that it names.
func readState(ctx context.Context, store kv.Store) (state, error) {
	r, revision, err := readRef(ctx, store)
	if err != nil {
		return state{}, err
	}
	h, err := readHead(ctx, store, r)
	return state{ref: r, revision: revision, head: h}, err
}

// getKept reads a key that the reference names; it is written before it is named, so an answer that it is absent is asked for again.
func getKept(ctx context.Context, store kv.Store, key string) (e kv.Entry, err error) {
	for n := range keptReads {
		if e, err = store.Get(ctx, key); !errors.Is(err, problem.NotFound) || n == keptReads-1 {
			return e, err
		}
		select {
		case <-time.After(keptReadPause << n):
		case <-ctx.Done():
			return e, err
		}
	}
	return e, err
}

// FetchBody reads one document and checks its digest; errors are those of the store and problem.Protocol.
func FetchBody(ctx context.Context, store kv.Store, s wire.HeadService) (wire.Body, error) {
	e, err := getKept(ctx, store, BodyKey(s.Digest))
	if err != nil {
		return wire.Body{}, err
	}
	if d := Digest(e.Value); d != s.Digest {
		return wire.Body{}, problem.New(problem.Protocol, BodyKey(s.Digest), fmt.Sprintf("the value has digest %s", d), "restore the store's value or apply the document again")
	}
	return wire.Body{Service: s.Name, Version: s.Version, Digest: s.Digest, Data: e.Value}, nil
}

// FetchBodies reads the documents of services, a few at a time.
func FetchBodies(ctx context.Context, store kv.Store, services []wire.HeadService) (map[string]wire.Body, error) {
	pool := pond.NewResultPool[wire.Body](fetchers)
	defer pool.StopAndWait()
	group := pool.NewGroupContext(ctx)
	for _, s := range services {
		group.SubmitErr(func() (wire.Body, error) { return FetchBody(ctx, store, s) })
	}
	got, err := group.Wait()
	if err != nil {
		return nil, err
	}
	bodies := make(map[string]wire.Body, len(got))
	for _, b := range got {
		bodies[b.Service] = b
	}
	return bodies, nil
}

// Load reads the accepted configuration from the store; an error is of kind problem.NotFound when none was ever accepted.
func Load(ctx context.Context, store kv.Store) (*Snapshot, error) {
	n, err := ReadReference(ctx, store)
	if err != nil {
		return nil, err
	}
	if n.Version() == 0 {
		return nil, problem.New(problem.NotFound, HeadRefKey, "no configuration has been accepted", "apply a document first")
	}
	u, err := FetchUpdate(ctx, store, nil, n)
	if err != nil {
		return nil, err
	}
	return (*Snapshot)(nil).Apply(u)
}
