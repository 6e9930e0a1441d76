package roster

import (
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// pendingPing is a direct ping that awaits its ack.
type pendingPing struct {
	seq               uint16
	id                uint64
	sentAt            time.Time
	indirectRequested bool // indirect pings have been requested
}

// indirectPing is a ping sent on behalf of another member.
type indirectPing struct {
	requester    netip.AddrPort
	requesterID  uint64
	requesterSeq uint16 // sequence number of the requester's ping
	target       uint64
	expiresAt    time.Time
}

// scaleTimeout multiplies a timeout by 1+healthScore.
func (c *Core) scaleTimeout(d time.Duration) time.Duration { return d * time.Duration(1+c.healthScore) }

func (c *Core) tickPing() {
	if c.ping != nil {
		c.checkPing()
	}
	if c.ping == nil && !c.now.Before(c.nextPingAt) {
		c.startPing()
	}
}

func (c *Core) startPing() {
	c.nextPingAt = c.now.Add(c.Timing.ProbePeriod)
	e := c.nextTarget()
	if e == nil {
		return
	}
	c.seq++
	c.ping = &pendingPing{seq: c.seq, id: e.m.ID, sentAt: c.now}
	c.sendPing(e, c.seq)
}

// sendPing sends a ping that carries the target's suspicion or death, if any, so that it can refute.
func (c *Core) sendPing(e *entry, seq uint16) {
	p := wire.Probe{Kind: wire.ProbePing, Seq: seq, To: uint32(e.m.ID)}
	if e.m.State == wire.StateSuspect || e.dead() {
		p.Briefs = append(p.Briefs, e.m.Brief())
	}
	c.appendUpdates(&p, maxPiggybackSize)
	c.send(e.m.Addr, p)
}

// nextTarget returns the next member to ping: round robin over a list that is shuffled after each round, as in SWIM.
func (c *Core) nextTarget() *entry {
	if len(c.live) == 0 {
		return nil
	}
	if c.pingIndex >= len(c.live) {
		c.pingIndex = 0
		c.Rand.Shuffle(len(c.live), func(i, j int) { c.live[i], c.live[j] = c.live[j], c.live[i] })
	}
	c.pingIndex++
	return c.members[c.live[c.pingIndex-1]]
}

// checkPing requests indirect pings once AckTimeout has passed without an ack, and fails the ping once ProbePeriod has;
// scaleTimeout applies to both.
func (c *Core) checkPing() {
	e := c.members[c.ping.id]
	if e == nil || e.dead() {
		c.ping = nil
		return
	}
	age := c.now.Sub(c.ping.sentAt)
	if !c.ping.indirectRequested && age >= c.scaleTimeout(c.Timing.AckTimeout) {
		c.ping.indirectRequested = true
		c.requestIndirectPings(e)
	}
	if age >= c.scaleTimeout(c.Timing.ProbePeriod) {
		c.failPing(e)
	}
}

// requestIndirectPings asks up to indirectFanout other members to ping e.
func (c *Core) requestIndirectPings(e *entry) {
	for _, via := range c.pickRandom(indirectFanout, e.m.ID) {
		p := wire.Probe{Kind: wire.ProbeIndirect, Seq: c.ping.seq, To: uint32(via.m.ID), Target: e.m.ID}
		c.send(via.m.Addr, p)
	}
}

// failPing suspects the target, except in the grace period after a pause. If no datagram has arrived from a known member
// since the ping, this member may itself be isolated or slow, so its health score rises.
func (c *Core) failPing(e *entry) {
	isolated := !c.lastReceivedAt.After(c.ping.sentAt)
	c.ping = nil
	if isolated {
		c.healthScore = min(maxHealthScore, c.healthScore+1)
	}
	if c.now.Before(c.graceUntil) {
		return
	}
	c.suspect(e, e.m.Incarnation, ReasonNoAnswer)
}

// completePing ends the pending ping when its target has answered, directly or through another member.
func (c *Core) completePing(seq uint16, id uint64) {
	if c.ping == nil || c.ping.seq != seq || c.ping.id != id {
		return
	}
	c.ping = nil
	c.healthScore = max(0, c.healthScore-1)
}

// startIndirectPing pings a member on behalf of another one; only addresses of known members are pinged.
func (c *Core) startIndirectPing(r Received) {
	e := c.members[r.Probe.Target]
	requester := c.members[r.Probe.From]
	if e == nil || e.dead() || requester == nil || requester.m.Addr != r.From || len(c.indirectPings) >= maxIndirectPings {
		return
	}
	c.seq++
	c.indirectPings[c.seq] = indirectPing{
		requester:    r.From,
		requesterID:  r.Probe.From,
		requesterSeq: r.Probe.Seq,
		target:       r.Probe.Target,
		expiresAt:    c.now.Add(2 * c.Timing.ProbePeriod),
	}
	c.sendPing(e, c.seq)
}

// forwardAck forwards the ack of an indirect ping to the member that requested it.
func (c *Core) forwardAck(p wire.Probe) {
	r, ok := c.indirectPings[p.Seq]
	if !ok || r.target != p.From {
		return
	}
	delete(c.indirectPings, p.Seq)
	out := wire.Probe{Kind: wire.ProbeRelayed, Seq: r.requesterSeq, To: uint32(r.requesterID), Target: r.target}
	out.Briefs = append(out.Briefs, wire.Brief{ID: p.From, Incarnation: p.Incarnation, Mark: p.Mark})
	c.send(r.requester, out)
}

// tickLost pings lost members, so that the two sides of a healed network partition find each other.
func (c *Core) tickLost() {
	n := 0
	switch {
	case len(c.lost) == 0:
		return
	case c.now.Before(c.healingUntil):
		n = healingPings
	case !c.now.Before(c.nextLostPingAt):
		n = 1 + 2*min(1, len(c.lost)/(len(c.live)+1)) // 3 instead of 1 if at least half of the members are lost
	}
	if n == 0 {
		return
	}
	c.nextLostPingAt = c.now.Add(c.jitterAround(c.Timing.LostProbePeriod))
	for range n {
		c.seq++
		c.sendPing(c.members[c.lost[c.Rand.IntN(len(c.lost))]], c.seq)
	}
}

// tickDeathReports sends reported deaths to the members concerned so that they can refute, unless they have done so or
// are dead here by now.
func (c *Core) tickDeathReports() {
	for n := 0; n < maxDeathReportsPerTick && len(c.deathReports) > 0; n++ {
		report := c.deathReports[0]
		c.deathReports = c.deathReports[1:]
		e := c.members[report.ID]
		if e == nil || e.dead() || e.m.Incarnation > report.Incarnation {
			continue
		}
		c.seq++
		p := wire.Probe{Kind: wire.ProbePing, Seq: c.seq, To: uint32(e.m.ID), Briefs: []wire.Brief{report}}
		c.send(e.m.Addr, p)
	}
}
