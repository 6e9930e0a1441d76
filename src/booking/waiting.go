package booking

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const priorities = 8

// waiter is a call in the queue.
type waiter struct {
	call      uint64
	route     string
	priority  uint8
	service   time.Duration // expected service time
	until     time.Time     // when it is refused
	objective time.Time     // its answer is in time until then, zero for no objective
	reason    wire.RefusalReason
	judged    bool // it has been decided that it waits on although it is late
}

// start returns when the call has to start for its answer to be in time.
func (w *waiter) start() time.Time {
	if w.objective.IsZero() {
		return w.until
	}
	return w.objective.Add(-w.service)
}

// late tells whether its answer can no longer be in time.
func (w *waiter) late(now time.Time) bool { return !w.objective.IsZero() && now.After(w.start()) }

// waiting is the queue. Calls that can be in time go before late ones, then the more urgent before the others.
//
// Among calls in time the one that has to start first goes first; among late ones the one that came last, which has the best chance to be answered at all.
type waiting struct {
	lines [priorities][]waiter // in the order of arrival
	size  int
}

func rank(priority uint8) int { return min(int(priority), priorities-1) }

func (q *waiting) push(w waiter) {
	r := rank(w.priority)
	q.lines[r] = append(q.lines[r], w)
	q.size++
}

// before returns the number of calls that leave the queue before one of a priority that came now.
func (q *waiting) before(priority uint8) int {
	n := 0
	for r := range rank(priority) + 1 {
		n += len(q.lines[r])
	}
	return n
}

// ahead returns the number and the service time of the calls that a call of a priority waits for, late ones only where it is late itself.
func (q *waiting) ahead(now time.Time, priority uint8, late bool) (int, time.Duration) {
	n, d := 0, time.Duration(0)
	for r := range priorities {
		for i := range q.lines[r] {
			w := &q.lines[r][i]
			isLate := w.late(now)
			if (!isLate && (late || r <= rank(priority))) || (isLate && late && r <= rank(priority)) {
				n++
				d += w.service
			}
		}
	}
	return n, d
}

// pop takes the next call among those that are urgent enough.
func (q *waiting) pop(now time.Time, least int) (waiter, bool) {
	if q.size == 0 {
		return waiter{}, false
	}
	lines := q.lines[:least+1]
	for r := range lines {
		if i := q.earliest(now, r); i >= 0 {
			return q.take(r, i), true
		}
	}
	for r := range lines {
		if n := len(q.lines[r]); n > 0 {
			return q.take(r, n-1), true
		}
	}
	return waiter{}, false
}

// overtaken takes the calls that have become late and that keep does not keep.
func (q *waiting) overtaken(now time.Time, keep func(*waiter) bool) []waiter {
	var out []waiter
	for r := range q.lines {
		for i := 0; i < len(q.lines[r]); i++ {
			w := &q.lines[r][i]
			if w.judged || !w.late(now) {
				continue
			}
			w.judged = true
			if !keep(w) {
				out = append(out, q.take(r, i))
				i--
			}
		}
	}
	return out
}

// earliest returns the index of the call in time that has to start first, -1 for none.
func (q *waiting) earliest(now time.Time, r int) int {
	best := -1
	for i := range q.lines[r] {
		w := &q.lines[r][i]
		if !w.late(now) && (best < 0 || w.start().Before(q.lines[r][best].start())) {
			best = i
		}
	}
	return best
}

func (q *waiting) take(r, i int) waiter {
	w := q.lines[r][i]
	q.lines[r] = slices.Delete(q.lines[r], i, i+1)
	q.size--
	return w
}

// displace takes the newest call of a lower priority.
func (q *waiting) displace(priority uint8) (waiter, bool) {
	for r := priorities - 1; r > rank(priority); r-- {
		if n := len(q.lines[r]); n > 0 {
			return q.take(r, n-1), true
		}
	}
	return waiter{}, false
}

func (q *waiting) remove(call uint64) bool {
	for r, line := range q.lines {
		i := slices.IndexFunc(line, func(w waiter) bool { return w.call == call })
		if i >= 0 {
			q.take(r, i)
			return true
		}
	}
	return false
}

// overdue takes every call whose time to wait is over.
func (q *waiting) overdue(now time.Time) []waiter {
	var out []waiter
	for r, line := range q.lines {
		kept := line[:0]
		for _, w := range line {
			if now.Before(w.until) {
				kept = append(kept, w)
				continue
			}
			out = append(out, w)
		}
		q.lines[r] = kept
	}
	q.size -= len(out)
	return out
}
