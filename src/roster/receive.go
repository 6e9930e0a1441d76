package roster

import "github.com/yuccaport/yuccaport/src/wire"

// receive merges the updates in a datagram and then handles it by its kind.
func (c *Core) receive(r Received) {
	p := r.Probe
	if p.From == c.Self.ID || p.From == 0 {
		return
	}
	if p.Kind == wire.ProbeAck { // before the merge, which would declare the replacement dead if its clock is behind
		c.detectReplacement(r)
	}
	for i := range p.Members {
		c.mergeMember(&p.Members[i])
	}
	sender := c.members[p.From]
	c.mergeSender(sender, r)
	for _, b := range p.Briefs {
		c.mergeBrief(b)
	}
	switch p.Kind {
	case wire.ProbePing:
		c.sendAck(r)
	case wire.ProbeAck:
		c.receiveAck(r)
	case wire.ProbeIndirect:
		c.startIndirectPing(r)
	case wire.ProbeRelayed:
		c.completePing(p.Seq, p.Target)
	case wire.ProbeJoin:
		c.sendWelcome(r)
	case wire.ProbeWelcome:
		c.receiveWelcome(p)
	}
}

// mergeSender merges the sender's own state from the header of its datagram, if it came from the address held for it.
func (c *Core) mergeSender(e *entry, r Received) {
	p := r.Probe
	if e == nil || e.m.Addr != r.From {
		return
	}
	c.mergeBrief(wire.Brief{ID: p.From, Incarnation: p.Incarnation, Mark: p.Mark})
	if e.dead() {
		return
	}
	c.lastReceivedAt = c.now
	e.receivedAt = c.now
	if p.Version > c.version {
		c.emit(Ahead{Peer: peerOf(&e.m), Version: p.Version})
	}
}

func (c *Core) receiveAck(r Received) {
	p := r.Probe
	c.completePing(p.Seq, p.From)
	c.forwardAck(p)
	if e := c.members[p.From]; e != nil && !e.dead() {
		c.compareDigest(e, p.Digest)
	}
}

// detectReplacement declares the pinged member dead when another one answers at its address.
func (c *Core) detectReplacement(r Received) {
	id, ok := c.byAddr[r.From]
	if !ok || id == r.Probe.From {
		return
	}
	if c.ping == nil || c.ping.seq != r.Probe.Seq || c.ping.id != id {
		return
	}
	c.ping = nil
	c.declareDead(c.members[id], ReasonReplaced)
}

// sendAck answers a ping; against traffic amplification the answer to an unknown sender is limited to amplificationLimit
// times the size of the ping.
func (c *Core) sendAck(r Received) {
	p := r.Probe
	out := wire.Probe{Kind: wire.ProbeAck, Seq: p.Seq, To: uint32(p.From)}
	limit := maxPiggybackSize
	e := c.members[p.From]
	if e == nil || e.m.Addr != r.From {
		limit = min(limit, amplificationLimit*r.Size)
	}
	if e != nil && (e.m.State == wire.StateSuspect || e.dead()) {
		out.Briefs = append(out.Briefs, e.m.Brief())
	}
	// The ping was meant for another member at this address: describe this one, so that the sender replaces it.
	if p.To != 0 && p.To != uint32(c.Self.ID) {
		c.appendMember(&out, &c.Self, limit)
	}
	c.appendUpdates(&out, limit)
	c.send(r.From, out)
}

// sendWelcome answers a join with this member and as many others as fit.
func (c *Core) sendWelcome(r Received) {
	out := wire.Probe{Kind: wire.ProbeWelcome, Seq: r.Probe.Seq, To: uint32(r.Probe.From)}
	limit := min(wire.MaxProbeSize, amplificationLimit*r.Size)
	c.appendMember(&out, &c.Self, limit)
	for _, e := range c.pickRandom(maxWelcomeMembers, r.Probe.From) {
		c.appendMember(&out, &e.m, limit)
	}
	c.send(r.From, out)
}
