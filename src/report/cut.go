package report

import (
	"cmp"
	"slices"
)

// Cut counts the requests that were cut in one state by one party, as one component saw it: a
// request that ends with its link has a line at the agent that took it and at both ends of the link.
type Cut struct {
	Logger   string   `json:"logger"`
	State    string   `json:"state"`
	By       string   `json:"by"`
	Requests int      `json:"requests"`
	Stopping int      `json:"stopping"`    // at agents with a planned stop of their own
	FirstMS  int64    `json:"first_ms"`    // since the signal, of those; 0 for none
	LastMS   int64    `json:"last_ms"`     // the same
	IDs      []string `json:"request_ids"` // at most maxCutIDs
}

const maxCutIDs = 100

// cutKey identifies a Cut.
type cutKey struct{ logger, state, by string }

// addCut reads a line on a request that was cut.
func (b *Builder) addCut(l line) {
	state, _ := l.State.(string)
	k := cutKey{l.Logger, state, l.EndedBy}
	c := b.cuts[k]
	if c == nil {
		c = &Cut{Logger: k.logger, State: k.state, By: k.by}
		b.cuts[k] = c
	}
	c.Requests++
	if l.RequestID != "" && len(c.IDs) < maxCutIDs {
		c.IDs = append(c.IDs, l.RequestID)
	}
	if l.SignalMS == nil {
		return
	}
	if c.Stopping++; c.Stopping == 1 {
		c.FirstMS = *l.SignalMS
	}
	c.FirstMS, c.LastMS = min(c.FirstMS, *l.SignalMS), max(c.LastMS, *l.SignalMS)
}

// sortedCuts returns the cuts, the most frequent first.
func (b *Builder) sortedCuts() []Cut {
	out := make([]Cut, 0, len(b.cuts))
	for _, c := range b.cuts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(x, y Cut) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Logger, y.Logger), cmp.Compare(x.State, y.State), cmp.Compare(x.By, y.By))
	})
	return out
}
