package ledger

import (
	"context"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// currentSnapshot returns the configuration that the store holds, built by updating the latest snapshot.
func (e *Editor) currentSnapshot(ctx context.Context, st storedState) (*Snapshot, error) {
	e.mu.Lock()
	snapshot := e.latestSnapshot
	e.mu.Unlock()
	if snapshot != nil && snapshot.Version > st.ref.Version {
		snapshot = nil
	}
	if st.revision == 0 {
		return NewSnapshot(0, nil)
	}
	u, err := FetchUpdate(ctx, e.Store, snapshot, Reference{Revision: st.revision, headRef: st.ref})
	if err != nil {
		return nil, markRetryable(err)
	}
	if snapshot, err = snapshot.Apply(u); err != nil {
		return nil, fmt.Errorf("the accepted configuration cannot be read: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.latestSnapshot == nil || e.latestSnapshot.Version < snapshot.Version {
		e.latestSnapshot = snapshot
	}
	return snapshot, nil
}

// checkMinVersion records a version read from the store; it returns an error of kind problem.Backward when daemons serve a later one or this editor has read or written one.
func (e *Editor) checkMinVersion(version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	minVersion := max(e.MinVersion, e.latestVersion)
	e.latestVersion = max(e.latestVersion, version)
	if version >= minVersion {
		return nil
	}
	return problem.New(problem.Backward, HeadRefKey, fmt.Sprintf("the store holds version %d, but version %d was accepted before", version, minVersion),
		"the store was restored from an older backup: see docs/OPERATIONS.md before applying anything")
}

// recordVersion records a version that this editor has written.
func (e *Editor) recordVersion(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latestVersion = max(e.latestVersion, version)
}
