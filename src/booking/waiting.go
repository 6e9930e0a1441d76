package booking

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const priorities = 3

// waiter is a call in the queue.
type waiter struct {
	call   uint64
	route  string
	until  time.Time // when it is refused
	reason wire.RefusalReason
}

// waiting is the queue: one line for each priority, first come first served within it.
type waiting struct {
	lines [priorities][]waiter
	size  int
}

func rank(priority uint8) int { return min(int(priority), priorities-1) }

func (q *waiting) push(priority uint8, w waiter) {
	r := rank(priority)
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

// pop takes the next call.
func (q *waiting) pop() (waiter, bool) {
	for r, line := range q.lines {
		if len(line) > 0 {
			w := line[0]
			q.lines[r] = slices.Delete(line, 0, 1)
			q.size--
			return w, true
		}
	}
	return waiter{}, false
}

// displace takes the newest call of a lower priority.
func (q *waiting) displace(priority uint8) (waiter, bool) {
	for r := priorities - 1; r > rank(priority); r-- {
		if n := len(q.lines[r]); n > 0 {
			w := q.lines[r][n-1]
			q.lines[r] = q.lines[r][:n-1]
			q.size--
			return w, true
		}
	}
	return waiter{}, false
}

func (q *waiting) remove(call uint64) bool {
	for r, line := range q.lines {
		i := slices.IndexFunc(line, func(w waiter) bool { return w.call == call })
		if i >= 0 {
			q.lines[r] = slices.Delete(line, i, i+1)
			q.size--
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
