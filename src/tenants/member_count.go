package tenants

import "time"

// memberCount is the number of members, where a member that is gone still counts for isolationTime.
type memberCount struct {
	n       int
	lower   int       // largest count since below
	belowAt time.Time // when the count fell below n, zero if it has not
}

// update adds a count and returns the number of members.
func (c *memberCount) update(now time.Time, count int) int {
	count = max(1, count)
	switch {
	case count >= c.n:
		c.n, c.belowAt, c.lower = count, time.Time{}, 0
	case c.belowAt.IsZero():
		c.belowAt, c.lower = now, count
	case now.Sub(c.belowAt) < isolationTime:
		c.lower = max(c.lower, count)
	default:
		c.n, c.belowAt, c.lower = max(c.lower, count), time.Time{}, 0
	}
	return c.n
}
