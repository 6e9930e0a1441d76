package ledger

import (
	"context"
	"slices"

	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Fetch returns the update that leads from a snapshot to the head, and reads only the documents that have changed.
func Fetch(ctx context.Context, store platform.Store, have *Snapshot, h wire.Head) (wire.Update, error) {
	if have == nil || have.Version > h.Version {
		have = &Snapshot{}
	}
	u := wire.Update{Schema: h.Schema, From: have.Version, Version: h.Version}
	var missing []wire.HeadService
	stays := map[string]wire.Body{}
	for _, s := range h.Services {
		old := have.Bodies[s.Name]
		stays[s.Name] = wire.Body{Digest: s.Digest}
		switch {
		case old.Digest != s.Digest:
			missing = append(missing, s)
		case old.Version != s.Version:
			old.Version = s.Version
			u.Bodies = append(u.Bodies, old)
		}
	}
	for name := range have.Bodies {
		if _, ok := stays[name]; !ok {
			u.Removed = append(u.Removed, name)
		}
	}
	slices.Sort(u.Removed)
	u.Digest = digestBodies(stays)
	bodies, err := FetchBodies(ctx, store, missing)
	if err != nil {
		return wire.Update{}, err
	}
	for _, s := range missing {
		u.Bodies = append(u.Bodies, bodies[s.Name])
	}
	return u, nil
}
