package relay

import "time"

// fullCopyBudget is a token bucket that limits the pull requests for a full copy that a daemon serves, so that many daemons starting at once do not stall it.
type fullCopyBudget struct {
	tokens     float64
	refilledAt time.Time // time up to which tokens is computed
}

func (c *Core) onPullRequested(now time.Time, e PullRequested) {
	switch {
	case e.HeldVersion >= c.heldVersion:
		c.emit(AnswerCurrent{Version: c.heldVersion})
	case e.HeldVersion > 0 || c.takeFullCopyToken(now):
		c.emit(AnswerUpdate{Base: e.HeldVersion})
	default:
		c.emit(AnswerBusy{Alternative: c.alternativePeer(e.From), RetryAfter: c.randomDuration(BusyRetryMin, BusyRetryMax)})
	}
}

// takeFullCopyToken takes a token for a full copy and reports whether there was one.
func (c *Core) takeFullCopyToken(now time.Time) bool {
	b := &c.fullCopies
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*c.Tuning.FullCopyRate, c.Tuning.FullCopyBurst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// alternativePeer returns another member to pull from, of the requester's failure domain if possible; 0 if there is none.
func (c *Core) alternativePeer(requester uint64) uint64 {
	domain := c.domainOf(requester)
	if id := c.randomMember(func(m Member) bool { return m.ID != requester && m.Domain == domain }); id != 0 {
		return id
	}
	return c.randomMember(func(m Member) bool { return m.ID != requester })
}
