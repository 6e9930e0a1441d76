package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// joinState is the state of the search for other members while no live one is known.
type joinState struct {
	nextAt    time.Time // of the next attempt
	backoff   time.Duration
	seedAddrs []netip.AddrPort // from the seed record of this failure domain
}

// tickJoin contacts the static peers and seeds, with backoff, while no other live member is known.
func (c *Core) tickJoin() {
	if len(c.live) > 0 || c.now.Before(c.join.nextAt) || c.Self.State != wire.StateAlive {
		return
	}
	c.join.nextAt = c.now.Add(c.jitterAround(c.join.backoff))
	c.join.backoff = min(2*c.join.backoff, joinBackoffMax)
	if c.HasStore {
		c.emit(ReadSeeds{Domain: c.Self.Domain})
	}
	c.sendJoins(c.Peers)
	c.sendJoins(c.join.seedAddrs)
}

// sendJoins sends joins to at most joinFanout of the addresses, chosen at random, but none to its own
// address or those of known members.
func (c *Core) sendJoins(addrs []netip.AddrPort) {
	addrs = slices.Clone(addrs)
	c.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	sent := 0
	for _, a := range addrs {
		_, known := c.byAddr[a]
		if known || a == c.Self.Addr || sent >= joinFanout {
			continue
		}
		sent++
		c.sendJoin(a)
	}
}

func (c *Core) sendJoin(to netip.AddrPort) {
	p := wire.Probe{Kind: wire.ProbeJoin, Members: []wire.Member{c.Self}}
	p.Padding = make([]byte, max(0, joinProbeSize-probeSize(&p)))
	c.send(to, p)
}

// receiveWelcome starts a sync with the member that answered a join, unless an exchange is in progress.
func (c *Core) receiveWelcome(p wire.Probe) {
	e := c.members[p.From]
	if e == nil || e.dead() {
		return
	}
	c.join.backoff = joinBackoffMin
	c.join.nextAt = c.now.Add(c.jitterAround(c.join.backoff))
	if !c.exchange.inProgress {
		c.startSync(e)
	}
}
