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
	maxRefusedConnections = 2               // connections refused in a row after which a backend server that tells its state is down all the same
	maxFailures           = 5               // failed calls in a row after which a backend server is down whatever its health endpoint says
	answerPrecedence      = 2 * time.Second // an answered call outweighs a failed probe for it
	downRetryDelay        = 1 * time.Second // time after which a backend server that calls condemned is tried again
	maxHealthBody         = 4 << 10         // bytes
)

// healthTracker joins what the healthTracker endpoint says with what became of calls.
type healthTracker struct {
	state              HealthState
	failedCalls        int       // calls failed in a row
	refusedConnections int       // connections refused in a row
	lastAnswer         time.Time // of the last answered call
	downSince          time.Time // when failed calls took it down, zero when they did not
}

// evaluate returns the state after a probe.
func (h *healthTracker) evaluate(now time.Time, probe HealthState) HealthState {
	if probe == HealthDraining {
		return probe
	}
	if h.failedCalls >= maxFailures {
		if now.Sub(h.downSince) < downRetryDelay {
			return HealthDown
		}
		h.failedCalls = maxFailures - 1 // one more failure takes it down again
	}
	if probe == HealthDown && now.Sub(h.lastAnswer) < answerPrecedence && h.failedCalls == 0 {
		return HealthUp
	}
	return probe
}

// Run probes the backend server until ctx is over.
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

// Healthy tells whether the backend server takes calls, by its health endpoint and by what became of calls.
func (s *Server) Healthy() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.state == HealthUp
}

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

// setHealthLocked steps the core when the state has changed; s.mu is held.
func (s *Server) setHealthLocked(state HealthState) {
	if state == s.health.state {
		return
	}
	s.Log.Info("backend server health", "reason", "probe and calls", "was", s.health.state.String(), "is", state.String())
	s.health.state = state
	s.stepLocked(Health{State: state})
}

// recordCall takes the end of a call into the health of the backend server.
func (s *Server) recordCall(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.health.failedCalls, s.health.refusedConnections, s.health.lastAnswer = 0, 0, s.Now()
		return
	}
	if s.UsesHeartbeats {
		return // it still says that it takes calls; those who choose among servers judge by what became of them
	}
	s.recordFailureLocked()
}

// recordRefusedConnection takes in that the backend server has refused a connection.
func (s *Server) recordRefusedConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.refusedConnections++
	if s.UsesHeartbeats && s.health.refusedConnections >= maxRefusedConnections {
		s.health.failedCalls = maxFailures - 1
	}
	s.recordFailureLocked()
}

// recordFailureLocked takes in a recordFailureLocked call; s.mu is held.
func (s *Server) recordFailureLocked() {
	s.health.failedCalls++
	if s.health.failedCalls == maxFailures {
		s.health.downSince = s.Now()
		s.setHealthLocked(HealthDown)
	}
}

// queryHealth reads the health endpoint over the connection used last, which a payment can then rely on.
func (s *Server) queryHealth(ctx context.Context) HealthState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		c, err := s.pool.get(ctx, false)
		if errors.Is(err, errPoolExhausted) {
			return s.lastProbe // every connection carries a call: those tell
		}
		if err != nil {
			return HealthDown
		}
		fresh := c.answers == 0
		state, _, ok := s.queryHealthOn(ctx, c)
		if ok || fresh || ctx.Err() != nil {
			return state
		}
	}
}

// queryHealthOn tells the state and the incarnation that answers, and whether there was an answer.
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
