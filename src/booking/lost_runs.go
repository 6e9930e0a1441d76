package booking

import (
	"bytes"
	"strconv"
	"time"
)

const (
	reportDelay     = 2 * time.Millisecond  // a call sent later than this before a report may not have reached the backend server when it was made
	lostConfirmTime = 10 * time.Millisecond // for which all reports must show that calls are lost, since answers may wait to be read
	lostDeviations  = 4                     // mean deviations beyond the expected service time from which a call may be lost
	shedReportPause = 2 * time.Second       // for which reports are not used after the backend server has shed a call
)

// lostRuns counts the running calls that the backend server no longer runs although it has not
// answered them, by the number of requests that it reports to be running.
// They hold no slot there: the answer was lost, or the backend server has dropped the request.
//
// A report that is too low makes the Core admit up to twice the concurrency limit, until the
// backend server sheds a call.
type lostRuns struct {
	count          int       // confirmed
	least          int       // least number in the reports since a time
	since          time.Time // zero if the last report showed none
	countsAnswered bool      // reports include the call whose answer they come with
	ignoredUntil   time.Time // reports before are not used
}

// reported counts the lost calls and reports as many, the longest overdue, which need not be those.
func (c *Core) reported(now time.Time, e Reported) []Action {
	answered := c.running[e.Answered]
	if answered == nil {
		return nil
	}
	answered.answering, answered.lost = true, false
	if now.Before(c.lost.ignoredUntil) {
		return nil
	}
	if len(c.running) == 1 {
		c.lost.countsAnswered = e.Running > 0
	}
	c.lost.observe(now, min(max(0, c.expectedRunning(now)-e.Running), c.limit))
	return c.admitQueued(now, append(c.findLost(now), c.refuseExpired(now, nil)...))
}

// expectedRunning returns the number of requests that a report made now should state at least.
func (c *Core) expectedRunning(now time.Time) int {
	n := 0
	if c.lost.countsAnswered {
		n++
	}
	for _, r := range c.running {
		if r.awaitsAnswer() && now.Sub(r.sent) >= reportDelay {
			n++
		}
	}
	return n
}

// awaitsAnswer reports whether the request has been sent and no byte of its answer has arrived.
func (r *runningCall) awaitsAnswer() bool { return !r.sent.IsZero() && !r.answering }

// findLost returns an action for each call that is taken for lost.
func (c *Core) findLost(now time.Time) []Action {
	var out []Action
	found := 0
	for _, r := range c.running {
		if r.lost {
			found++
		}
	}
	for ; found < c.lost.count; found++ {
		call, longest := uint64(0), time.Duration(0)
		for id, r := range c.running {
			if d := c.overdue(now, r); r.awaitsAnswer() && !r.lost && (d > longest || d == longest && d > 0 && id < call) {
				call, longest = id, d
			}
		}
		if longest <= 0 {
			break
		}
		c.running[call].lost = true
		out = append(out, Lost{Call: call})
	}
	return out
}

// overdue returns by how much a call has run longer than its service time may vary, 0 or less if it
// has not or if that is unknown.
func (c *Core) overdue(now time.Time, r *runningCall) time.Duration {
	if r.expected == 0 {
		return 0
	}
	usual := r.expected + c.atCurrentSpeed(now, lostDeviations*c.serviceTimes.routeDeviation(r.route))
	return now.Sub(r.admitted) - max(usual, 2*r.expected)
}

// observe updates the count after a report that shows n lost calls.
func (l *lostRuns) observe(now time.Time, n int) {
	l.count, l.least = min(l.count, n), min(l.least, n)
	switch {
	case n == 0:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since, l.least = now, n
	case now.Sub(l.since) >= lostConfirmTime:
		l.count = l.least
		l.since, l.least = now, n
	}
}

// released updates the count after a call has released its slot.
func (l *lostRuns) released(now time.Time, result Result) {
	switch result {
	case ResultShed:
		*l = lostRuns{countsAnswered: l.countsAnswered, ignoredUntil: now.Add(shedReportPause)}
	case ResultFailed:
		l.count, l.least = max(0, l.count-1), max(0, l.least-1)
	}
}

// busySlots returns the number of running calls that are not lost.
func (c *Core) busySlots() int { return max(0, len(c.running)-c.lost.count) }

// parseRunning returns the requests running and waiting that a load header states; ok is false if
// it states none.
func parseRunning(value []byte) (n int, ok bool) {
	for range 2 {
		var field []byte
		field, value, ok = bytes.Cut(value, []byte{','})
		v, err := strconv.Atoi(string(bytes.TrimSpace(field)))
		if err != nil || v < 0 || !ok {
			return 0, false
		}
		n += v
	}
	return n, true
}
