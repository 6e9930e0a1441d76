package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	ejectionFailures   = 3                      // consecutive failures at which a server is ejected
	minUnreachableTime = 500 * time.Millisecond // time for which a server counts as unreachable after a failed connection; doubles with each further one
	maxUnreachableTime = 5 * time.Second
	lateFactor         = 2                      // multiple of the service's median latency beyond which an attempt is late
	outlierErrorRate   = 0.5                    // error rate from which on a server is an outlier
	maxMedianErrorRate = 0.25                   // median error rate from which on the whole service counts as failing, so that no server is ejected for its error rate
	gateClosedTime     = 250 * time.Millisecond // time for which a new server counts as unreachable after its gate has refused a call; it asks for a permit every 200 ms
	notReadyEjection   = 500 * time.Millisecond // ejection time of a server that refuses calls as not ready
)

// observeFailure updates a server after an attempt that was refused, timed out or was truncated, and ejects it if it is an outlier.
//
// Refusals for lack of capacity (queue full, limit, deadline), those of requests that are set
// aside, and cancellations do not count as failures. Shed calls do, but lead to an ejection for
// consecutive failures only if the server reports free slots; otherwise it is overloaded rather
// than an outlier.
func (c *Core) observeFailure(now time.Time, srv *server, reason wire.RefusalReason, load Load) {
	svc := c.services[srv.Service]
	reportsFree := load.Slots > 0 && load.Free > 0
	switch reason {
	case wire.ReasonVersion:
		if srv.isNew {
			srv.unreachableUntil = now.Add(gateClosedTime) // not an ejection, of which only a share of the servers is allowed
		}
		return
	case wire.ReasonNotReady:
		c.ejectFor(now, svc, srv, "not_ready", notReadyEjection)
		return
	case wire.ReasonQueueFull, wire.ReasonLimit, wire.ReasonDeadline, wire.ReasonCancelled, wire.ReasonQuarantined:
		return
	}
	srv.recordFailure(now)
	switch {
	case reason == wire.ReasonConnect:
		srv.recordConnectFailure(now)
	case srv.consecutiveFailures >= ejectionFailures && (reason != wire.ReasonShed || reportsFree):
		c.eject(now, svc, srv, "failures")
	default:
		c.checkErrorRate(now, svc, srv)
	}
}

// observeAnswer records an answer and ejects the server if it is an outlier.
func (c *Core) observeAnswer(now time.Time, srv *server, status int, latency time.Duration) {
	svc := c.services[srv.Service]
	if status >= 500 {
		srv.recordFailure(now)
		c.checkErrorRate(now, svc, srv)
		return
	}
	latency = srv.atUsualSpeed(now, latency)
	srv.recordSuccess(now, latency)
	if svc == nil || srv.samples < minOutlierSamples {
		return
	}
	svc.updateMedians(now)
	median := svc.mediansOf(srv).latency
	limit := max(time.Duration(c.Settings.LatencyFactor*float64(median)), median+minLatencyExcess)
	if srv.meanLatency() > limit && latency > limit {
		c.eject(now, svc, srv, "latency")
	}
}

// observeUnanswered records an attempt that was cancelled without an answer; it counts as a failure if it had waited much longer than usual.
func (c *Core) observeUnanswered(now time.Time, srv *server, waited time.Duration) {
	svc := c.services[srv.Service]
	if svc == nil {
		return
	}
	if median := svc.mediansOf(srv).latency; median == 0 || waited <= lateFactor*median+latencySlack {
		return
	}
	srv.recordFailure(now)
	if srv.consecutiveFailures >= ejectionFailures {
		c.eject(now, svc, srv, "late")
	}
}

// checkErrorRate ejects a server with a high error rate, unless the service's median error rate is high too.
func (c *Core) checkErrorRate(now time.Time, svc *service, srv *server) {
	if svc == nil || srv.samples < minOutlierSamples || srv.errorRate < outlierErrorRate {
		return
	}
	svc.updateMedians(now)
	if svc.mediansOf(srv).errorRate < maxMedianErrorRate {
		c.eject(now, svc, srv, "errors")
	}
}

// eject ejects a server, for twice as long each time it happens again, up to MaxEjectionTime.
func (c *Core) eject(now time.Time, svc *service, srv *server, reason string) {
	if srv.isEjected(now) {
		return
	}
	if now.Sub(srv.ejectedUntil) > 2*c.Settings.MaxEjectionTime {
		srv.ejectionCount = 0
	}
	duration := min(c.Settings.EjectionTime<<min(srv.ejectionCount, 10), c.Settings.MaxEjectionTime)
	if c.ejectFor(now, svc, srv, reason, duration) {
		srv.ejectionCount++
	}
}

// ejectFor ejects a server for a duration; it reports false if the server is ejected already or too many others are.
func (c *Core) ejectFor(now time.Time, svc *service, srv *server, reason string, duration time.Duration) bool {
	if svc == nil || srv.isEjected(now) || !svc.mayEject(now, srv, c.Settings.MaxEjectedShare) {
		return false
	}
	srv.ejectedUntil, srv.ejectionReason, srv.returnedAt = now.Add(duration), reason, now.Add(duration)
	srv.consecutiveFailures = min(srv.consecutiveFailures, ejectionFailures-1)
	return true
}
