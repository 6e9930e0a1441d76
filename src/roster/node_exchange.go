package roster

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	exchangeTimeout       = 3 * time.Second
	maxFullPagesPerSecond = 16 // pages of full copies that a member serves per second
)

// exchangeRequest is a peer's request for an exchange and the channel for its reply.
type exchangeRequest struct {
	request wire.RosterRequest
	reply   chan wire.RosterReply
}

// ServeMessage answers a roster exchange of kind link.KindRosterDigest. An error is ctx.Err(), or of kind
// problem.Protocol, problem.Busy or problem.Unavailable.
func (n *Node) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	n.once.Do(n.init)
	req := exchangeRequest{reply: make(chan wire.RosterReply, 1)}
	if kind != link.KindRosterDigest {
		return nil, problem.New(problem.Protocol, from.Addr.String(), "not a roster exchange", "check the versions of both daemons")
	}
	if _, err := req.request.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, from.Addr.String(), "malformed roster exchange", "check the versions of both daemons")
	}
	if req.request.Full && !n.fullCopies.allow(n.Now()) {
		return nil, problem.New(problem.Busy, n.Self.Addr.String(), "serves too many copies of the roster", "ask another member")
	}
	select {
	case n.requests <- req:
	case <-n.stopped:
		return nil, stoppedError(n)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-req.reply:
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

// stepRequest steps the core with a peer's request and sends the reply to its channel.
func (n *Node) stepRequest(req exchangeRequest) {
	for _, x := range n.stepAndRecord(Asked{Request: req.request}) {
		if r, ok := x.(Answer); ok {
			req.reply <- r.Reply
			continue
		}
		n.execute(x)
	}
}

// queueExchange queues an exchange for runExchanges; it is dropped while another one waits.
func (n *Node) queueExchange(x Exchange) {
	select {
	case n.exchanges <- x:
	default:
		n.Log.Info("roster exchange dropped", "peer", x.Peer.ID, "reason", "another exchange is queued")
	}
}

// runExchanges carries out queued exchanges, one at a time, until ctx is done.
func (n *Node) runExchanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-n.exchanges:
			n.postResult(ctx, n.runExchange(ctx, x))
		}
	}
}

// runExchange sends a request to its peer and returns the result.
func (n *Node) runExchange(ctx context.Context, x Exchange) Exchanged {
	out := Exchanged{Peer: x.Peer.ID, Request: x.Request, Failed: true}
	n.counters.exchanges.Inc()
	err := n.callPeer(ctx, x, &out.Reply)
	if err != nil {
		n.counters.failedExchanges.Inc()
		n.Log.V(1).Info("roster exchange failed", "peer", x.Peer.ID, "reason", err.Error())
		return out
	}
	out.Failed = false
	return out
}

// callPeer sends a request to its peer and decodes the reply into r.
func (n *Node) callPeer(ctx context.Context, x Exchange, r *wire.RosterReply) error {
	if n.Exchanger == nil {
		return problem.New(problem.Unavailable, x.Peer.Addr.String(), "no exchanger configured", "set Node.Exchanger")
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

// postResult queues a result of the store or of an exchange for the core.
func (n *Node) postResult(ctx context.Context, e Event) {
	select {
	case n.results <- e:
	case <-ctx.Done():
	}
}
