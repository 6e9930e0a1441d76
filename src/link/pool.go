package link

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Pool holds the links between this daemon and the others.
type Pool struct {
	Self     uint64         // this member's ID
	Listener net.Listener   // where other daemons dial in
	Calls    CallHandler    // nil refuses every call
	Messages MessageHandler // nil refuses every message
	Keys     *Keys          // nil: no TLS
	Insecure bool           // without keys, allows addresses other than loopback
	Grace    time.Duration  // time that calls in flight get to end once Run's context is over
	Log      logr.Logger
	Metrics  *metrics.Set
}

// Run accepts links until ctx is over, then lets the calls in flight end within Grace.
func (p *Pool) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Kill closes every link at once.
func (p *Pool) Kill() {}

// Call sends a request and waits for the head of its answer; body is nil when there is none.
func (p *Pool) Call(_ context.Context, _ Peer, _ wire.CallHead, _ io.Reader) Outcome {
	return Refused{Refusal: wire.Refusal{Reason: wire.ReasonNotReady}}
}

// Exchange sends a payload of a kind; an error is of kind problem.Unavailable, problem.Busy or problem.Protocol.
func (p *Pool) Exchange(_ context.Context, _ Peer, _ MessageKind, _ []byte) ([]byte, error) {
	return nil, errors.New("not joined yet")
}
