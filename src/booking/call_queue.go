package booking

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const rankCount = 8 // number of ranks of the queue

// waiter is a call in the queue.
type waiter struct {
	call          uint64
	route         string
	priority      uint8
	final         bool               // see Arrive.Final
	serviceTime   time.Duration      // expected service time
	transferTime  time.Duration      // expected time of its answer on the network connection
	expiry        time.Time          // time at which it is refused
	objectiveTime time.Time          // time by which the backend server has to answer to meet the objective, zero for no objective
	reason        wire.RefusalReason // of the refusal at expiry

	// Set by Core.replan.
	leftOut     bool          // not planned to be in time
	promoted    bool          // precedes all others, since its kind is starved
	plannedWait time.Duration // expected wait for its slot
	order       int           // among the calls planned, 0 with PolicyPriority
}

// latestStart returns the time by which the call has to start to meet its objective; without an objective, its expiry.
func (w *waiter) latestStart() time.Time {
	if w.objectiveTime.IsZero() {
		return w.expiry
	}
	return w.objectiveTime.Add(-w.serviceTime)
}

// late reports whether the call has an objective that it can no longer meet, or is not planned to.
// Its deadline may still be far.
func (w *waiter) late(now time.Time) bool {
	return w.leftOut || !w.objectiveTime.IsZero() && now.After(w.latestStart())
}

// before reports whether the call precedes another one of its rank, if neither is late.
func (w *waiter) before(other *waiter) bool {
	return cmp.Or(cmp.Compare(w.order, other.order), w.latestStart().Compare(other.latestStart())) < 0
}

func (w *waiter) kind() kind { return kind{rank(w.priority), w.route} }

// callQueue is the queue of calls that wait for a slot. Calls that are not late precede late calls; within each group, more urgent calls precede less urgent ones.
//
// Among calls of one rank that are not late, the one with the earliest latestStart is next, or with
// PolicyValue the first one planned. Among late calls of one rank it is the newest, which has the
// best chance of being answered before its caller gives up.
type callQueue struct {
	byRank [rankCount][]waiter // each in order of arrival
	size   int
}

// rank returns the queue rank of a priority. Rank 0 is the most urgent; priorities from rankCount-1 on share the last rank.
func rank(priority uint8) int { return min(int(priority), rankCount-1) }

// clone returns a copy of the queue.
func (q *callQueue) clone() callQueue {
	out := callQueue{size: q.size}
	for r := range q.byRank {
		out.byRank[r] = slices.Clone(q.byRank[r])
	}
	return out
}

func (q *callQueue) push(w waiter) {
	r := rank(w.priority)
	q.byRank[r] = append(q.byRank[r], w)
	q.size++
}

// countAhead returns the number of queued calls whose rank places them ahead of a call of the given priority that arrived now.
func (q *callQueue) countAhead(priority uint8) int {
	n := 0
	for r := range rank(priority) + 1 {
		n += len(q.byRank[r])
	}
	return n
}

// workAhead returns the number and the total service time of the queued calls that may precede a call of the given priority.
// late states whether that call is late: if it is, all calls that are not late precede it; otherwise no late call does.
// Calls of the same rank count whatever their order, if they are late, or not late, as that call is; if it is itself queued, it counts too.
func (q *callQueue) workAhead(now time.Time, priority uint8, late bool) (int, time.Duration) {
	n, d := 0, time.Duration(0)
	for r := range rankCount {
		for i := range q.byRank[r] {
			w := &q.byRank[r][i]
			isLate := w.late(now)
			if (!isLate && (late || r <= rank(priority))) || (isLate && late && r <= rank(priority)) {
				n++
				d += w.serviceTime
			}
		}
	}
	return n, d
}

// pop removes and returns the next call of rank maxRank or a more urgent one.
func (q *callQueue) pop(now time.Time, maxRank int) (waiter, bool) {
	if q.size == 0 {
		return waiter{}, false
	}
	for r := range q.byRank {
		if i := slices.IndexFunc(q.byRank[r], func(w waiter) bool { return w.promoted && !w.late(now) }); i >= 0 {
			return q.removeAt(r, i), true
		}
	}
	eligible := q.byRank[:maxRank+1]
	for r := range eligible {
		if i := q.nextNotLate(now, r); i >= 0 {
			return q.removeAt(r, i), true
		}
	}
	for r := range eligible {
		if n := len(q.byRank[r]); n > 0 {
			return q.removeAt(r, n-1), true
		}
	}
	return waiter{}, false
}

// removeLate removes and returns the late calls for which keep returns false.
func (q *callQueue) removeLate(now time.Time, keep func(*waiter) bool) []waiter {
	var out []waiter
	for r := range q.byRank {
		for i := 0; i < len(q.byRank[r]); i++ {
			w := &q.byRank[r][i]
			if w.late(now) && !keep(w) {
				out = append(out, q.removeAt(r, i))
				i--
			}
		}
	}
	return out
}

// nextNotLate returns the index, within rank r, of the call with the earliest latestStart among those that are not late, -1 for none.
func (q *callQueue) nextNotLate(now time.Time, r int) int {
	best := -1
	for i := range q.byRank[r] {
		w := &q.byRank[r][i]
		if !w.late(now) && (best < 0 || w.before(&q.byRank[r][best])) {
			best = i
		}
	}
	return best
}

func (q *callQueue) removeAt(r, i int) waiter {
	w := q.byRank[r][i]
	q.byRank[r] = slices.Delete(q.byRank[r], i, i+1)
	q.size--
	return w
}

// evictLessUrgent removes and returns the newest of the least urgent queued calls, provided that it is less urgent than the given priority.
func (q *callQueue) evictLessUrgent(priority uint8) (waiter, bool) {
	for r := rankCount - 1; r > rank(priority); r-- {
		if n := len(q.byRank[r]); n > 0 {
			return q.removeAt(r, n-1), true
		}
	}
	return waiter{}, false
}

// remove removes a call and reports whether it was queued.
func (q *callQueue) remove(call uint64) bool {
	for r, calls := range q.byRank {
		i := slices.IndexFunc(calls, func(w waiter) bool { return w.call == call })
		if i >= 0 {
			q.removeAt(r, i)
			return true
		}
	}
	return false
}

// removeExpired removes and returns every call that has reached its expiry.
func (q *callQueue) removeExpired(now time.Time) []waiter {
	var out []waiter
	for r, calls := range q.byRank {
		unexpired := calls[:0]
		for _, w := range calls {
			if now.Before(w.expiry) {
				unexpired = append(unexpired, w)
				continue
			}
			out = append(out, w)
		}
		q.byRank[r] = unexpired
	}
	q.size -= len(out)
	return out
}
