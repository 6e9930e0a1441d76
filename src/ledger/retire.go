package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// bodyKeys returns the keys of the bodies that a head refers to.
func bodyKeys(h *wire.Head) map[string]bool {
	keys := map[string]bool{}
	for _, s := range h.Services {
		keys[BodyKey(s.Digest)] = true
	}
	for _, c := range h.Changes {
		if c.Digest != "" {
			keys[BodyKey(c.Digest)] = true
		}
	}
	return keys
}

// updateRetired updates next.Retired, the keys to delete: unused keys and bodies that only previous refers to are added,
// keys that next refers to or that were deleted are dropped.
func updateRetired(previous, next *wire.Head, unused []wire.RetiredKey, deleted map[string]bool, now time.Time) {
	inUse := bodyKeys(next)
	next.Retired = slices.DeleteFunc(slices.Clone(next.Retired), func(r wire.RetiredKey) bool { return inUse[r.Key] || deleted[r.Key] })
	listed := map[string]bool{}
	for _, r := range next.Retired {
		listed[r.Key] = true
	}
	for key := range bodyKeys(previous) {
		unused = append(unused, wire.RetiredKey{Key: key, At: now.UnixMilli()})
	}
	slices.SortStableFunc(unused, func(a, b wire.RetiredKey) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range unused {
		if !inUse[r.Key] && !listed[r.Key] {
			listed[r.Key] = true
			next.Retired = append(next.Retired, r)
		}
	}
	markDoomed(next.Retired, now)
}

// markDoomed marks the first maxDoomedKeys retired keys whose retention has ended; only marked keys are deleted.
func markDoomed(retired []wire.RetiredKey, now time.Time) {
	n := 0
	for i := range retired {
		r := &retired[i]
		if n < maxDoomedKeys && now.Sub(time.UnixMilli(r.At)) >= retention(r.Key) {
			r.Doomed = true
			n++
		}
	}
}

// retention returns the time for which an unused key is kept for slow readers.
func retention(key string) time.Duration {
	if strings.HasPrefix(key, headPrefix) {
		return HeadRetention
	}
	return BodyRetention
}

// containsKey reports whether a list holds a key.
func containsKey(keys []wire.RetiredKey, key string) bool {
	return slices.ContainsFunc(keys, func(r wire.RetiredKey) bool { return r.Key == key })
}

// withoutKeys returns a copy of a list without some keys.
func withoutKeys(keys []wire.RetiredKey, exclude ...string) []wire.RetiredKey {
	return slices.DeleteFunc(slices.Clone(keys), func(r wire.RetiredKey) bool { return slices.Contains(exclude, r.Key) })
}
