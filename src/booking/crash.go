package booking

import (
	"errors"
	"io"
	"maps"
	"slices"
	"syscall"
	"time"
)

const (
	crashCheckTimeout = 50 * time.Millisecond // for the backend server, which is on the same VM, to accept or refuse a connection
	cutMemory         = 5 * time.Second       // within which an instance whose connections were closed is replaced if that was a crash
	maxCuts           = 64
	maxLoggedRuns     = 32 // requests that are logged of those that ran when the backend server crashed
)

// beginRun records that the request of x is about to be sent, so that the backend server may run it
// until endRun.
func (s *Server) beginRun(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[x] = struct{}{}
	x.load = float64(len(s.runs)) / float64(max(1, s.core.Slots))
}

// endRun records that the backend server no longer runs the request of x.
func (s *Server) endRun(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, x)
}

// crashTracker tells the crash of an instance of the backend server from a connection that was
// closed alone.
type crashTracker struct {
	left    string       // instance that has said that it is leaving
	crashed string       // last instance whose crash is recorded
	cuts    []cutRequest // the last ones, at most maxCuts
}

// detectCrash reports whether an exchange failed with err because the backend server has crashed: it
// closed the connection without having said that it is leaving, and refuses new ones or has been
// replaced by another instance. All requests that it ran at that moment belong to one crash, which
// the first of them records.
func (s *Server) detectCrash(x *exchange, err error) bool {
	if !isClosedByPeer(err) {
		return false
	}
	s.mu.Lock()
	x.cutAt = s.Now()
	known, leaving := x.crashed, s.crashes.left == x.instance && x.instance != "" || s.core.isDraining(s.Now())
	s.mu.Unlock()
	if known || leaving {
		return known
	}
	refused := s.pool.isRefused(crashCheckTimeout)
	isFull := !refused && s.isFullReset(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.crashed:
	case refused, x.instance != "" && s.instance != "" && s.instance != x.instance:
		s.recordCrashLocked(x.instance, nil)
	case isFull:
		x.full = true
	default:
		s.crashes.cuts = append(s.crashes.cuts, newCutRequest(x))
		s.crashes.cuts = s.crashes.cuts[max(0, len(s.crashes.cuts)-maxCuts):]
	}
	return x.crashed
}

// forgetCuts forgets the connections that the backend server closed before it answered x on another
// one that was open then: it has not crashed by that.
func (s *Server) forgetCuts(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.crashes.cuts = slices.DeleteFunc(s.crashes.cuts, func(c cutRequest) bool {
		return c.instance == x.instance && x.conn.opened.Before(c.cutAt) && now.Sub(c.cutAt) > crashCloseTime
	})
}

// replaceInstanceLocked records that an instance has been replaced. If it had not said that it is
// leaving, it has crashed: it was back before a refused connection could show that, or this VM was
// suspended. s.mu must be held.
func (s *Server) replaceInstanceLocked(old string) {
	cuts := s.crashes.cuts
	s.crashes.cuts = nil
	if old == "" || old == s.crashes.left || old == s.crashes.crashed {
		return
	}
	now := s.Now()
	cuts = slices.DeleteFunc(cuts, func(c cutRequest) bool { return c.instance != old || now.Sub(c.cutAt) >= cutMemory })
	if len(cuts) > 0 || len(s.runs) > 0 {
		s.recordCrashLocked(old, cuts)
	}
}

// recordCrashLocked counts a crash of the backend server, logs the requests that it ran and those
// that it cut before, and makes them suspects. s.mu must be held.
func (s *Server) recordCrashLocked(instance string, cuts []cutRequest) {
	requests := append(cuts, s.takeRunsLocked(instance)...)
	s.counters.crashes.Inc()
	s.crashes.crashed = instance
	if instance == "" {
		instance = s.Backend.Addr.String() // without heartbeats, instances have no names
	}
	var ids, targets []string
	contents := map[uint64]bool{}
	for _, r := range requests {
		if r.content != 0 {
			contents[r.content] = true
		}
		if len(ids) < maxLoggedRuns {
			ids, targets = append(ids, r.id), append(targets, r.target)
		}
	}
	s.Log.Info("backend server crashed", "reason", "connections closed, new ones refused or another instance", "instance", instance, "running", len(requests), "request_ids", ids, "requests", targets)
	s.Quarantine.Crashed(instance, slices.Collect(maps.Keys(contents)))
}

// takeRunsLocked returns the requests that an instance runs, and marks them as crashed. s.mu must be
// held.
func (s *Server) takeRunsLocked(instance string) []cutRequest {
	var out []cutRequest
	for x := range s.runs {
		if x.crashed || x.instance != instance {
			continue // in an earlier crash, or at the next instance
		}
		x.crashed = true
		out = append(out, newCutRequest(x))
	}
	return out
}

// isClosedByPeer reports whether an error of a connection means that the peer has closed or reset it.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
