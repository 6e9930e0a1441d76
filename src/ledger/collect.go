package ledger

import (
	"context"
	"errors"

	"github.com/yuccaport/yuccaport/src/problem"
)

// collect deletes the keys that the head has doomed and returns those that are gone; what fails is left to the next edit.
//
// The order matters: a key's revision is read before the reference is read again. Whoever wants the key back first lists it
// as pending and then writes it, so either it is seen to be pending or the deletion meets a newer revision.
func (e *Editor) collect(ctx context.Context, st state) map[string]bool {
	doomed := map[string]uint64{} // revision by key, 0 when already gone
	for _, r := range st.head.Retired {
		if !r.Doomed {
			continue
		}
		entry, err := e.Store.Get(ctx, r.Key)
		if err == nil || errors.Is(err, problem.NotFound) {
			doomed[r.Key] = entry.Revision
		}
	}
	if len(doomed) == 0 {
		return nil
	}
	now, _, err := readRef(ctx, e.Store)
	if err != nil || now.Head != st.ref.Head {
		return nil
	}
	gone := map[string]bool{}
	for key, revision := range doomed {
		if !lists(now.Pending, key) && e.deleteKey(ctx, key, revision) {
			gone[key] = true
		}
	}
	e.set.GetOrCreateCounter("yuccaport_ledger_keys_deleted_total").Add(len(gone))
	return gone
}

func (e *Editor) deleteKey(ctx context.Context, key string, revision uint64) bool {
	if revision == 0 {
		return true
	}
	err := e.Store.Delete(ctx, key, revision)
	return err == nil || errors.Is(err, problem.NotFound)
}
