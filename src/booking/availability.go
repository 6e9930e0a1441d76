package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// isDraining reports whether new calls are refused because the backend server reports that it is draining, or because the grace period of a requested drain has passed.
func (c *Core) isDraining(now time.Time) bool {
	return c.health == HealthDraining || c.drainRequested && !now.Before(c.drainStart)
}

// unavailableRefusal returns a refusal and true for a call that arrived while isDraining held, or while the backend server is not up, otherwise false.
func (c *Core) unavailableRefusal(now, arrived time.Time, call uint64) (Action, bool) {
	switch {
	case c.isDraining(arrived):
		return Refuse{Call: call, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}, true
	case c.health != HealthUp:
		return Refuse{Call: call, Reason: wire.ReasonNotReady, RetryAfter: notReadyRetryAfter}, true
	}
	return nil, false
}

// drain sets the time from which new calls are refused. A second drain cannot postpone the first.
func (c *Core) drain(from time.Time) {
	if c.drainRequested && c.drainStart.Before(from) {
		return
	}
	c.drainRequested, c.drainStart = true, from
}

// setHealth sets the state. A backend server that recovers from down starts with initialLimit again; when it goes down, the queued calls are refused.
func (c *Core) setHealth(now time.Time, s HealthState) []Action {
	if s == HealthUp && c.health == HealthDown {
		c.limit = c.initialLimit()
		c.successes = 0
	}
	c.health = s
	if s != HealthDown {
		return nil
	}
	var actions []Action
	for {
		w, wasQueued := c.queue.pop(now, rankCount-1)
		if !wasQueued {
			return actions
		}
		if r, refused := c.unavailableRefusal(now, now, w.call); refused {
			actions = append(actions, r)
		}
	}
}
