package booking

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	probeInterval           = 500 * time.Millisecond
	probeTimeout            = time.Second
	connectFailureThreshold = 2               // consecutive failed connection attempts after which a backend server is down despite its heartbeats
	failureThreshold        = 5               // consecutive failed calls after which a backend server is down, whatever its health endpoint reports
	answerPrecedence        = 2 * time.Second // for this long after an answered call, with no failure recorded since, a backend server that is reported down counts as up
	downRetryDelay          = 1 * time.Second // time after which a backend server taken down by failed calls is tried again
	maxHealthBody           = 4 << 10         // bytes
)

// healthTracker combines the reported health with the outcome of calls.
type healthTracker struct {
	state           HealthState
	failedCalls     int       // consecutive failed calls, including failed connection attempts
	connectFailures int       // consecutive failed connection attempts
	lastAnswer      time.Time // time of the last answered call
	downSince       time.Time // time at which failed calls last took it down
}

// evaluate returns the state of the backend server, given the reported state: down for downRetryDelay after failureThreshold failed calls,
// up although reported down for answerPrecedence after an answered call with no failure recorded since, otherwise as reported. A reported drain always counts.
// Once downRetryDelay has passed, it lowers failedCalls.
func (h *healthTracker) evaluate(now time.Time, reported HealthState) HealthState {
	if reported == HealthDraining {
		return reported
	}
	if h.failedCalls >= failureThreshold {
		if now.Sub(h.downSince) < downRetryDelay {
			return HealthDown
		}
		h.failedCalls = failureThreshold - 1 // a single further failure takes it down again
	}
	if reported == HealthDown && now.Sub(h.lastAnswer) < answerPrecedence && h.failedCalls == 0 {
		return HealthUp
	}
	return reported
}

// Run updates the health of the backend server and closes expired connections until ctx ends, then closes the connection pool. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer s.pool.close()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		s.updateHealth(ctx)
		s.pool.closeExpired()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Healthy reports whether the backend server accepts calls, judged by its reported health and by the outcome of calls.
// A drain started by Drain or DrainAfter does not change it.
func (s *Server) Healthy() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.state == HealthUp
}

// updateHealth updates the health from the health endpoint or, with heartbeats, from the last
// heartbeat; the health endpoint is then queried only to check an unconfirmed limit or to refresh
// the speed.
func (s *Server) updateHealth(ctx context.Context) {
	switch {
	case !s.UsesHeartbeats:
		s.reportedHealth = s.queryHealth(ctx)
	case s.needsCheck():
		checkCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		s.CheckHealth(checkCtx)
	}
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHealthLocked(s.health.evaluate(s.Now(), s.reportedHealth))
}

// needsCheck reports whether the limit that the backend server has named is unconfirmed, or the
// speed of its VM is to be refreshed.
func (s *Server) needsCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	return s.core.rate.needsCheck(now) || s.core.needsSpeedCheck(now)
}

// setHealthLocked passes the state to the core if it has changed. s.mu must be held.
func (s *Server) setHealthLocked(state HealthState) {
	if state == s.health.state {
		return
	}
	s.Log.Info("backend server health changed", "reason", "reported health and outcome of calls", "was", s.health.state.String(), "is", state.String())
	s.health.state = state
	s.stepLocked(Health{State: state})
}

// recordCallOutcome updates the health of the backend server after a call was answered or failed.
func (s *Server) recordCallOutcome(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.health.failedCalls, s.health.connectFailures, s.health.lastAnswer = 0, 0, s.Now()
		return
	}
	if s.UsesHeartbeats {
		return // its heartbeats report whether it accepts calls; the daemons that select backend servers take the outcome of calls into account
	}
	s.recordFailureLocked()
}

// recordConnectFailure updates the health of the backend server after a failed connection attempt.
func (s *Server) recordConnectFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.connectFailures++
	if s.UsesHeartbeats && s.health.connectFailures >= connectFailureThreshold {
		s.health.failedCalls = failureThreshold - 1 // the failure recorded next takes it down
	}
	s.recordFailureLocked()
}

// recordFailureLocked counts a failed call or connection attempt and takes the backend server down when failureThreshold is reached. s.mu must be held.
func (s *Server) recordFailureLocked() {
	s.health.failedCalls++
	if s.health.failedCalls == failureThreshold {
		s.health.downSince = s.Now()
		s.setHealthLocked(HealthDown)
	}
}

// queryHealth queries the health endpoint over the most recently used connection. If a reused connection fails, another one is tried.
// The probes keep one connection recent enough to carry a non-idempotent call, such as a payment.
func (s *Server) queryHealth(ctx context.Context) HealthState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		c, err := s.pool.get(ctx, false)
		if errors.Is(err, errPoolExhausted) {
			return s.reportedHealth // all connections carry calls, whose outcome shows the health
		}
		if err != nil {
			return HealthDown
		}
		isNew := c.answers == 0
		state, _, ok := s.queryHealthOn(ctx, c)
		if ok || isNew || ctx.Err() != nil {
			return state
		}
	}
}

// queryHealthOn queries the health endpoint over c. It returns the state, the instance named in the answer, and whether there was an answer.
func (s *Server) queryHealthOn(ctx context.Context, c *conn) (HealthState, string, bool) {
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(expiredDeadline) })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	s.mu.Lock()
	backend := s.Backend
	s.mu.Unlock()
	err := requestHealth(c, backend, resp)
	if stop() && err == nil && !resp.ConnectionClose() {
		s.pool.put(c)
	} else {
		s.pool.drop(c)
	}
	if err != nil {
		return HealthDown, "", false
	}
	instance := ""
	if n := s.Headers.Instance; n != "" {
		instance = string(resp.Header.Peek(n))
	}
	s.recordNotice(instance, &resp.Header)
	return parseHealth(resp), instance, true
}

func requestHealth(c *conn, b settings.Backend, resp *fasthttp.Response) error {
	c.overhead = 0
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.SetRequestURI(b.HealthPath)
	req.Header.SetHost(b.Addr.String())
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	return header.ReadAnswer(c.r, resp, maxHealthBody)
}

// parseHealth returns the state reported by an answer. A body that contains "draining" takes precedence over the status.
func parseHealth(resp *fasthttp.Response) HealthState {
	switch {
	case strings.Contains(strings.ToLower(string(resp.Body())), "draining"):
		return HealthDraining
	case resp.StatusCode() == fasthttp.StatusOK:
		return HealthUp
	}
	return HealthDown
}

// CheckHealth queries the health endpoint once and returns the state and the instance named in the answer, empty if it names none.
// Without an answer, or if all connections are in use, the state is HealthDown. The health used for admission stays unchanged.
func (s *Server) CheckHealth(ctx context.Context) (HealthState, string) {
	s.init()
	c, err := s.pool.get(ctx, false)
	if err != nil {
		return HealthDown, ""
	}
	state, instance, _ := s.queryHealthOn(ctx, c)
	return state, instance
}
