package booking

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	probeInterval         = 500 * time.Millisecond
	probeTimeout          = time.Second
	maxRefusedConnections = 2               // consecutive refused connections after which a backend server is down despite its heartbeats
	maxFailures           = 5               // consecutive failed calls after which a backend server is down, whatever its health endpoint reports
	answerPrecedence      = 2 * time.Second // for this long after an answered call, with no failed call since, a failed probe does not take the backend server down
	downRetryDelay        = 1 * time.Second // time after which a backend server taken down by failed calls is tried again
	maxHealthBody         = 4 << 10         // bytes
)

// healthTracker combines the reported health with the outcome of calls.
type healthTracker struct {
	state              HealthState
	failedCalls        int       // consecutive failed calls
	refusedConnections int       // consecutive refused connections
	lastAnswer         time.Time // time of the last answered call
	downSince          time.Time // time at which failed calls took it down, zero if they have not
}

// evaluate returns the state of the backend server given the reported state.
func (h *healthTracker) evaluate(now time.Time, probe HealthState) HealthState {
	if probe == HealthDraining {
		return probe
	}
	if h.failedCalls >= maxFailures {
		if now.Sub(h.downSince) < downRetryDelay {
			return HealthDown
		}
		h.failedCalls = maxFailures - 1 // a single further failure takes it down again
	}
	if probe == HealthDown && now.Sub(h.lastAnswer) < answerPrecedence && h.failedCalls == 0 {
		return HealthUp
	}
	return probe
}

// Run probes the backend server and closes expired connections until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer s.pool.close()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		s.probe(ctx)
		s.pool.closeExpired()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Healthy reports whether the backend server accepts calls, judged by its reported health and by the outcome of calls.
func (s *Server) Healthy() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.state == HealthUp
}

// probe updates the health from the health endpoint, or re-evaluates the state from the last heartbeat.
func (s *Server) probe(ctx context.Context) {
	if !s.UsesHeartbeats {
		s.lastProbe = s.queryHealth(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHealthLocked(s.health.evaluate(s.Now(), s.lastProbe))
}

// setHealthLocked passes the state to the core if it has changed. The caller holds s.mu.
func (s *Server) setHealthLocked(state HealthState) {
	if state == s.health.state {
		return
	}
	s.Log.Info("backend server health changed", "reason", "probe and calls", "was", s.health.state.String(), "is", state.String())
	s.health.state = state
	s.stepLocked(Health{State: state})
}

// recordCall updates the health of the backend server after a call that was answered or failed.
func (s *Server) recordCall(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.health.failedCalls, s.health.refusedConnections, s.health.lastAnswer = 0, 0, s.Now()
		return
	}
	if s.UsesHeartbeats {
		return // its heartbeats still report that it accepts calls; the daemons that select a server judge it by the outcome of calls
	}
	s.recordFailureLocked()
}

// recordRefusedConnection updates the health of the backend server after it refused a connection.
func (s *Server) recordRefusedConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.refusedConnections++
	if s.UsesHeartbeats && s.health.refusedConnections >= maxRefusedConnections {
		s.health.failedCalls = maxFailures - 1
	}
	s.recordFailureLocked()
}

// recordFailureLocked counts a failed call. The caller holds s.mu.
func (s *Server) recordFailureLocked() {
	s.health.failedCalls++
	if s.health.failedCalls == maxFailures {
		s.health.downSince = s.Now()
		s.setHealthLocked(HealthDown)
	}
}

// queryHealth queries the health endpoint over the most recently used connection. The answer verifies the connection for a call that must not run twice, such as a payment. If a reused connection fails, another one is tried.
func (s *Server) queryHealth(ctx context.Context) HealthState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		c, err := s.pool.get(ctx, false)
		if errors.Is(err, errPoolExhausted) {
			return s.lastProbe // all connections carry calls, whose outcome shows the health
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

// queryHealthOn queries the health endpoint over c. It returns the state, the incarnation named in the answer, and whether there was an answer.
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
	return parseHealth(resp), instance, true
}

func requestHealth(c *conn, b settings.Backend, resp *fasthttp.Response) error {
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
	return resp.ReadLimitBody(c.r, maxHealthBody)
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

// CheckHealth queries the health endpoint once and returns the state and the incarnation named in the answer, empty if it names none.
func (s *Server) CheckHealth(ctx context.Context) (HealthState, string) {
	s.init()
	c, err := s.pool.get(ctx, false)
	if err != nil {
		return HealthDown, ""
	}
	state, instance, _ := s.queryHealthOn(ctx, c)
	return state, instance
}
