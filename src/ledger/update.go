package ledger

import (
	"cmp"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// UpdateFrom returns the update that turns the given version into s, or a full copy when from is 0 or all documents have changed.
//
// Removals that s does not record (from before this process built its first snapshot, or beyond maxRemoved) are not listed:
// the receiver's Apply detects them by the digest and returns VersionGap, and the receiver pulls a full copy.
func (s *Snapshot) UpdateFrom(from uint64) wire.Update {
	u := wire.Update{Schema: wire.SchemaNumber, From: from, Version: s.Version, Digest: s.Digest}
	for _, b := range s.Bodies {
		if b.Version > from {
			u.Bodies = append(u.Bodies, b)
		}
	}
	if len(u.Bodies) == len(s.Bodies) {
		u.From = 0
	}
	if u.From != 0 {
		s.patchBodies(u.Bodies, from)
	}
	slices.SortFunc(u.Bodies, func(a, b wire.Body) int { return cmp.Compare(a.Service, b.Service) })
	if u.From == 0 {
		return u
	}
	for name, version := range s.removedIn {
		if version > from {
			u.Removed = append(u.Removed, name)
		}
	}
	slices.Sort(u.Removed)
	return u
}

// patchBodies replaces the bodies by patches where the document at version from is recorded.
func (s *Snapshot) patchBodies(bodies []wire.Body, from uint64) {
	for i, b := range bodies {
		if r, ok := s.previous[b.Service]; ok && r.body.Version <= from && from <= r.lastVersion {
			bodies[i] = patchBody(b, r.body)
		}
	}
}
