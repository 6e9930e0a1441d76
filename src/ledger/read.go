package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/alitto/pond/v2"

	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const fetchers = 8 // bodies read at once

// DecodeHead reads the value of the head record; an error is of kind problem.Protocol.
func DecodeHead(value []byte) (wire.Head, error) {
	var h wire.Head
	rest, err := h.UnmarshalMsg(value)
	if err != nil || len(rest) > 0 {
		return h, problem.Wrap(problem.Protocol, err, HeadKey, "the head record cannot be read", "check that settings name the right store and prefix")
	}
	if h.Schema != wire.SchemaNumber {
		return h, problem.New(problem.Protocol, HeadKey, fmt.Sprintf("schema %d, this build reads %d", h.Schema, wire.SchemaNumber), "run the release that wrote it")
	}
	return h, nil
}

// readHead returns the head and its revision; an absent one is empty, at revision 0.
func readHead(ctx context.Context, store platform.Store) (wire.Head, uint64, error) {
	e, err := store.Get(ctx, HeadKey)
	if errors.Is(err, problem.NotFound) {
		return wire.Head{Schema: wire.SchemaNumber}, 0, nil
	}
	if err != nil {
		return wire.Head{}, 0, err
	}
	h, err := DecodeHead(e.Value)
	return h, e.Revision, err
}

// FetchBody reads one document and checks its digest; errors are those of the store and problem.Protocol.
func FetchBody(ctx context.Context, store platform.Store, s wire.HeadService) (wire.Body, error) {
	e, err := store.Get(ctx, BodyKey(s.Digest))
	if err != nil {
		return wire.Body{}, err
	}
	if d := Digest(e.Value); d != s.Digest {
		return wire.Body{}, problem.New(problem.Protocol, BodyKey(s.Digest), fmt.Sprintf("the value has digest %s", d), "restore the store's value or apply the document again")
	}
	return wire.Body{Service: s.Name, Version: s.Version, Digest: s.Digest, Data: e.Value}, nil
}

// FetchBodies reads the documents of services, a few at a time.
func FetchBodies(ctx context.Context, store platform.Store, services []wire.HeadService) (map[string]wire.Body, error) {
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
func Load(ctx context.Context, store platform.Store) (*Snapshot, error) {
	h, revision, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if revision == 0 {
		return nil, problem.New(problem.NotFound, HeadKey, "no configuration has been accepted", "apply a document first")
	}
	u, err := Fetch(ctx, store, nil, h)
	if err != nil {
		return nil, err
	}
	return (*Snapshot)(nil).Apply(u)
}
