package relay

import (
	"slices"
	"time"
)

// push is one update on its way to a child, with the part of the list that the child serves.
type push struct {
	base, version uint64
	to            uint64   // child, once it is sent
	rest          []uint64 // members that are to be served
	again         int      // of them, those at the end that could not be reached before
}

// pushState holds the pushes under way and what has been pushed to this daemon.
type pushState struct {
	lastID uint64
	open   map[uint64]push
	seen   uint64 // highest version that a push has brought

	rescueAt   time.Time // of the push of a version that came from another failure domain, zero for none
	rescueBase uint64
}

func (p *pushState) done(id uint64) { delete(p.open, id) }

// startTree pushes the version held to the whole failure domain.
func (c *Core) startTree(base uint64) {
	if c.Baseline {
		return
	}
	c.pushes.seen = max(c.pushes.seen, c.have)
	c.pushAll(base, c.have, c.peers)
}

// pushAll deals a list of members to children.
func (c *Core) pushAll(base, version uint64, ids []uint64) {
	for _, part := range split(ids, c.Tuning.Fanout) {
		c.pushPart(push{base: base, version: version, rest: part})
	}
}

// pushPart sends to the first member of a part, which serves the others.
func (c *Core) pushPart(p push) {
	if len(p.rest) == 0 || len(c.pushes.open) >= maxPushes {
		return
	}
	if c.pushes.open == nil {
		c.pushes.open = map[uint64]push{}
	}
	to, subtree := p.rest[0], p.rest[1:]
	c.pushes.lastID++
	id := c.pushes.lastID
	c.pushes.open[id] = push{base: p.base, version: p.version, to: to, rest: subtree, again: min(p.again, len(subtree))}
	c.do(Push{ID: id, To: to, Base: p.base, Version: p.version, Subtree: slices.Clone(subtree), Timeout: c.Tuning.PushTimeout})
}

// onPushFailed lets the next member of the part take the place of one that cannot be reached, which is tried once more at the end of the part.
func (c *Core) onPushFailed(e PushFailed) {
	p, ok := c.pushes.open[e.ID]
	if !ok {
		return
	}
	delete(c.pushes.open, e.ID)
	if len(p.rest) > p.again {
		p.rest, p.again = append(slices.Clone(p.rest), p.to), p.again+1
	}
	c.pushPart(p)
}

// onPushReceived passes the update on before it is looked at: a daemon that cannot take it must not cut its subtree off.
func (c *Core) onPushReceived(now time.Time, e PushReceived) {
	if c.Baseline {
		return
	}
	c.pushes.seen = max(c.pushes.seen, e.Version)
	c.pushAll(e.Base, max(e.Version, c.have), c.without(e.Subtree))
	if !c.wants(now, e.Version) {
		return
	}
	if e.Base > c.have {
		c.pullNow(now, e.From, e.Version)
		return
	}
	c.do(Apply{Source: SourcePush, Peer: e.From})
}

// without drops this daemon and what is past the bound from a list.
func (c *Core) without(ids []uint64) []uint64 {
	ids = slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return id == c.Self })
	return ids[:min(len(ids), MaxSubtreeSize)]
}

// offerRescue pushes a version that was pulled from another failure domain, unless a push of it shows up meanwhile.
//
// It stands in for readers that cannot reach the store.
func (c *Core) offerRescue(now time.Time, peer, base uint64) {
	if c.pushes.seen >= c.have || c.domainOf(peer) == c.Domain || base == 0 {
		return
	}
	if c.pushes.rescueAt.IsZero() {
		c.pushes.rescueBase = base
		c.pushes.rescueAt = now.Add(c.between(c.Tuning.RepublishDelay, 3*c.Tuning.RepublishDelay))
	}
}

func (c *Core) dueRescue(now time.Time) {
	p := &c.pushes
	if p.rescueAt.IsZero() || now.Before(p.rescueAt) {
		return
	}
	p.rescueAt = time.Time{}
	if p.seen < c.have {
		c.startTree(p.rescueBase)
	}
}
