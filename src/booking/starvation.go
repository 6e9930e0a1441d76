package booking

import (
	"slices"
	"time"
)

// countOffer counts an arriving call for the bound on starvation if no other server is left to try.
//
// Under PolicyPriority a call that other servers have refused before counts in part, since not this
// one alone has left it unserved: the servers that are tried last would otherwise let all of a less
// urgent kind go ahead.
func (c *Core) countOffer(e Arrive) {
	if !c.bounded(e.Objective != 0) || !e.Final {
		return
	}
	weight := 1.0
	if c.Policy != PolicyValue {
		weight /= float64(max(1, e.Attempt))
	}
	c.shares.offer(kind{rank(e.Priority), e.Route}, weight)
}

// countAdmission counts an admitted call for the bound on starvation.
func (c *Core) countAdmission(w *waiter) {
	if !c.bounded(!w.objectiveTime.IsZero()) {
		return
	}
	if !w.final {
		c.shares.offer(w.kind(), 1)
	}
	c.shares.serve(w.kind())
}

// bounded reports whether the bound on starvation holds for a call with or without an objective.
func (c *Core) bounded(hasObjective bool) bool {
	return c.Policy == PolicyValue || c.FixedLimit && hasObjective
}

// isStarved reports whether the kind of a call is starved.
func (c *Core) isStarved(w *waiter) bool {
	return c.bounded(!w.objectiveTime.IsZero()) && c.shares.isStarved(w.kind())
}

// promoteStarved lets the first call in time of each starved kind go ahead of all others.
func (c *Core) promoteStarved(now time.Time) {
	var first [rankCount][]*waiter // by rank, one for each starved kind
	for r := range c.queue.byRank {
		for i := range c.queue.byRank[r] {
			w := &c.queue.byRank[r][i]
			w.promoted = false
			if w.late(now) || !c.isStarved(w) {
				continue
			}
			j := slices.IndexFunc(first[r], func(other *waiter) bool { return other.route == w.route })
			switch {
			case j < 0:
				first[r] = append(first[r], w)
			case w.latestStart().Before(first[r][j].latestStart()):
				first[r][j] = w
			}
		}
	}
	for _, calls := range first {
		for _, w := range calls {
			w.promoted = true
		}
	}
}

// wouldBePromoted reports whether a call that arrived now would go ahead of all others, since its
// kind is starved and none of it is queued.
func (c *Core) wouldBePromoted(w *waiter) bool {
	if !c.isStarved(w) {
		return false
	}
	return !slices.ContainsFunc(c.queue.byRank[rank(w.priority)], func(queued waiter) bool { return queued.route == w.route })
}
