package booking

import (
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
)

const (
	noLimit      = -1 // stands for no limit where a limit is expected
	leavingValue = "1"
)

// notice is what the backend server says of itself in the head of an answer.
type notice struct {
	limit   float64 // requests a second that it takes from all VMs together, noLimit if it names none
	leaving bool
}

// readNotice reads the notice of an answer. An unreadable limit is returned as invalid; the notice
// then names none.
func readNotice(n header.Names, h *fasthttp.ResponseHeader) (out notice, invalid string) {
	out.limit = noLimit
	if n.Leaving != "" {
		out.leaving = string(h.Peek(n.Leaving)) == leavingValue
	}
	if n.Limit == "" {
		return out, ""
	}
	value := string(h.Peek(n.Limit))
	if value == "" {
		return out, ""
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return out, value
	}
	out.limit = limit
	return out, ""
}

// noticeTracker holds the last notice of an instance of the backend server.
type noticeTracker struct {
	instance string
	last     notice
	known    bool   // the instance has answered
	invalid  string // unreadable limit that was logged last
}

// update records a notice. It returns the one before, of the same instance, and whether they differ.
func (t *noticeTracker) update(instance string, n notice) (before notice, changed bool) {
	if t.instance != instance || !t.known {
		*t = noticeTracker{instance: instance, last: notice{limit: noLimit}, known: true, invalid: t.invalid}
	}
	before = t.last
	t.last = n
	return before, before != n
}

// recordNotice records what an instance of the backend server says of itself in the head of an
// answer, and returns it. An answer with an unreadable limit changes nothing, nor does one of an
// instance that has been replaced.
func (s *Server) recordNotice(instance string, h *fasthttp.ResponseHeader) notice {
	n, invalid := readNotice(s.Headers, h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != "" && instance != s.instance {
		return n
	}
	s.recordSpeedLocked(h)
	if invalid != "" {
		s.logInvalidLimit(instance, invalid)
		n.limit = s.notices.last.limit
	} else if n.limit != noLimit || s.core.rate.limited {
		s.stepLocked(CallLimit{PerSecond: n.limit})
	}
	before, changed := s.notices.update(instance, n)
	if !changed {
		return n
	}
	s.counters.namedLimit.Set(n.limit)
	s.counters.leaving.Set(0)
	if n.leaving {
		s.counters.leaving.Set(1)
	}
	s.Log.Info("backend server changed what its answers say", "instance", instance, "limit_per_s", n.limit, "before", before.limit, "leaving", n.leaving)
	if n.leaving && !before.leaving && s.OnLeaving != nil {
		go s.OnLeaving(instance)
	}
	return n
}

// logInvalidLimit logs an unreadable limit once. s.mu must be held.
func (s *Server) logInvalidLimit(instance, value string) {
	if value == s.notices.invalid {
		return
	}
	s.notices.invalid = value
	s.Log.Info("limit of the backend server ignored", "reason", "not a decimal number of requests a second", "instance", instance, "value", value)
}
