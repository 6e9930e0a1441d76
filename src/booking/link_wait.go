package booking

import "time"

// smallAnswer is the size in bytes up to which an answer does not wait for longer ones on the network connection.
const smallAnswer = 4 << 10

// transferTime returns how long the answer of a call is expected to take on the network connection of this VM, 0 if it does not use it or is short.
func (c *Core) transferTime(e Arrive) time.Duration {
	size := c.serviceTimes.routeAnswerSize(e.Route)
	if !e.Remote || c.LinkRate <= 0 || size <= smallAnswer {
		return 0
	}
	return time.Duration(float64(size) / c.LinkRate * float64(time.Second))
}

// linkWait returns how long the answers ahead of a call's own use the network connection: those that wait to be sent and those of the running and queued calls.
// Unless the call is late, the answers of late calls are not ahead of it.
func (c *Core) linkWait(now time.Time, e Arrive, late bool) time.Duration {
	d := e.LinkDelay
	if late {
		d = e.LinkDelayIfLate
	}
	for _, r := range c.running {
		if late || !r.isLate(now) {
			d += r.transferTime
		}
	}
	for r := range rankCount {
		for i := range c.queue.byRank[r] {
			if w := &c.queue.byRank[r][i]; late || r <= rank(e.Priority) && !w.late(now) {
				d += w.transferTime
			}
		}
	}
	return d
}

// expectedAnswerWait returns how long a call is expected to wait before its service time and transfer time: for a slot, and for the network connection as far as that is still busy after the service time.
func (c *Core) expectedAnswerWait(now time.Time, e Arrive, serviceTime time.Duration, late bool) time.Duration {
	wait := c.expectedWait(now, e.Priority, late)
	if c.transferTime(e) == 0 {
		return wait
	}
	return max(wait, c.linkWait(now, e, late)-serviceTime)
}
