package link

import "github.com/yuccaport/yuccaport/src/wire"

// A peer that is silent may be dead, or late: it is short of processor time, or frozen. Its backend
// server runs the calls of this link all the same, so that they go on as doubted until their own
// timeouts, and only what can be done elsewhere at no risk is not left to it.

// onSilence handles the silence of the peer on a link in use: new calls get another link, the calls
// that take a doubt are doubted, and other calls and messages without an answer end.
func (c *connection) onSilence() {
	if !c.dialed {
		return // the peer opens the calls, and each has a timeout
	}
	var doubted, ended []*outboundCall
	c.mu.Lock()
	c.closing = true
	for _, o := range c.outboundCalls {
		switch {
		case o.replied:
		case o.doubt != nil:
			doubted = append(doubted, o)
		default:
			ended = append(ended, o)
		}
	}
	exchanges := c.exchanges
	c.exchanges = map[uint64]*pendingExchange{}
	c.mu.Unlock()
	c.pool.removeLink(c)
	for _, e := range exchanges {
		e.fail(errPeerSilent)
	}
	for _, o := range ended {
		o.cancel(wire.ReasonLinkLost, errPeerSilent)
	}
	for _, o := range doubted {
		o.doubt(DoubtSilent)
	}
	if len(doubted) > 0 {
		c.pool.Log.Info("calls doubted", "reason", errPeerSilent.Error(), "peer", c.peer.ID, "addr", c.peer.Addr.String(), "calls", len(doubted))
	}
}
