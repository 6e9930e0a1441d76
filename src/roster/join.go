package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// join is this member's search for others.
type join struct {
	at      time.Time // of the next attempt
	backoff time.Duration
	seeds   []netip.AddrPort // of the store's records
}

// tickJoin looks for others while this member knows none.
func (c *Core) tickJoin() {
	if len(c.ring) > 0 || c.now.Before(c.join.at) || c.Self.State != wire.StateAlive {
		return
	}
	c.join.at = c.now.Add(c.around(c.join.backoff))
	c.join.backoff = min(2*c.join.backoff, joinBackoffMax)
	if c.HasStore {
		c.do(ReadSeeds{Domain: c.Self.Domain})
	}
	c.ask(c.Peers)
	c.ask(c.join.seeds)
}

// ask sends joins to a few of the addresses.
func (c *Core) ask(addrs []netip.AddrPort) {
	addrs = slices.Clone(addrs)
	c.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	n := 0
	for _, a := range addrs {
		_, known := c.byAddr[a]
		if known || a == c.Self.Addr || n >= joinFanout {
			continue
		}
		n++
		c.sendJoin(a)
	}
}

func (c *Core) sendJoin(to netip.AddrPort) {
	p := wire.Probe{Kind: wire.ProbeJoin, Members: []wire.Member{c.Self}}
	p.Padding = make([]byte, max(0, joinSize-probeSize(&p)))
	c.send(to, p)
}

// welcomed asks the member that answered a join for all the others.
func (c *Core) welcomed(p wire.Probe) {
	e := c.members[p.From]
	if e == nil || e.dead() {
		return
	}
	c.join.backoff = joinBackoffMin
	c.join.at = c.now.Add(c.around(c.join.backoff))
	if !c.exchange.busy {
		c.startRepair(e)
	}
}
