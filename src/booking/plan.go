package booking

import (
	"cmp"
	"slices"
	"time"
)

// maxWorkFactor bounds how far the expected service time of a route counts from the mean of all calls, and so what a wrong estimate costs the other calls of its rank.
const maxWorkFactor = 4

// candidate is a queued call that is considered for an answer in time.
type candidate struct {
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

// plan chooses the calls to be answered in time. More urgent ranks are planned first. Within a rank, calls are taken in the order of their latest start;
// whenever one would start too late, the call of the rank taken so far that needs the most slot time is left out, and among equal ones the one with the latest start.
// All calls of a rank have the same value, so that is the one with the lowest value per slot second (Moore and Hodgson's rule, for several slots).
func (p planner) plan(calls []*candidate) {
	slices.SortStableFunc(calls, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.latestStart, b.latestStart))
	})
	free, ahead := slices.Clone(p.free), 0
	for len(calls) > 0 {
		n := slices.IndexFunc(calls, func(c *candidate) bool { return c.rank != calls[0].rank })
		if n < 0 {
			n = len(calls)
		}
		var taken int
		free, taken = p.planRank(free, ahead, calls[:n])
		ahead += taken
		calls = calls[n:]
	}
}

// planRank plans the calls of one rank and returns when the slots are free behind them, and the number of calls taken.
func (p planner) planRank(before []time.Duration, ahead int, calls []*candidate) ([]time.Duration, int) {
	var taken []*candidate
	free := slices.Clone(before)
	for _, c := range calls {
		taken = append(taken, c)
		if p.place(free, ahead+len(taken)-1, c) {
			continue
		}
		worst := 0
		for i, t := range taken {
			if t.cost >= taken[worst].cost {
				worst = i
			}
		}
		taken[worst].out = true
		taken = slices.Delete(taken, worst, worst+1)
		free = append(free[:0], before...)
		for i, t := range taken {
			p.place(free, ahead+i, t)
		}
	}
	return free, len(taken)
}

// place assigns the slot that is free first and reports whether the call starts in time.
func (p planner) place(free []time.Duration, ahead int, c *candidate) bool {
	i := slices.Index(free, slices.Min(free))
	c.start = max(time.Duration(float64(free[i])*c.stretch), p.minWait(ahead))
	free[i] += c.work
	return c.start <= c.latestStart
}
