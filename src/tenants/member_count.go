package tenants

import "time"

// memberCount is the number of members by which a granter divides the limits. It rises at once and
// falls late: members that are gone may be cut off and use their parts for isolationTime. It falls
// only where a majority follows the granter, so that it never falls on two sides of a partition. As
// the only exception, it falls after a long time if all listed members follow,
// since otherwise a fleet could not become smaller by more than half at once.
type memberCount struct {
	n       int
	lower   int       // largest count since belowAt
	belowAt time.Time // since when the count is below n, zero if it is not
}

// update adds a count and the number of members that follow.
func (c *memberCount) update(now time.Time, count, followers int) int {
	count = max(1, count)
	if count >= c.n {
		c.n, c.belowAt, c.lower = count, time.Time{}, 0
		return c.n
	}
	if c.belowAt.IsZero() {
		c.belowAt = now
	}
	c.lower = max(c.lower, count)
	gone := now.Sub(c.belowAt)
	if gone >= isolationTime && 2*followers > c.n || gone >= shrinkTime && followers >= c.lower {
		c.n, c.belowAt, c.lower = c.lower, time.Time{}, 0
	}
	return c.n
}
