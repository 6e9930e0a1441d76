package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// cuts records the ends of callers' requests and connections.
type cuts struct {
	cut.Recorder
	ends      cut.Ends
	requestID string        // name of the header field with a request's ID, empty for none
	endedBy   atomic.Uint32 // cut.Ender that ended all connections, 0 while none has
}

// StopBegan tells the proxy when a planned stop began, for its logs and metrics.
func (p *Proxy) StopBegan(at time.Time) {
	p.init()
	p.cuts.StopBegan(at)
}

func newCuts(p *Proxy) *cuts {
	return &cuts{
		Recorder:  cut.Recorder{Counter: "yuccaport_dispatch_requests_cut_total", Log: p.Log, Metrics: p.Metrics},
		ends:      cut.Ends{Counter: "yuccaport_dispatch_requests_ended_total", Metrics: p.Metrics},
		requestID: p.Headers.RequestID,
	}
}

// endAll records who ends all connections; the first one counts.
func (s *cuts) endAll(by cut.Ender) { s.endedBy.CompareAndSwap(0, uint32(by)) }

// ender returns who has ended all connections, or otherwise the given one.
func (s *cuts) ender(otherwise cut.Ender) cut.Ender {
	if by := cut.Ender(s.endedBy.Load()); by != 0 {
		return by
	}
	return otherwise
}

// enderOfRead returns who ended an answer whose body could not be read to its end.
func (s *cuts) enderOfRead(err error) cut.Ender {
	var lost *link.LostError
	switch {
	case errors.As(err, &lost):
		return lost.By
	case errors.Is(err, context.Canceled):
		return s.ender(cut.Caller)
	default:
		return cut.Backend
	}
}

// countClose counts a connection that was closed.
func (s *cuts) countClose(r closeReason, inFlight bool) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("yuccaport_dispatch_connections_closed_total{reason=%q,in_flight=\"%t\"}", r, inFlight)).Inc()
}

func (c *call) enderOfRefusal(r wire.RefusalReason) cut.Ender {
	switch r {
	case wire.ReasonLeaving:
		if c.attempts[1] == nil {
			return cut.ProxyDrain
		}
		select {
		case <-c.proxy.graceEnded:
			return cut.ProxyGrace
		default:
			return cut.ServerAgent
		}
	case wire.ReasonLinkLost:
		return cut.LinkLost
	case wire.ReasonCut, wire.ReasonCrashed, wire.ReasonProtocol:
		return cut.Backend
	case wire.ReasonCancelled:
		return cut.ServerAgent
	case wire.ReasonTimeout, wire.ReasonDeadline:
		return cut.Timeout
	default:
		return cut.Refusal
	}
}

// enderOfAbort returns who ended a call that is being aborted.
func (c *call) enderOfAbort() cut.Ender {
	select {
	case <-c.parent.Done: // nil without a parent
		return c.proxy.cuts.ender(cut.Parent)
	default:
		return c.proxy.cuts.ender(cut.Caller)
	}
}
