package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// writeBody lists the edit's body in the head, so that a crash leaves it to be collected, and then writes it.
//
// It returns the revision at which the head stands.
func (a *attempt) writeBody(ctx context.Context, h *wire.Head, revision uint64) (uint64, error) {
	if a.doc == nil || (references(h, a.digest) && a.editor.holds(ctx, a.digest)) {
		return revision, nil
	}
	if !awaits(h, a.digest) {
		a.written = false
		now := a.editor.now()
		retire(h, a.digest, now)
		doom(h, now)
		value, err := encodeHead(h)
		if err != nil {
			return 0, err
		}
		if revision, err = a.editor.Store.Swap(ctx, HeadKey, revision, value); err != nil {
			return 0, retryStore(err)
		}
	}
	if a.written {
		return revision, nil
	}
	if err := a.editor.putBody(ctx, a.digest, a.edit.Data); err != nil {
		return 0, retryStore(err)
	}
	a.written = true
	return revision, nil
}

// swap makes the edit part of the head and returns the version that accepts it.
func (a *attempt) swap(ctx context.Context, h *wire.Head, revision uint64) (uint64, error) {
	next := a.next(h)
	value, err := encodeHead(&next)
	if err != nil {
		return 0, err
	}
	_, err = a.editor.Store.Swap(ctx, HeadKey, revision, value)
	if errors.Is(err, problem.Unsure) {
		a.unsure = true
	}
	if err != nil {
		return 0, retryStore(err)
	}
	a.editor.set.GetOrCreateFloatCounter("yuccaport_ledger_head_size_bytes").Set(float64(len(value)))
	a.editor.saw(next.Version)
	a.editor.collect(ctx, &next)
	return next.Version, nil
}

// next returns the head with the edit in it.
func (a *attempt) next(h *wire.Head) wire.Head {
	now := a.editor.now()
	next := *h
	next.Version = h.Version + 1
	if a.doc == nil {
		removeService(&next, a.edit.Service)
	} else {
		s, _ := service(h, a.edit.Service)
		s = wire.HeadService{Name: a.edit.Service, Version: next.Version, Digest: a.digest, Size: len(a.edit.Data), TokenHash: s.TokenHash}
		if s.TokenHash == "" {
			s.TokenHash = HashToken(a.edit.Token)
		}
		setService(&next, s)
	}
	addChange(&next, wire.HeadChange{Version: next.Version, Service: a.edit.Service, Digest: a.digest, EditID: a.edit.EditID, At: now.UnixMilli(), Note: a.edit.Note})
	retireDropped(h, &next, now)
	doom(&next, now)
	return next
}

// awaits tells whether the head lists a body that is being written and may not be deleted.
func awaits(h *wire.Head, digest string) bool {
	for _, r := range h.Retired {
		if r.Digest == digest {
			return !r.Doomed
		}
	}
	return false
}

// holds tells whether the store has a body.
func (e *Editor) holds(ctx context.Context, digest string) bool {
	_, err := FetchBody(ctx, e.Store, wire.HeadService{Digest: digest})
	return err == nil
}

// putBody writes a body, also when it is there, so that a deletion begun before fails on the revision.
func (e *Editor) putBody(ctx context.Context, digest string, data []byte) error {
	_, err := e.Store.Swap(ctx, BodyKey(digest), 0, data)
	if !errors.Is(err, problem.Conflict) {
		return err
	}
	old, err := e.Store.Get(ctx, BodyKey(digest))
	if err != nil {
		return err
	}
	_, err = e.Store.Swap(ctx, BodyKey(digest), old.Revision, data)
	return err
}

// follow returns the configuration of a head, built on the one seen last.
func (e *Editor) follow(ctx context.Context, h wire.Head) (*Snapshot, error) {
	e.mu.Lock()
	cur := e.current
	e.mu.Unlock()
	if cur != nil && cur.Version > h.Version {
		cur = nil
	}
	u, err := Fetch(ctx, e.Store, cur, h)
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

// notBelowFloor refuses a head that is older than what daemons serve or this editor has read.
func (e *Editor) notBelowFloor(version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	floor := max(e.Floor, e.seen)
	e.seen = max(e.seen, version)
	if version >= floor {
		return nil
	}
	return problem.New(problem.Backward, HeadKey, fmt.Sprintf("the store holds version %d and version %d is served", version, floor),
		"the store was restored from an older backup: see docs/OPERATIONS.md before applying anything")
}

func (e *Editor) saw(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = max(e.seen, version)
}
