package ledger

import (
	"context"
	"errors"
	"slices"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// collect deletes the bodies that the head has doomed; what fails is left to the next edit.
//
// The order matters: a body's revision is read before the head is read again. Whoever wants the body back first takes
// the mark off in the head and then writes the body, so either the mark is seen to be gone or the deletion meets a newer revision.
func (e *Editor) collect(ctx context.Context, h *wire.Head) {
	doomed := map[string]uint64{} // revision by digest, 0 when already gone
	for _, r := range h.Retired {
		if !r.Doomed {
			continue
		}
		entry, err := e.Store.Get(ctx, BodyKey(r.Digest))
		if err != nil && !errors.Is(err, problem.NotFound) {
			continue
		}
		doomed[r.Digest] = entry.Revision
	}
	if len(doomed) == 0 {
		return
	}
	now, revision, err := readHead(ctx, e.Store)
	if err != nil {
		return
	}
	gone := map[string]bool{}
	for _, r := range now.Retired {
		at, ok := doomed[r.Digest]
		if ok && r.Doomed && e.deleteBody(ctx, r.Digest, at) {
			gone[r.Digest] = true
		}
	}
	now.Retired = slices.DeleteFunc(now.Retired, func(r wire.RetiredBody) bool { return gone[r.Digest] })
	if value, err := encodeHead(&now); err == nil {
		_, _ = e.Store.Swap(ctx, HeadKey, revision, value)
	}
	e.set.GetOrCreateCounter("yuccaport_ledger_bodies_deleted_total").Add(len(gone))
}

func (e *Editor) deleteBody(ctx context.Context, digest string, revision uint64) bool {
	if revision == 0 {
		return true
	}
	err := e.Store.Delete(ctx, BodyKey(digest), revision)
	return err == nil || errors.Is(err, problem.NotFound)
}
