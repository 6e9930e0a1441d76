package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxConsecutive = 3                      // failures in a row
	unreachableMin = 500 * time.Millisecond // until a server that refused a connection is tried again
	unreachableMax = 5 * time.Second
	lateFactor     = 2   // times the service's median latency
	maxErrorRate   = 0.5 // share of failures
	calmErrorRate  = 0.25
	notReadyTime   = 500 * time.Millisecond
)

// observeFailure takes in a refusal or a timeout and sets the server aside when it is an outlier.
//
// A server that sheds calls is overloaded, unless it claims free slots.
func (c *Core) observeFailure(now time.Time, s *server, reason wire.RefusalReason, l Load) {
	svc := c.services[s.Service]
	claimsFree := l.Slots > 0 && l.Free > 0
	switch reason {
	case wire.ReasonLeaving, wire.ReasonWrongMember:
		c.markGone(now, svc, s)
		return
	case wire.ReasonNotReady:
		c.putAside(now, svc, s, "not_ready", notReadyTime)
		return
	case wire.ReasonQueueFull, wire.ReasonLimit, wire.ReasonDeadline, wire.ReasonCancelled:
		return
	}
	s.failed(now)
	switch {
	case reason == wire.ReasonConnect:
		s.unreachable(now)
	case s.consecutive >= maxConsecutive && (reason != wire.ReasonShed || claimsFree):
		c.setAside(now, svc, s, "failures")
	default:
		c.checkErrors(now, svc, s)
	}
}

// markGone keeps calls away from a server that is leaving or replaced until a table shows it.
func (c *Core) markGone(now time.Time, svc *service, s *server) {
	s.gone = true
	if svc != nil {
		svc.limitAside(now, c.Settings.MaxEjectedShare)
	}
}

// observeAnswer takes in an answer and sets the server aside when it is an outlier.
func (c *Core) observeAnswer(now time.Time, s *server, status int, took time.Duration) {
	svc := c.services[s.Service]
	if status >= 500 {
		s.failed(now)
		c.checkErrors(now, svc, s)
		return
	}
	s.succeeded(now, took)
	if svc == nil || s.samples < minSamples {
		return
	}
	svc.updateMedians(now)
	median := svc.medianLatency
	limit := max(time.Duration(c.Settings.LatencyFactor*float64(median)), median+latencyFloor)
	if s.latency() > limit && took > limit {
		c.setAside(now, svc, s, "latency")
	}
}

// observeLate takes in an attempt that was given up unanswered; when the usual time was long over it is a failure.
func (c *Core) observeLate(now time.Time, s *server, waited time.Duration) {
	svc := c.services[s.Service]
	if svc == nil || svc.medianLatency == 0 || waited <= lateFactor*svc.medianLatency+latencySlack {
		return
	}
	s.failed(now)
	if s.consecutive >= maxConsecutive {
		c.setAside(now, svc, s, "late")
	}
}

func (c *Core) checkErrors(now time.Time, svc *service, s *server) {
	if svc == nil || s.samples < minSamples || s.errorRate < maxErrorRate {
		return
	}
	svc.updateMedians(now)
	if svc.medianErrors < calmErrorRate {
		c.setAside(now, svc, s, "errors")
	}
}

// setAside keeps calls away from a server, for longer each time it happens again.
func (c *Core) setAside(now time.Time, svc *service, s *server, why string) {
	if s.isAside(now) {
		return
	}
	if now.Sub(s.asideUntil) > 2*c.Settings.MaxEjectionTime {
		s.asideCount = 0
	}
	d := min(c.Settings.EjectionTime<<min(s.asideCount, 10), c.Settings.MaxEjectionTime)
	if c.putAside(now, svc, s, why, d) {
		s.asideCount++
	}
}

func (c *Core) putAside(now time.Time, svc *service, s *server, why string, d time.Duration) bool {
	if svc == nil || s.isAside(now) || !svc.mayPutAside(now, c.Settings.MaxEjectedShare) {
		return false
	}
	s.asideUntil, s.asideWhy, s.returned = now.Add(d), why, now.Add(d)
	s.consecutive = min(s.consecutive, maxConsecutive-1)
	return true
}
