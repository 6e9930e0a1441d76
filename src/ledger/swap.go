package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// accept makes the edit part of the configuration and returns the version that holds it.
//
// The keys that it writes are listed in the reference first, so that a crash leaves nothing that is never deleted.
// The second swap of the reference is the acceptance.
func (a *attempt) accept(ctx context.Context, st state) (uint64, error) {
	gone := a.editor.collect(ctx, st)
	st, err := a.list(ctx, st)
	if err != nil {
		return 0, err
	}
	next := a.next(st, gone)
	value, err := encodeHead(&next)
	if err != nil {
		return 0, err
	}
	if err := a.write(ctx, st, value); err != nil {
		return 0, err
	}
	ref, err := a.nextRef(st, &next, value).MarshalMsg(nil)
	if err != nil {
		return 0, err
	}
	_, err = a.editor.Store.Swap(ctx, HeadRefKey, st.revision, ref)
	if errors.Is(err, problem.Unsure) {
		a.unsure = true
	}
	if err != nil {
		return 0, retryStore(err)
	}
	a.editor.saw(next.Version)
	a.editor.set.GetOrCreateGauge("yuccaport_ledger_head_size_bytes", nil).Set(float64(len(value)))
	a.editor.set.GetOrCreateGauge("yuccaport_ledger_reference_size_bytes", nil).Set(float64(len(ref)))
	return next.Version, nil
}

// keys returns the keys that the edit writes.
func (a *attempt) keys(st state) []string {
	keys := []string{AcceptedHeadKey(a.headID)}
	if a.doc != nil && !references(&st.head, a.digest) {
		keys = append(keys, BodyKey(a.digest))
	}
	return keys
}

// list names the edit's keys as pending in the reference unless it already does.
func (a *attempt) list(ctx context.Context, st state) (state, error) {
	keys := a.keys(st)
	if !slices.ContainsFunc(keys, func(k string) bool { return !lists(st.ref.Pending, k) }) {
		return st, nil
	}
	a.written = false
	now := a.editor.now().UnixMilli()
	st.ref.Pending = without(st.ref.Pending, keys...)
	for _, k := range keys {
		st.ref.Pending = append(st.ref.Pending, wire.RetiredKey{Key: k, At: now})
	}
	if len(st.ref.Pending) > 2*MaxPendingEdits {
		return st, problem.New(problem.Busy, HeadRefKey, fmt.Sprintf("%d keys of edits under way", len(st.ref.Pending)), "try again in a few seconds")
	}
	value, err := st.ref.MarshalMsg(nil)
	if err != nil {
		return st, err
	}
	if st.revision, err = a.editor.Store.Swap(ctx, HeadRefKey, st.revision, value); err != nil {
		return st, retryStore(err)
	}
	return st, nil
}

// write writes the body once and the head at each attempt.
func (a *attempt) write(ctx context.Context, st state, head []byte) error {
	kept := references(&st.head, a.digest) && a.editor.holds(ctx, a.digest)
	if a.doc != nil && !a.written && !kept {
		if err := a.editor.put(ctx, BodyKey(a.digest), a.edit.Data); err != nil {
			return retryStore(err)
		}
	}
	a.written = true
	return retryStore(a.editor.put(ctx, AcceptedHeadKey(a.headID), head))
}

// next returns the head with the edit in it.
func (a *attempt) next(st state, gone map[string]bool) wire.Head {
	now := a.editor.now()
	next := st.head
	next.Version = st.ref.Version + 1
	if a.doc == nil {
		removeService(&next, a.edit.Service)
	} else {
		s, _ := service(&st.head, a.edit.Service)
		s = wire.HeadService{Name: a.edit.Service, Version: next.Version, Digest: a.digest, Size: len(a.edit.Data), TokenHash: s.TokenHash}
		if s.TokenHash == "" {
			s.TokenHash = HashToken(a.edit.Token)
		}
		setService(&next, s)
	}
	addChange(&next, wire.HeadChange{Version: next.Version, Service: a.edit.Service, Digest: a.digest, EditID: a.edit.EditID, At: now.UnixMilli(), Note: a.edit.Note})
	old := abandoned(st.ref.Pending, now)
	if st.ref.Head != "" {
		old = append(old, wire.RetiredKey{Key: AcceptedHeadKey(st.ref.Head), At: now.UnixMilli()})
	}
	retire(&st.head, &next, old, gone, now)
	return next
}

// nextRef returns the reference to the next head.
func (a *attempt) nextRef(st state, next *wire.Head, value []byte) *wire.HeadRef {
	r := st.ref
	r.Version = next.Version
	r.Digest = digestServices(byName(next.Services))
	r.Head, r.HeadDigest = a.headID, Digest(value)
	r.Latest = append(slices.Clone(r.Latest), wire.LatestChange{Version: next.Version, Service: a.edit.Service, Digest: a.digest})
	r.Latest = r.Latest[max(len(r.Latest)-MaxLatestChanges, 0):]
	r.Pending = without(r.Pending, a.keys(st)...)
	for _, k := range abandoned(r.Pending, a.editor.now()) {
		r.Pending = without(r.Pending, k.Key)
	}
	return &r
}

// abandoned returns the pending keys of edits that have not ended for so long that they are deleted.
func abandoned(pending []wire.RetiredKey, now time.Time) []wire.RetiredKey {
	var old []wire.RetiredKey
	for _, p := range pending {
		if now.Sub(time.UnixMilli(p.At)) >= BodyRetention {
			old = append(old, wire.RetiredKey{Key: p.Key, At: p.At})
		}
	}
	return old
}

// holds tells whether the store has a body.
func (e *Editor) holds(ctx context.Context, digest string) bool {
	_, err := FetchBody(ctx, e.Store, wire.HeadService{Digest: digest})
	return err == nil
}

// put writes a key, also when it is there, so that a deletion begun before fails on the revision.
func (e *Editor) put(ctx context.Context, key string, data []byte) error {
	_, err := e.Store.Swap(ctx, key, 0, data)
	if !errors.Is(err, problem.Conflict) {
		return err
	}
	old, err := e.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = e.Store.Swap(ctx, key, old.Revision, data)
	return err
}
