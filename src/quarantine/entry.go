package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a request that is quarantined, as operators see it.
type Entry struct {
	Content string       `json:"content"` // hash, as FormatContent returns it
	Crashes []EntryCrash `json:"crashes"` // by time
}

// EntryCrash is the crash of a backend server under a request that is quarantined.
type EntryCrash struct {
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
}

// Entries returns the requests that are quarantined, by content.
func (n *Node) Entries() []Entry {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []Entry{}
	for content, s := range n.core.suspects {
		if !s.isQuarantined(n.Now()) {
			continue
		}
		e := Entry{Content: FormatContent(content)}
		for _, c := range s.uncleared() {
			e.Crashes = append(e.Crashes, EntryCrash{Instance: c.Instance, Time: c.Time.UTC()})
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Content, b.Content) })
	return out
}
