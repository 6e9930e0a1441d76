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
	probeEvery    = 500 * time.Millisecond
	probeTimeout  = time.Second
	connectsDown  = 2               // connections refused in a row after which a backend server that tells its state is down all the same
	failuresDown  = 5               // failed calls in a row after which a backend server is down whatever its health endpoint says
	trustCallsFor = 2 * time.Second // an answered call outweighs a failed probe for it
	retryDown     = 1 * time.Second // time after which a backend server that calls condemned is tried again
	maxHealthBody = 4 << 10         // bytes
)

// health joins what the health endpoint says with what became of calls.
type health struct {
	state    HealthState
	failures int       // calls failed in a row
	connects int       // connections refused in a row
	answered time.Time // of the last answered call
	down     time.Time // when failed calls took it down, zero when they did not
}

// judge returns the state after a probe.
func (h *health) judge(now time.Time, probe HealthState) HealthState {
	if probe == HealthDraining {
		return probe
	}
	if h.failures >= failuresDown {
		if now.Sub(h.down) < retryDown {
			return HealthDown
		}
		h.failures = failuresDown - 1 // one more failure takes it down again
	}
	if probe == HealthDown && now.Sub(h.answered) < trustCallsFor && h.failures == 0 {
		return HealthUp
	}
	return probe
}

// Run probes the backend server until ctx is over.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer s.conns.close()
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		s.probe(ctx)
		s.conns.sweep()
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
		s.probed = s.ask(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHealth(s.health.judge(s.Now(), s.probed))
}

// setHealth steps the core when the state has changed; s.mu is held.
func (s *Server) setHealth(state HealthState) {
	if state == s.health.state {
		return
	}
	s.Log.Info("backend server health", "reason", "probe and calls", "was", s.health.state.String(), "is", state.String())
	s.health.state = state
	s.step(Health{State: state})
}

// observe takes the end of a call into the health of the backend server.
func (s *Server) observe(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.health.failures, s.health.connects, s.health.answered = 0, 0, s.Now()
		return
	}
	if s.UsesHeartbeats {
		return // it still says that it takes calls; those who choose among servers judge by what became of them
	}
	s.failed()
}

// observeConnect takes in that the backend server has refused a connection.
func (s *Server) observeConnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.connects++
	if s.UsesHeartbeats && s.health.connects >= connectsDown {
		s.health.failures = failuresDown - 1
	}
	s.failed()
}

// failed takes in a failed call; s.mu is held.
func (s *Server) failed() {
	s.health.failures++
	if s.health.failures == failuresDown {
		s.health.down = s.Now()
		s.setHealth(HealthDown)
	}
}

// ask reads the health endpoint over the connection used last, which a payment can then rely on.
func (s *Server) ask(ctx context.Context) HealthState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		c, err := s.conns.get(ctx, false)
		if errors.Is(err, errNoConnection) {
			return s.probed // every connection carries a call: those tell
		}
		if err != nil {
			return HealthDown
		}
		fresh := c.answers == 0
		state, _, ok := s.askOn(ctx, c)
		if ok || fresh || ctx.Err() != nil {
			return state
		}
	}
}

// askOn tells the state and the incarnation that answers, and whether there was an answer.
func (s *Server) askOn(ctx context.Context, c *conn) (HealthState, string, bool) {
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(longAgo) })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	s.mu.Lock()
	backend := s.Backend
	s.mu.Unlock()
	err := askHealth(c, backend, resp)
	if stop() && err == nil && !resp.ConnectionClose() {
		s.conns.put(c)
	} else {
		s.conns.drop(c)
	}
	if err != nil {
		return HealthDown, "", false
	}
	instance := ""
	if n := s.Headers.Instance; n != "" {
		instance = string(resp.Header.Peek(n))
	}
	return healthOf(resp), instance, true
}

func askHealth(c *conn, b settings.Backend, resp *fasthttp.Response) error {
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

func healthOf(resp *fasthttp.Response) HealthState {
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
	c, err := s.conns.get(ctx, false)
	if err != nil {
		return HealthDown, ""
	}
	state, instance, _ := s.askOn(ctx, c)
	return state, instance
}
