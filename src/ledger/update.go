package ledger

import (
	"cmp"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// UpdateFrom returns what carries a daemon from version have to the snapshot; a full copy when have is 0.
//
// A service that was removed before this snapshot's daemon started is not named: the receiver sees it by the digest and asks for a full copy.
func (s *Snapshot) UpdateFrom(have uint64) wire.Update {
	u := wire.Update{Schema: wire.SchemaNumber, From: have, Version: s.Version, Digest: s.Digest}
	for _, b := range s.Bodies {
		if b.Version > have {
			u.Bodies = append(u.Bodies, b)
		}
	}
	if len(u.Bodies) == len(s.Bodies) {
		u.From = 0
	}
	if u.From != 0 {
		s.patchBodies(u.Bodies, have)
	}
	slices.SortFunc(u.Bodies, func(a, b wire.Body) int { return cmp.Compare(a.Service, b.Service) })
	if u.From == 0 {
		return u
	}
	for name, version := range s.removed {
		if version > have {
			u.Removed = append(u.Removed, name)
		}
	}
	slices.Sort(u.Removed)
	return u
}

// patchBodies turns the bodies whose document at version have is known into differences.
func (s *Snapshot) patchBodies(bodies []wire.Body, have uint64) {
	for i, b := range bodies {
		if r, ok := s.replaced[b.Service]; ok && r.body.Version <= have && have <= r.until {
			bodies[i] = patch(b, r.body)
		}
	}
}
