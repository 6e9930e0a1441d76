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
	maxConcurrentReads = 16               // bodies read at once
	maxReadAttempts    = 4                // of a key that must exist but may not have reached a lagging replica
	readRetryDelay     = time.Millisecond // before the first retry, doubled at each further one
)

// storedState is what the store holds: the reference, its revision and the head that it refers to.
type storedState struct {
	ref      wire.HeadRef
	revision uint64 // 0 when there is no reference
	head     wire.Head
}

func emptyState() storedState {
	return storedState{ref: wire.HeadRef{Schema: wire.SchemaNumber}, head: wire.Head{Schema: wire.SchemaNumber}}
}

// decodeHeadRef decodes the value of HeadRefKey; an error is of kind problem.Protocol.
func decodeHeadRef(value []byte) (wire.HeadRef, error) {
	var r wire.HeadRef
	rest, err := r.UnmarshalMsg(value)
	if err != nil || len(rest) > 0 {
		return r, problem.Wrap(problem.Protocol, err, HeadRefKey, "the record cannot be read", "check that settings name the right store and prefix")
	}
	return r, checkSchema(r.Schema)
}

// decodeHead decodes the value under a HeadKey; an error is of kind problem.Protocol.
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

// readHeadRef returns the reference and its revision; when there is none, an empty reference and revision 0.
func readHeadRef(ctx context.Context, store kv.Store) (wire.HeadRef, uint64, error) {
	e, err := store.Get(ctx, HeadRefKey)
	if errors.Is(err, problem.NotFound) {
		return emptyState().ref, 0, nil
	}
	if err != nil {
		return wire.HeadRef{}, 0, err
	}
	r, err := decodeHeadRef(e.Value)
	return r, e.Revision, err
}

// readHead reads the head that a reference refers to.
func readHead(ctx context.Context, store kv.Store, ref wire.HeadRef) (wire.Head, error) {
	if ref.Head == "" {
		return emptyState().head, nil
	}
	e, err := getExisting(ctx, store, HeadKey(ref.Head))
	if err != nil {
		return wire.Head{}, err
	}
	if d := Digest(e.Value); d != ref.HeadDigest {
		return wire.Head{}, problem.New(problem.Protocol, HeadKey(ref.Head), fmt.Sprintf("digest %s where %s is stated", d, ref.HeadDigest), "restore the store's value")
	}
	return decodeHead(e.Value)
}

// readState reads the reference and the head that it refers to.
func readState(ctx context.Context, store kv.Store) (storedState, error) {
	r, revision, err := readHeadRef(ctx, store)
	if err != nil {
		return storedState{}, err
	}
	h, err := readHead(ctx, store, r)
	return storedState{ref: r, revision: revision, head: h}, err
}

// getExisting reads a key that the reference or its head refers to.
//
// The key is written before it is referred to, so an answer that it does not exist may come from a lagging replica: the key is read up to maxReadAttempts times.
func getExisting(ctx context.Context, store kv.Store, key string) (e kv.Entry, err error) {
	for n := range maxReadAttempts {
		if e, err = store.Get(ctx, key); !errors.Is(err, problem.NotFound) || n == maxReadAttempts-1 {
			return e, err
		}
		select {
		case <-time.After(readRetryDelay << n):
		case <-ctx.Done():
			return e, err
		}
	}
	return e, err
}

// FetchBody reads one document and verifies its digest; errors are those of the store or of kind problem.Protocol.
func FetchBody(ctx context.Context, store kv.Store, s wire.HeadService) (wire.Body, error) {
	e, err := getExisting(ctx, store, BodyKey(s.Digest))
	if err != nil {
		return wire.Body{}, err
	}
	if d := Digest(e.Value); d != s.Digest {
		return wire.Body{}, problem.New(problem.Protocol, BodyKey(s.Digest), fmt.Sprintf("the value has digest %s", d), "restore the store's value or apply the document again")
	}
	return wire.Body{Service: s.Name, Version: s.Version, Digest: s.Digest, Data: e.Value}, nil
}

// FetchBodies reads the documents of services, maxConcurrentReads at a time, and returns them by service.
func FetchBodies(ctx context.Context, store kv.Store, services []wire.HeadService) (map[string]wire.Body, error) {
	pool := pond.NewResultPool[wire.Body](maxConcurrentReads)
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
	ref, err := ReadReference(ctx, store)
	if err != nil {
		return nil, err
	}
	if ref.Version() == 0 {
		return nil, problem.New(problem.NotFound, HeadRefKey, "no configuration has been accepted", "apply a document first")
	}
	u, err := FetchUpdate(ctx, store, nil, ref)
	if err != nil {
		return nil, err
	}
	return (*Snapshot)(nil).Apply(u)
}
