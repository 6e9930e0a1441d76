package fleetmodel

import "time"

// request is one request of a caller, or one inner call of a run.
type request struct {
	route     *route
	content   uint64
	counted   bool // in the results
	started   time.Time
	deadline  time.Time
	objective time.Time // of the caller, from its first attempt
	queued    bool      // an attempt has waited in a queue
	repeated  bool      // its caller has come back once
	done      func(ok bool)
}

// answered records the answer of a request; ok is false for an error.
func (q *request) answered(now time.Time, ok bool) {
	if q.done != nil {
		q.done(ok)
	}
	if !q.counted {
		return
	}
	r := &q.route.result
	switch {
	case !ok:
		r.Failed++
	case now.After(q.objective):
		r.Late++
	default:
		r.InTime++
	}
}

// refused records that a request was refused for good.
func (q *request) refused(now time.Time) {
	if q.done != nil {
		q.done(false)
	}
	if !q.counted {
		return
	}
	q.route.result.Refused++
	if q.queued {
		q.route.result.Waited++
	}
	if now.Sub(q.started) > q.deadline.Sub(q.started)/2 {
		q.route.result.Held++
	}
}
