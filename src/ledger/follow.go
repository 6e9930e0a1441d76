package ledger

import (
	"context"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// follow returns the configuration that the store holds, built on the one seen last.
func (e *Editor) follow(ctx context.Context, st state) (*Snapshot, error) {
	e.mu.Lock()
	cur := e.current
	e.mu.Unlock()
	if cur != nil && cur.Version > st.ref.Version {
		cur = nil
	}
	if st.revision == 0 {
		return NewSnapshot(0, nil)
	}
	u, err := FetchUpdate(ctx, e.Store, cur, Reference{Revision: st.revision, ref: st.ref})
	if err != nil {
		return nil, retryStore(err)
	}
	if cur, err = cur.Apply(u); err != nil {
		return nil, fmt.Errorf("the accepted configuration cannot be read: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil || e.current.Version < cur.Version {
		e.current = cur
	}
	return cur, nil
}

// notBelowFloor refuses a configuration that is older than what daemons serve or this editor has read.
func (e *Editor) notBelowFloor(version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	floor := max(e.MinVersion, e.seen)
	e.seen = max(e.seen, version)
	if version >= floor {
		return nil
	}
	return problem.New(problem.Backward, HeadRefKey, fmt.Sprintf("the store holds version %d and version %d is served", version, floor),
		"the store was restored from an older backup: see docs/OPERATIONS.md before applying anything")
}

func (e *Editor) saw(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = max(e.seen, version)
}
