package ledger

import (
	"context"
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/wire"
)

// FetchUpdate returns the update from base to the version of ref and reads only the documents that have changed; when base is nil or newer than ref, a full copy.
//
// The head is read only when the latest changes in the reference do not lead from base to the digest of ref.
func FetchUpdate(ctx context.Context, store kv.Store, base *Snapshot, ref Reference) (wire.Update, error) {
	if base == nil || base.Version > ref.headRef.Version {
		base = &Snapshot{}
	}
	services, ok := servicesFromLatest(base, ref.headRef)
	if !ok {
		h, err := readHead(ctx, store, ref.headRef)
		if err != nil {
			return wire.Update{}, err
		}
		services = servicesByName(h.Services)
	}
	return fetchChanged(ctx, store, base, ref.headRef, services)
}

// servicesFromLatest applies the reference's latest changes to the services of base; false when they do not reach back far enough or the digest differs.
func servicesFromLatest(base *Snapshot, ref wire.HeadRef) (map[string]wire.HeadService, bool) {
	if len(ref.Latest) == 0 || ref.Latest[0].Version > base.Version+1 {
		return nil, false
	}
	services := make(map[string]wire.HeadService, len(base.Bodies)+1)
	for name, b := range base.Bodies {
		services[name] = wire.HeadService{Name: name, Version: b.Version, Digest: b.Digest}
	}
	for _, c := range ref.Latest {
		switch {
		case c.Version <= base.Version:
		case c.Digest == "":
			delete(services, c.Service)
		default:
			services[c.Service] = wire.HeadService{Name: c.Service, Version: c.Version, Digest: c.Digest}
		}
	}
	return services, digestServices(services) == ref.Digest
}

// fetchChanged returns the update from base to services and reads the documents that base lacks.
func fetchChanged(ctx context.Context, store kv.Store, base *Snapshot, ref wire.HeadRef, services map[string]wire.HeadService) (wire.Update, error) {
	u := wire.Update{Schema: ref.Schema, From: base.Version, Version: ref.Version, Digest: digestServices(services)}
	var missing []wire.HeadService
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s, old := services[name], base.Bodies[name]
		switch {
		case old.Digest != s.Digest:
			missing = append(missing, s)
		case old.Version != s.Version:
			old.Version = s.Version
			u.Bodies = append(u.Bodies, old)
		}
	}
	for name := range base.Bodies {
		if _, ok := services[name]; !ok {
			u.Removed = append(u.Removed, name)
		}
	}
	slices.Sort(u.Removed)
	bodies, err := FetchBodies(ctx, store, missing)
	if err != nil {
		return wire.Update{}, err
	}
	for _, s := range missing {
		u.Bodies = append(u.Bodies, bodies[s.Name])
	}
	return u, nil
}

func servicesByName(services []wire.HeadService) map[string]wire.HeadService {
	m := make(map[string]wire.HeadService, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}
