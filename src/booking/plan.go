package booking

import (
	"cmp"
	"slices"
	"time"
)

// maxWorkFactor bounds how far the expected service time of a route counts from the mean of all
// calls, and so what a wrong estimate costs the other calls of its rank.
const maxWorkFactor = 4

// candidate is a queued call that is considered for an answer in time.
type candidate struct {
	waiter      *waiter
	kind        *kindPlan
	rank        int           // of the queue, -1 for a call of a starved kind
	latestStart time.Duration // from now
	work        time.Duration // expected service time
	cost        time.Duration // slot time that counts against it when calls are left out
	stretch     float64       // factor on its wait for the calls that arrive later and precede it
	start       time.Duration // expected, from now; set by plan
	out         bool          // not expected to be in time; set by plan
}

// planner holds what plan needs to know of the slots.
type planner struct {
	free    []time.Duration           // time until each slot is free
	minWait func(n int) time.Duration // wait of a call with n calls ahead under the limit that the backend server has named
}

// plan chooses the calls to be answered in time and orders calls by rank and start. More urgent
// ranks are planned first. If all calls of a rank can be in time in the order of their latest
// start, that is their order.
// Otherwise those with the lowest cost come first, since calls of a rank have the same value, and
// the ones that then start too late are left out.
// Among calls of one kind these are the ones with the latest start.
func (p planner) plan(calls []candidate) {
	slices.SortStableFunc(calls, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.latestStart, b.latestStart))
	})
	free, ahead := slices.Clone(p.free), 0
	for len(calls) > 0 {
		n := slices.IndexFunc(calls, func(c candidate) bool { return c.rank != calls[0].rank })
		if n < 0 {
			n = len(calls)
		}
		before := slices.Clone(free)
		if taken := p.planRank(free, ahead, calls[:n]); taken < n {
			slices.SortStableFunc(calls[:n], func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
			copy(free, before)
			ahead += p.planRank(free, ahead, calls[:n])
		} else {
			ahead += n
		}
		calls = calls[n:]
	}
}

// planRank assigns slots to the calls of one rank in their order and returns the number of those
// that can be in time.
func (p planner) planRank(free []time.Duration, ahead int, calls []candidate) int {
	taken := 0
	for i := range calls {
		c := &calls[i]
		if c.out = !p.place(free, ahead+taken, c); !c.out {
			taken++
		}
	}
	return taken
}

// place finds the start of a call on the slot that is free first and reports whether it is in time;
// only then does the call take the slot.
func (p planner) place(free []time.Duration, ahead int, c *candidate) bool {
	i := slices.Index(free, slices.Min(free))
	c.start = max(time.Duration(float64(free[i])*c.stretch), p.minWait(ahead))
	if c.start > c.latestStart {
		return false
	}
	free[i] += c.work
	return true
}
