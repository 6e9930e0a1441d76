package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// maxItems limits the orders and plans that an agent keeps, since their number of keys is the
// operator's; the keys beyond it are ignored.
const maxItems = 256

// itemSet holds the orders and plans of rollouts that an agent knows, by key. A withdrawn one stays
// as deleted, so that an older state of its key is recognised.
//
// The store may come back from an older copy. What such a copy lacks stays, since a missing key is
// not a deletion there, and keep decides whether an earlier value is replaced.
type itemSet struct {
	// keep reports whether a known value stays when the store shows another one of a later era; nil
	// to replace each.
	keep  func(key string, known, shown []byte) bool
	known map[string]Item
}

// apply applies the state of a key and returns the actions that result from it.
func (s *itemSet) apply(i Item) []Action {
	old, ok := s.known[i.Key]
	if ok && i.Revision <= old.Revision || !ok && (i.Deleted || len(s.known) >= maxItems) {
		return nil
	}
	if ok && !i.Deleted && !old.Deleted && isLaterEra(i.Revision, old.Revision) && s.keep != nil && s.keep(i.Key, old.Value, i.Value) {
		shown := i.Revision
		old.Revision = shown // peers that know the earlier value take the kept one, as keep decides there too
		s.known[i.Key] = old
		return []Action{RestoreItem{Item: old, StoreRevision: shown}}
	}
	if s.known == nil {
		s.known = map[string]Item{}
	}
	s.known[i.Key] = i
	if ok && old.Deleted == i.Deleted && string(old.Value) == string(i.Value) && isLaterEra(i.Revision, old.Revision) {
		return nil // the restored store holds what is known
	}
	return []Action{DeliverItem{Item: i}}
}

// applyPeer applies an item of a peer. The peer may have kept a value against a restored store that
// shows an earlier one, which this agent took as its first.
func (s *itemSet) applyPeer(i Item, authoritative bool) []Action {
	old, ok := s.known[i.Key]
	switch {
	case i.Deleted && !authoritative:
		return nil
	case ok && i.Revision <= old.Revision && !old.Deleted && !i.Deleted && s.keep != nil && s.keep(i.Key, i.Value, old.Value):
		shown := old.Revision
		i.Revision = shown
		s.known[i.Key] = i
		return []Action{DeliverItem{Item: i}, RestoreItem{Item: i, StoreRevision: shown}}
	}
	return s.apply(i)
}

// missing applies a full listing: a key that it lacks was deleted, unless the store has come back
// from a copy that may be older than the key. A value that keep protects is then to be written
// again.
func (s *itemSet) missing(present map[string]bool, revision uint64) []Action {
	var out []Action
	for _, k := range slices.Sorted(maps.Keys(s.known)) {
		i := s.known[k]
		switch {
		case present[k] || i.Deleted || i.Revision > revision:
		case isLaterEra(revision, i.Revision):
			if s.keep != nil && s.keep(k, i.Value, nil) {
				out = append(out, RestoreItem{Item: i})
			}
		default:
			i.Value, i.Deleted, i.Revision = nil, true, revision
			s.known[k] = i
			out = append(out, DeliverItem{Item: i})
		}
	}
	return out
}

// after returns the items that were written or deleted after a revision, ordered by key.
func (s *itemSet) after(revision uint64) []wire.RegistryItem {
	var out []wire.RegistryItem
	for _, i := range s.known {
		if i.Revision > revision {
			out = append(out, wire.RegistryItem{Key: i.Key, Revision: i.Revision, Value: i.Value, Deleted: i.Deleted})
		}
	}
	slices.SortFunc(out, func(a, b wire.RegistryItem) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// isLaterEra reports whether a revision is of a later era than another.
func isLaterEra(revision, than uint64) bool {
	era, _ := SplitRevision(revision)
	thanEra, _ := SplitRevision(than)
	return era > thanEra
}
