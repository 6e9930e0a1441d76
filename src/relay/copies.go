package relay

import "time"

// copyBudget bounds the full copies that a daemon serves, so that a herd of starting daemons does not stall it.
type copyBudget struct {
	tokens float64
	at     time.Time // when tokens was right
}

func (c *Core) onPullRequested(now time.Time, e PullRequested) {
	switch {
	case e.HeldVersion >= c.have:
		c.do(AnswerCurrent{Version: c.have})
	case e.HeldVersion > 0 || c.takeCopy(now):
		c.do(AnswerUpdate{Base: e.HeldVersion})
	default:
		c.do(AnswerBusy{Alternative: c.elsewhere(e.From), RetryAfter: c.between(BusyRetryMin, BusyRetryMax)})
	}
}

// takeCopy tells whether the budget allows one more full copy.
func (c *Core) takeCopy(now time.Time) bool {
	b := &c.copies
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*c.Tuning.FullCopyRate, c.Tuning.FullCopyBurst)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// elsewhere returns another member to ask, of the asker's failure domain if there is one.
func (c *Core) elsewhere(asker uint64) uint64 {
	domain := c.domainOf(asker)
	if id := c.other(func(m Member) bool { return m.ID != asker && m.Domain == domain }); id != 0 {
		return id
	}
	return c.other(func(m Member) bool { return m.ID != asker })
}
