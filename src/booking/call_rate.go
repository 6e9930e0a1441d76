package booking

import (
	"math"
	"time"
)

const (
	// maxRateBurst bounds the calls that are admitted at once: to those of this time at the limit.
	maxRateBurst = time.Second
	// limitLinger is the time after which a limit is lifted that answers name no more. An answer
	// that was sent before the limit was named may be read after one that names it.
	limitLinger = time.Second
	// limitCheckAge is the time after which a limit that no answer has confirmed is checked at the
	// health endpoint.
	limitCheckAge = time.Second
	maxRateWait   = time.Hour // stands for a wait without end
)

// callRate limits the rate at which calls are admitted to the limit that the backend server has
// named. The zero value does not limit it.
type callRate struct {
	limited   bool
	perSecond float64

	tokens       float64 // calls that may be admitted now, as of updated
	updated      time.Time
	answeredAt   time.Time // last answer since the limit was named
	unnamedSince time.Time // first answer without the limit since the last one with it, zero for none
	usage        slotUsage // of the rate, which counts as one slot that each call holds for callTime
}

// apply applies what an answer says of the limit. burst is the mean service time of the calls.
func (r *callRate) apply(now time.Time, e CallLimit, burst time.Duration) {
	switch {
	case e.PerSecond >= 0:
		r.set(now, e.PerSecond, burst)
	case !r.limited:
		return
	case e.NewInstance:
		*r = callRate{}
		return
	case r.unnamedSince.IsZero():
		r.unnamedSince = now
	case now.Sub(r.unnamedSince) >= limitLinger:
		*r = callRate{}
		return
	}
	r.answeredAt = now
}

func (r *callRate) set(now time.Time, perSecond float64, burst time.Duration) {
	if !r.limited {
		*r = callRate{limited: true, updated: now}
	}
	r.refill(now, burst)
	r.perSecond, r.unnamedSince = perSecond, time.Time{}
	r.refill(now, burst) // no more tokens than fit under the new limit
}

// refill adds the tokens of the time since the last refill. A backend server that runs calls at the
// limit has as many in progress as fit in burst, its mean service time, so that as many may start
// at once after a pause.
func (r *callRate) refill(now time.Time, burst time.Duration) {
	capacity := max(1, r.perSecond*min(burst, maxRateBurst).Seconds())
	r.tokens = min(capacity, r.tokens+r.perSecond*max(0, now.Sub(r.updated)).Seconds())
	r.updated = now
}

// take takes the token of a call that is admitted.
func (r *callRate) take(now time.Time, priority uint8, late bool, burst time.Duration) {
	if !r.limited {
		return
	}
	r.refill(now, burst)
	r.tokens--
	r.usage.add(now, priority, late, r.callTime())
}

// callTime returns the time between two calls at the limit.
func (r *callRate) callTime() time.Duration { return rateTime(1, r.perSecond) }

// wait returns how long a call waits for its token if n calls precede it.
func (r *callRate) wait(now time.Time, n int) time.Duration {
	if !r.limited {
		return 0
	}
	elapsed := max(0, now.Sub(r.updated)).Seconds()
	return rateTime(float64(n+1)-r.tokens-r.perSecond*elapsed, r.perSecond)
}

// expectedWait returns wait, and the time for the calls that arrive later but precede a call of the
// given priority.
func (r *callRate) expectedWait(now time.Time, priority uint8, late bool, n int) time.Duration {
	if !r.limited {
		return 0
	}
	d := float64(r.wait(now, n)) / (1 - r.usage.precedingShare(now, priority, late, 1))
	return time.Duration(min(d, float64(maxRateWait)))
}

// available reports whether a call may be admitted now.
func (r *callRate) available(now time.Time) bool { return r.wait(now, 0) <= 0 }

// free returns the number of calls that may be admitted now. It applies only while the rate is limited.
func (r *callRate) free(now time.Time) int {
	return int(min(math.MaxInt16, r.tokens+r.perSecond*max(0, now.Sub(r.updated)).Seconds()))
}

// needsCheck reports whether no answer has confirmed the limit for limitCheckAge, as when calls are
// rare or the limit is 0.
func (r *callRate) needsCheck(now time.Time) bool {
	return r.limited && now.Sub(r.answeredAt) >= limitCheckAge
}

// rateTime returns the time in which calls calls start at the given rate, between 0 and maxRateWait.
func rateTime(calls, perSecond float64) time.Duration {
	if calls <= 0 {
		return 0
	}
	if calls >= perSecond*maxRateWait.Seconds() {
		return maxRateWait
	}
	return max(1, time.Duration(calls/perSecond*float64(time.Second)))
}
