package ledger

import (
	"context"
	"errors"

	"github.com/yuccaport/yuccaport/src/problem"
)

// collectGarbage deletes the keys that the head marks as doomed and returns those that no longer exist; the next edit retries failed deletions.
//
// The order matters: a key's revision is read before the reference is read again. An editor that needs the key again first
// lists it as pending and then writes it, so either it is found pending here or its deletion fails on the newer revision.
func (e *Editor) collectGarbage(ctx context.Context, st storedState) map[string]bool {
	doomed := map[string]uint64{} // revision by key, 0 when already deleted
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
	current, _, err := readHeadRef(ctx, e.Store)
	if err != nil || current.Head != st.ref.Head {
		return nil // the store failed, or another edit was accepted and its head may refer to the doomed keys again
	}
	deleted := map[string]bool{}
	for key, revision := range doomed {
		if !containsKey(current.Pending, key) && e.deleteKey(ctx, key, revision) {
			deleted[key] = true
		}
	}
	e.metricSet.GetOrCreateCounter("yuccaport_ledger_keys_deleted_total").Add(len(deleted))
	return deleted
}

func (e *Editor) deleteKey(ctx context.Context, key string, revision uint64) bool {
	if revision == 0 {
		return true
	}
	err := e.Store.Delete(ctx, key, revision)
	return err == nil || errors.Is(err, problem.NotFound)
}
