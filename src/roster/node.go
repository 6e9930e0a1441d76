package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Node is one daemon's part in the roster; its fields are set before Run.
type Node struct {
	Self      wire.Member                          // ID drawn at random by the daemon at each start
	Conn      net.PacketConn                       // UDP, at the address of the TCP control listener
	Exchanger link.Exchanger                       // carries roster exchanges; nil for none
	Store     platform.Store                       // holds the seed records; nil for none
	Peers     []netip.AddrPort                     // control addresses to join when the store gives none
	Version   func() uint64                        // configuration version in force here; nil for 0
	OnAhead   func(from link.Peer, version uint64) // a member showed a higher version; must not block
	OnView    func(*View)                          // the view changed; must not block
	Now       func() time.Time                     // nil for time.Now
	Rand      *rand.Rand                           // nil for one seeded by the ID
	Log       logr.Logger
	Metrics   *metrics.Set    // nil for an own set
	Record    *trace.Recorder // nil for none
	Profile   settings.Profile

	view atomic.Pointer[View]
}

// Run takes part in the roster until ctx is over and every goroutine has ended.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// View returns the latest view, never nil.
func (n *Node) View() *View {
	if v := n.view.Load(); v != nil {
		return v
	}
	return NewView(0, []wire.Member{n.Self})
}

// SetReady tells the others whether this member takes requests.
func (n *Node) SetReady(ready bool) { _ = ready }

// Leave announces at once that this member takes no new requests.
func (n *Node) Leave(ctx context.Context) { _ = ctx }

// Member returns this daemon's own entry.
func (n *Node) Member() wire.Member { return n.Self }

// Lost returns the members that died without leaving and were not replaced.
func (n *Node) Lost() []wire.Member { return nil }

// ServeMessage answers a roster exchange of kind link.KindRosterDigest.
func (n *Node) ServeMessage(_ context.Context, _ link.Peer, _ link.MessageKind, _ []byte) ([]byte, error) {
	return nil, nil
}
