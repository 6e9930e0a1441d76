package ledger

import (
	"context"
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/wire"
)

// FetchUpdate returns the update that leads from a snapshot to the version of a reference, and reads only the documents that have changed.
//
// The head itself is read only when the latest changes of the reference do not reach back to the snapshot.
func FetchUpdate(ctx context.Context, store kv.Store, have *Snapshot, n Reference) (wire.Update, error) {
	if have == nil || have.Version > n.ref.Version {
		have = &Snapshot{}
	}
	services, ok := follows(have, n.ref)
	if !ok {
		h, err := readHead(ctx, store, n.ref)
		if err != nil {
			return wire.Update{}, err
		}
		services = byName(h.Services)
	}
	return fetchServices(ctx, store, have, n.ref, services)
}

// follows returns the services of a version that the latest changes lead to; false when they do not reach back far enough.
func follows(have *Snapshot, r wire.HeadRef) (map[string]wire.HeadService, bool) {
	if len(r.Latest) == 0 || r.Latest[0].Version > have.Version+1 {
		return nil, false
	}
	services := make(map[string]wire.HeadService, len(have.Bodies)+1)
	for name, b := range have.Bodies {
		services[name] = wire.HeadService{Name: name, Version: b.Version, Digest: b.Digest}
	}
	for _, c := range r.Latest {
		switch {
		case c.Version <= have.Version:
		case c.Digest == "":
			delete(services, c.Service)
		default:
			services[c.Service] = wire.HeadService{Name: c.Service, Version: c.Version, Digest: c.Digest}
		}
	}
	return services, digestServices(services) == r.Digest
}

// fetchServices reads the documents that a snapshot does not hold.
func fetchServices(ctx context.Context, store kv.Store, have *Snapshot, r wire.HeadRef, services map[string]wire.HeadService) (wire.Update, error) {
	u := wire.Update{Schema: r.Schema, From: have.Version, Version: r.Version, Digest: digestServices(services)}
	var missing []wire.HeadService
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s, old := services[name], have.Bodies[name]
		switch {
		case old.Digest != s.Digest:
			missing = append(missing, s)
		case old.Version != s.Version:
			old.Version = s.Version
			u.Bodies = append(u.Bodies, old)
		}
	}
	for name := range have.Bodies {
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

func byName(services []wire.HeadService) map[string]wire.HeadService {
	m := make(map[string]wire.HeadService, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}
