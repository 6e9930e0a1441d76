package roster

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	exchangeTimeout = 3 * time.Second
	copiesPerSecond = 16 // pages of a full copy that a member serves
)

// ask is an exchange that a peer has begun, with the place for its answer.
type ask struct {
	request wire.RosterRequest
	answer  chan wire.RosterReply
}

// ServeMessage answers a roster exchange of kind link.KindRosterDigest; an error is of kind problem.Protocol, problem.Busy or problem.Unavailable.
func (n *Node) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	n.once.Do(n.init)
	a := ask{answer: make(chan wire.RosterReply, 1)}
	if kind != link.KindRosterDigest {
		return nil, problem.New(problem.Protocol, from.Addr.String(), "not a roster exchange", "check the versions of both daemons")
	}
	if _, err := a.request.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, from.Addr.String(), "malformed roster exchange", "check the versions of both daemons")
	}
	if a.request.Full && !n.full.take(n.Now()) {
		return nil, problem.New(problem.Busy, n.Self.Addr.String(), "serves too many copies of the roster", "ask another member")
	}
	select {
	case n.asks <- a:
	case <-n.stopped:
		return nil, stoppedError(n)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-a.answer:
		return r.MarshalMsg(nil)
	case <-n.stopped:
		return nil, stoppedError(n)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func stoppedError(n *Node) error {
	return problem.New(problem.Unavailable, n.Self.Addr.String(), "the daemon stops", "ask another member")
}

// stepAsk steps the core with a peer's exchange and hands back its answer.
func (n *Node) stepAsk(a ask) {
	for _, x := range n.decide(Asked{Request: a.request}) {
		if r, ok := x.(Answer); ok {
			a.answer <- r.Reply
			continue
		}
		n.act(x)
	}
}

// exchange hands an exchange to its worker.
func (n *Node) exchange(x Exchange) {
	select {
	case n.toPeer <- x:
	default:
		n.Log.Info("roster exchange dropped", "peer", x.Peer.ID, "reason", "another is under way")
	}
}

func (n *Node) serveExchanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-n.toPeer:
			n.post(ctx, n.carry(ctx, x))
		}
	}
}

// carry sends an exchange to its peer and reads the answer.
func (n *Node) carry(ctx context.Context, x Exchange) Exchanged {
	out := Exchanged{Peer: x.Peer.ID, Request: x.Request, Failed: true}
	n.counters.exchanges.Inc()
	err := n.carryInto(ctx, x, &out.Reply)
	if err != nil {
		n.counters.failed.Inc()
		n.Log.V(1).Info("roster exchange failed", "peer", x.Peer.ID, "reason", err.Error())
		return out
	}
	out.Failed = false
	return out
}

func (n *Node) carryInto(ctx context.Context, x Exchange, r *wire.RosterReply) error {
	if n.Exchanger == nil {
		return problem.New(problem.Unavailable, x.Peer.Addr.String(), "no link for exchanges", "set Exchanger")
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	b, err := x.Request.MarshalMsg(nil)
	if err != nil {
		return err
	}
	b, err = n.Exchanger.Exchange(ctx, x.Peer, link.KindRosterDigest, b)
	if err != nil {
		return err
	}
	_, err = r.UnmarshalMsg(b)
	return err
}

// post hands a result to the core.
func (n *Node) post(ctx context.Context, e Event) {
	select {
	case n.results <- e:
	case <-ctx.Done():
	}
}
