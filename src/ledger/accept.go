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

// accept makes the edit part of the configuration and returns the version that accepts it.
//
// Its pendingKeys are first listed in the reference, by a swap of their own unless they already are, so that they can be deleted after a crash.
// The swap of the reference to the new head accepts the edit.
func (op *editOp) accept(ctx context.Context, st storedState) (uint64, error) {
	deleted := op.editor.collectGarbage(ctx, st)
	st, err := op.listPending(ctx, st)
	if err != nil {
		return 0, err
	}
	next := op.nextHead(st, deleted)
	value, err := encodeHead(&next)
	if err != nil {
		return 0, err
	}
	if err := op.writeRecords(ctx, st, value); err != nil {
		return 0, err
	}
	ref, err := op.nextHeadRef(st, &next, value).MarshalMsg(nil)
	if err != nil {
		return 0, err
	}
	_, err = op.editor.Store.Swap(ctx, HeadRefKey, st.revision, ref)
	if errors.Is(err, problem.Unsure) {
		op.mayBeAccepted = true
	}
	if err != nil {
		return 0, markRetryable(err)
	}
	op.editor.recordVersion(next.Version)
	op.editor.metricSet.GetOrCreateGauge("yuccaport_ledger_head_size_bytes", nil).Set(float64(len(value)))
	op.editor.metricSet.GetOrCreateGauge("yuccaport_ledger_reference_size_bytes", nil).Set(float64(len(ref)))
	return next.Version, nil
}

// pendingKeys returns the keys to list as pending: that of the new head and, unless the accepted head already refers to the body, that of the body.
func (op *editOp) pendingKeys(st storedState) []string {
	keys := []string{HeadKey(op.headID)}
	if op.doc != nil && !refersToBody(&st.head, op.digest) {
		keys = append(keys, BodyKey(op.digest))
	}
	return keys
}

// listPending lists the edit's keys as pending in the reference unless they already are.
//
// The list has entries of type RetiredKey, though these keys are not retired; At is the time of the listing.
func (op *editOp) listPending(ctx context.Context, st storedState) (storedState, error) {
	keys := op.pendingKeys(st)
	if !slices.ContainsFunc(keys, func(k string) bool { return !containsKey(st.ref.Pending, k) }) {
		return st, nil
	}
	op.bodyStored = false
	now := op.editor.now().UnixMilli()
	st.ref.Pending = withoutKeys(st.ref.Pending, keys...)
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
	if st.revision, err = op.editor.Store.Swap(ctx, HeadRefKey, st.revision, value); err != nil {
		return st, markRetryable(err)
	}
	return st, nil
}

// writeRecords writes the head at each attempt, and the body unless the store has it and the head refers to it, or bodyStored is set.
//
// A stored body that the head does not refer to may be doomed: writing it again makes a deletion that has begun fail.
func (op *editOp) writeRecords(ctx context.Context, st storedState, head []byte) error {
	stored := refersToBody(&st.head, op.digest) && op.editor.hasBody(ctx, op.digest)
	if op.doc != nil && !op.bodyStored && !stored {
		if err := op.editor.put(ctx, BodyKey(op.digest), op.edit.Data); err != nil {
			return markRetryable(err)
		}
	}
	op.bodyStored = true
	return markRetryable(op.editor.put(ctx, HeadKey(op.headID), head))
}

// nextHead returns the head that contains the edit.
func (op *editOp) nextHead(st storedState, deleted map[string]bool) wire.Head {
	now := op.editor.now()
	next := st.head
	next.Version = st.ref.Version + 1
	if op.doc == nil {
		removeService(&next, op.edit.Service)
	} else {
		s, _ := findService(&st.head, op.edit.Service)
		s = wire.HeadService{Name: op.edit.Service, Version: next.Version, Digest: op.digest, Size: len(op.edit.Data), TokenHash: s.TokenHash}
		if s.TokenHash == "" {
			s.TokenHash = HashToken(op.edit.Token)
		}
		setService(&next, s)
	}
	addChange(&next, wire.HeadChange{Version: next.Version, Service: op.edit.Service, Digest: op.digest, EditID: op.edit.EditID, At: now.UnixMilli(), Note: op.edit.Note})
	unused := expiredPending(st.ref.Pending, now)
	if st.ref.Head != "" {
		unused = append(unused, wire.RetiredKey{Key: HeadKey(st.ref.Head), At: now.UnixMilli()})
	}
	updateRetired(&st.head, &next, unused, deleted, now)
	return next
}

// nextHeadRef returns the reference to the next head.
func (op *editOp) nextHeadRef(st storedState, next *wire.Head, value []byte) *wire.HeadRef {
	newRef := st.ref
	newRef.Version = next.Version
	newRef.Digest = digestServices(servicesByName(next.Services))
	newRef.Head, newRef.HeadDigest = op.headID, Digest(value)
	newRef.Latest = append(slices.Clone(newRef.Latest), wire.LatestChange{Version: next.Version, Service: op.edit.Service, Digest: op.digest})
	newRef.Latest = newRef.Latest[max(len(newRef.Latest)-MaxLatestChanges, 0):]
	newRef.Pending = withoutKeys(newRef.Pending, op.pendingKeys(st)...)
	for _, k := range expiredPending(newRef.Pending, op.editor.now()) {
		newRef.Pending = withoutKeys(newRef.Pending, k.Key)
	}
	return &newRef
}

// expiredPending returns the keys that have been pending for BodyRetention: their edits count as abandoned, and the keys are to be deleted.
func expiredPending(pending []wire.RetiredKey, now time.Time) []wire.RetiredKey {
	var expired []wire.RetiredKey
	for _, p := range pending {
		if now.Sub(time.UnixMilli(p.At)) >= BodyRetention {
			expired = append(expired, wire.RetiredKey{Key: p.Key, At: p.At})
		}
	}
	return expired
}

// hasBody reports whether the store holds a body.
func (e *Editor) hasBody(ctx context.Context, digest string) bool {
	_, err := FetchBody(ctx, e.Store, wire.HeadService{Digest: digest})
	return err == nil
}

// put writes a key even if it exists; the new revision makes a deletion that has already begun fail.
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
