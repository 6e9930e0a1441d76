package roster

import (
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// ping is the one under way.
type ping struct {
	seq      uint16
	id       uint64
	sentAt   time.Time
	indirect bool // others have been asked to ping, too
}

// relay is a ping under way for another member.
type relay struct {
	asker   netip.AddrPort
	askerID uint64
	seq     uint16 // of the asker
	target  uint64
	expires time.Time
}

// scale stretches times while this daemon itself seems slow.
func (c *Core) scale(d time.Duration) time.Duration { return d * time.Duration(1+c.health) }

func (c *Core) tickPing() {
	if c.ping != nil {
		c.followPing()
	}
	if c.ping == nil && !c.now.Before(c.nextPing) {
		c.startPing()
	}
}

func (c *Core) startPing() {
	c.nextPing = c.now.Add(c.Timing.ProbePeriod)
	e := c.nextTarget()
	if e == nil {
		return
	}
	c.seq++
	c.ping = &ping{seq: c.seq, id: e.m.ID, sentAt: c.now}
	c.sendPing(e, c.seq)
}

// sendPing tells the target what is held against it, so that it can refute.
func (c *Core) sendPing(e *entry, seq uint16) {
	p := wire.Probe{Kind: wire.ProbePing, Seq: seq, To: uint32(e.m.ID)}
	if e.m.State == wire.StateSuspect || e.dead() {
		p.Briefs = append(p.Briefs, e.m.Brief())
	}
	c.fill(&p, piggybackSize)
	c.send(e.m.Addr, p)
}

// nextTarget walks the members in a random order that is drawn anew each round.
func (c *Core) nextTarget() *entry {
	if len(c.ring) == 0 {
		return nil
	}
	if c.ringPos >= len(c.ring) {
		c.ringPos = 0
		c.Rand.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
	}
	c.ringPos++
	return c.members[c.ring[c.ringPos-1]]
}

func (c *Core) followPing() {
	e := c.members[c.ping.id]
	if e == nil || e.dead() {
		c.ping = nil
		return
	}
	age := c.now.Sub(c.ping.sentAt)
	if !c.ping.indirect && age >= c.scale(c.Timing.AckTimeout) {
		c.ping.indirect = true
		c.askOthers(e)
	}
	if age >= c.scale(c.Timing.ProbePeriod) {
		c.pingFailed(e)
	}
}

func (c *Core) askOthers(e *entry) {
	for _, via := range c.pick(indirectProbes, e.m.ID) {
		p := wire.Probe{Kind: wire.ProbeIndirect, Seq: c.ping.seq, To: uint32(via.m.ID), Target: e.m.ID}
		c.send(via.m.Addr, p)
	}
}

func (c *Core) pingFailed(e *entry) {
	alone := !c.lastHeard.After(c.ping.sentAt)
	c.ping = nil
	if alone {
		c.health = min(maxHealth, c.health+1)
	}
	if c.now.Before(c.graceUntil) {
		return
	}
	c.suspect(e, e.m.Incarnation, ReasonNoAnswer)
}

// acked ends the ping under way when its target has answered, by itself or through another.
func (c *Core) acked(seq uint16, id uint64) {
	if c.ping == nil || c.ping.seq != seq || c.ping.id != id {
		return
	}
	c.ping = nil
	c.health = max(0, c.health-1)
}

// relayPing pings a member for another one; only addresses of known members are pinged.
func (c *Core) relayPing(r Received) {
	e := c.members[r.Probe.Target]
	asker := c.members[r.Probe.From]
	if e == nil || e.dead() || asker == nil || asker.m.Addr != r.From || len(c.relays) >= maxRelays {
		return
	}
	c.seq++
	c.relays[c.seq] = relay{
		asker:   r.From,
		askerID: r.Probe.From,
		seq:     r.Probe.Seq,
		target:  r.Probe.Target,
		expires: c.now.Add(2 * c.Timing.ProbePeriod),
	}
	c.sendPing(e, c.seq)
}

func (c *Core) relayed(p wire.Probe) {
	r, ok := c.relays[p.Seq]
	if !ok || r.target != p.From {
		return
	}
	delete(c.relays, p.Seq)
	out := wire.Probe{Kind: wire.ProbeRelayed, Seq: r.seq, To: uint32(r.askerID), Target: r.target}
	out.Briefs = append(out.Briefs, wire.Brief{ID: p.From, Incarnation: p.Incarnation, Mark: p.Mark})
	c.send(r.asker, out)
}

// tickLost pings members that have died, so that the two sides of a healed cut find each other.
func (c *Core) tickLost() {
	n := 0
	switch {
	case len(c.lost) == 0:
		return
	case c.now.Before(c.healing):
		n = healingPings
	case !c.now.Before(c.nextLost):
		n = 1 + 2*min(1, len(c.lost)/(len(c.ring)+1))
	}
	if n == 0 {
		return
	}
	c.nextLost = c.now.Add(c.around(c.Timing.LostProbePeriod))
	for range n {
		c.seq++
		c.sendPing(c.members[c.lost[c.Rand.IntN(len(c.lost))]], c.seq)
	}
}

// tickChecks puts claims of deaths to members that are believed alive.
func (c *Core) tickChecks() {
	for n := 0; n < maxChecks && len(c.checks) > 0; n++ {
		claim := c.checks[0]
		c.checks = c.checks[1:]
		e := c.members[claim.ID]
		if e == nil || e.dead() || e.m.Incarnation > claim.Incarnation {
			continue
		}
		c.seq++
		p := wire.Probe{Kind: wire.ProbePing, Seq: c.seq, To: uint32(e.m.ID), Briefs: []wire.Brief{claim}}
		c.send(e.m.Addr, p)
	}
}
