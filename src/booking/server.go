package booking

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// ParentHeader names the request header that joins a backend server's own calls to the call it is running.
const ParentHeader = "Yuccaport-Parent"

// Server runs the calls that arrive on the backend server beside this daemon.
type Server struct {
	Backend  settings.Backend
	Service  string
	Self     uint64                    // this member's ID
	Document func() *document.Document // own service's document in force, nil before there is one
	Now      func() time.Time          // nil: time.Now
	Log      logr.Logger
	Metrics  *metrics.Set
	Record   *trace.Recorder
}

// Run probes the backend server until ctx is over.
func (s *Server) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// ServeCall admits a call and runs it on the backend server.
func (s *Server) ServeCall(_ context.Context, in link.Inbound) {
	in.Refuse(wire.Refusal{Reason: wire.ReasonNotReady})
}

// Drain refuses new calls as not run from now on.
func (s *Server) Drain() {}

// Load returns the free capacity of the backend server.
func (s *Server) Load() wire.Load { return wire.Load{} }

// Healthy tells whether the backend server answers.
func (s *Server) Healthy() bool { return false }

// InFlight returns the number of calls that the backend server is running.
func (s *Server) InFlight() int { return 0 }

// Parent returns the call in flight that a token was handed out for.
func (s *Server) Parent(_ string) (Parent, bool) { return Parent{}, false }
