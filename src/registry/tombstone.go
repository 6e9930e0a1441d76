package registry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// maxKnownTombstones limits the tombstones that an agent keeps; beyond it, those of the earliest
// starts are dropped.
const maxKnownTombstones = 1024

// tombstone records that all incarnations of an instance ID that started at or before latestStartMS have announced that they are leaving.
type tombstone struct {
	instance      string
	latestStartMS int64 // milliseconds since the Unix epoch
}

// tombstoneSet holds the tombstones that an agent knows, by instance ID. A tombstone stays when the
// store loses it.
type tombstoneSet struct {
	known      map[string]wire.RegistryTombstone
	unreadable map[string]bool // instance IDs whose tombstone in the store cannot be parsed
}

// addItem adds a tombstone as the store holds it. A deleted one, whose lease has expired, is kept.
func (s *tombstoneSet) addItem(instance string, i Item) {
	if i.Deleted {
		return
	}
	latestStart, err := parseTombstoneTime(i)
	if err != nil {
		if s.unreadable == nil || len(s.unreadable) >= maxKnownTombstones {
			s.unreadable = map[string]bool{}
		}
		s.unreadable[instance] = true
		return
	}
	delete(s.unreadable, instance)
	s.add(wire.RegistryTombstone{Instance: instance, LatestStartMS: latestStart.UnixMilli(), Revision: i.Revision})
}

// add adds a tombstone unless a later start is known for the instance.
func (s *tombstoneSet) add(t wire.RegistryTombstone) {
	old, ok := s.known[t.Instance]
	if ok && (t.LatestStartMS < old.LatestStartMS || t.LatestStartMS == old.LatestStartMS && t.Revision <= old.Revision) {
		return
	}
	if s.known == nil {
		s.known = map[string]wire.RegistryTombstone{}
	}
	s.known[t.Instance] = t
	if len(s.known) > maxKnownTombstones {
		earliest := t
		for _, k := range s.known {
			if k.LatestStartMS < earliest.LatestStartMS {
				earliest = k
			}
		}
		delete(s.known, earliest.Instance)
	}
}

// latestStart returns the latest start time that the tombstone of an instance covers, zero if there
// is none.
func (s *tombstoneSet) latestStart(instance string) time.Time {
	t, ok := s.known[instance]
	if !ok {
		return time.Time{}
	}
	return time.UnixMilli(t.LatestStartMS)
}

// after returns the tombstones written after a revision, ordered by instance ID.
func (s *tombstoneSet) after(revision uint64) []wire.RegistryTombstone {
	var out []wire.RegistryTombstone
	for _, t := range s.known {
		if t.Revision > revision {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b wire.RegistryTombstone) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

func parseTombstoneTime(i Item) (time.Time, error) {
	ms, err := strconv.ParseInt(string(i.Value), 10, 64)
	if err != nil {
		return time.Time{}, problem.Wrap(problem.Protocol, err, i.Key, "tombstone is not a time in milliseconds; another release may have written it", "wait until its lease expires")
	}
	return time.UnixMilli(ms), nil
}
