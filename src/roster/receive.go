package roster

import "github.com/yuccaport/yuccaport/src/wire"

func (c *Core) receive(r Received) {
	p := r.Probe
	if p.From == c.Self.ID || p.From == 0 {
		return
	}
	if p.Kind == wire.ProbeAck {
		c.replaced(r)
	}
	for i := range p.Members {
		c.hear(&p.Members[i])
	}
	sender := c.members[p.From]
	c.hearSender(sender, r)
	for _, b := range p.Briefs {
		c.hearBrief(b)
	}
	switch p.Kind {
	case wire.ProbePing:
		c.sendAck(r)
	case wire.ProbeAck:
		c.receiveAck(r)
	case wire.ProbeIndirect:
		c.relayPing(r)
	case wire.ProbeRelayed:
		c.acked(p.Seq, p.Target)
	case wire.ProbeJoin:
		c.sendWelcome(r)
	case wire.ProbeWelcome:
		c.welcomed(p)
	}
}

// hearSender takes what a datagram's head says of its sender at first hand.
func (c *Core) hearSender(e *entry, r Received) {
	p := r.Probe
	if e == nil || e.m.Addr != r.From {
		return
	}
	c.hearBrief(wire.Brief{ID: p.From, Incarnation: p.Incarnation, Mark: p.Mark})
	if e.dead() {
		return
	}
	c.lastHeard = c.now
	e.heardAt = c.now
	if p.Version > c.version {
		c.do(Ahead{Peer: peerOf(&e.m), Version: p.Version})
	}
}

func (c *Core) receiveAck(r Received) {
	p := r.Probe
	c.acked(p.Seq, p.From)
	c.relayed(p)
	if e := c.members[p.From]; e != nil && !e.dead() {
		c.compare(e, p.Digest)
	}
}

// replaced declares a member dead when another one answers at its address.
func (c *Core) replaced(r Received) {
	id, ok := c.byAddr[r.From]
	if !ok || id == r.Probe.From {
		return
	}
	if c.ping == nil || c.ping.seq != r.Probe.Seq || c.ping.id != id {
		return
	}
	c.ping = nil
	c.bury(c.members[id], ReasonReplaced)
}

func (c *Core) sendAck(r Received) {
	p := r.Probe
	out := wire.Probe{Kind: wire.ProbeAck, Seq: p.Seq, To: uint32(p.From)}
	limit := piggybackSize
	e := c.members[p.From]
	if e == nil || e.m.Addr != r.From {
		limit = min(limit, answerFactor*r.Size)
	}
	if e != nil && (e.m.State == wire.StateSuspect || e.dead()) {
		out.Briefs = append(out.Briefs, e.m.Brief())
	}
	if p.To != 0 && p.To != uint32(c.Self.ID) {
		c.addMember(&out, &c.Self, limit)
	}
	c.fill(&out, limit)
	c.send(r.From, out)
}

// sendWelcome answers a join with this member and as many others as the answer may hold.
func (c *Core) sendWelcome(r Received) {
	out := wire.Probe{Kind: wire.ProbeWelcome, Seq: r.Probe.Seq, To: uint32(r.Probe.From)}
	limit := min(wire.MaxProbeSize, answerFactor*r.Size)
	c.addMember(&out, &c.Self, limit)
	for _, e := range c.pick(maxWelcome, r.Probe.From) {
		c.addMember(&out, &e.m, limit)
	}
	c.send(r.From, out)
}
