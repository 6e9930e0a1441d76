package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// bodyKeys returns the keys of the bodies that a head names.
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

// retire brings the list of keys to delete up to date: what before named and h does not is added, what h names or is gone is dropped.
func retire(before, h *wire.Head, old []wire.RetiredKey, gone map[string]bool, now time.Time) {
	named := bodyKeys(h)
	h.Retired = slices.DeleteFunc(slices.Clone(h.Retired), func(r wire.RetiredKey) bool { return named[r.Key] || gone[r.Key] })
	listed := map[string]bool{}
	for _, r := range h.Retired {
		listed[r.Key] = true
	}
	for key := range bodyKeys(before) {
		old = append(old, wire.RetiredKey{Key: key, At: now.UnixMilli()})
	}
	slices.SortStableFunc(old, func(a, b wire.RetiredKey) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range old {
		if !named[r.Key] && !listed[r.Key] {
			listed[r.Key] = true
			h.Retired = append(h.Retired, r)
		}
	}
	doom(h.Retired, now)
}

// doom marks the retired keys that are old enough, a few at a time; only marked ones are deleted.
func doom(retired []wire.RetiredKey, now time.Time) {
	n := 0
	for i := range retired {
		r := &retired[i]
		if n < doomedAtOnce && now.Sub(time.UnixMilli(r.At)) >= ageOf(r.Key) {
			r.Doomed = true
			n++
		}
	}
}

// ageOf returns the time for which a key is kept for slow readers.
func ageOf(key string) time.Duration {
	if strings.HasPrefix(key, headPrefix) {
		return HeadRetention
	}
	return BodyRetention
}

// lists tells whether a list holds a key.
func lists(keys []wire.RetiredKey, key string) bool {
	return slices.ContainsFunc(keys, func(r wire.RetiredKey) bool { return r.Key == key })
}

// without returns a list without some keys.
func without(list []wire.RetiredKey, keys ...string) []wire.RetiredKey {
	return slices.DeleteFunc(slices.Clone(list), func(r wire.RetiredKey) bool { return slices.Contains(keys, r.Key) })
}
