package roster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Core decides who is a member, without I/O; its fields are set before the first Step.
type Core struct {
	Self     wire.Member
	Timing   Timing
	Rand     *rand.Rand
	Peers    []netip.AddrPort // asked for members when the store gives none
	HasStore bool             // ReadSeeds and its kin are answered

	now     time.Time
	out     []Action
	version uint64

	members map[uint64]*entry // the others, dead ones included
	ids     []uint64          // their IDs, ascending
	byAddr  map[netip.AddrPort]uint64
	ring    []uint64 // those not dead, in the order of pings
	ringPos int
	lost    []uint64 // those that died without leaving
	digest  digest
	dirty   bool // the view has changed since ViewChanged
	changed time.Time

	lastTick   time.Time
	youngUntil time.Time // repair is quicker before
	graceUntil time.Time // no suspicions of our own before
	lastHeard  time.Time // last datagram of a member
	health     int
	healing    time.Time // end of the time in which lost members are pinged fast

	seq      uint16
	ping     *ping
	nextPing time.Time
	nextLost time.Time
	relays   map[uint16]relay
	checks   []wire.Brief // claims of deaths to put to the members meant
	suspects []uint64
	news     news
	sweepAt  time.Time
	deaths   map[string][]uint64 // by failure domain, since its last alarm
	alarmed  map[string]time.Time
	join     join
	exchange exchange
	seeding  seeding
}

// Step takes one event and returns what to do about it.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.begin(now)
	c.notePause()
	switch e := e.(type) {
	case Tick:
		c.tick(e)
	case Received:
		c.receive(e)
	case ReadyChanged:
		c.setReady(e.Ready)
	case LeaveAsked:
		c.leave()
	case StopAsked:
		c.stop()
	case Asked:
		c.answer(e.Request)
	case Exchanged:
		c.exchanged(e)
	case SeedsRead:
		c.seedsRead(e)
	case DomainsRead:
		c.domainsRead(e)
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) begin(now time.Time) {
	c.now = now
	if c.members != nil {
		return
	}
	c.members = map[uint64]*entry{}
	c.byAddr = map[netip.AddrPort]uint64{}
	c.relays = map[uint16]relay{}
	c.deaths = map[string][]uint64{}
	c.alarmed = map[string]time.Time{}
	c.lastTick = now
	c.youngUntil = now.Add(youngTime)
	c.seq = uint16(c.Rand.Uint32())
	c.nextPing = now.Add(c.jitter(c.Timing.ProbePeriod))
	c.join.at = now.Add(c.jitter(joinJitter))
	c.join.backoff = joinBackoffMin
	c.digest.toggle(&c.Self)
	c.dirty = true
}

func (c *Core) tick(e Tick) {
	c.version = e.Version
	c.lastTick = c.now
	c.tickJoin()
	c.tickPing()
	c.tickSuspects()
	c.tickLost()
	c.tickChecks()
	c.tickNews()
	c.tickSeeds()
	c.sweep()
	if c.dirty {
		c.dirty = false
		c.do(ViewChanged{Digest: c.digest.sum()})
	}
}

// notePause forgives the others what happened while this process stood still.
func (c *Core) notePause() {
	gap := c.now.Sub(c.lastTick)
	if gap < pauseGap {
		return
	}
	c.lastTick = c.now
	c.health = min(maxHealth, c.health+2)
	c.ping = nil
	grace := pauseGrace * c.Timing.ProbePeriod
	c.graceUntil = c.now.Add(grace)
	c.nextPing = c.now.Add(c.jitter(c.Timing.ProbePeriod))
	for _, id := range c.suspects {
		m := c.members[id]
		m.deadline = m.deadline.Add(gap + grace)
	}
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

// jitter returns a random time below d.
func (c *Core) jitter(d time.Duration) time.Duration { return time.Duration(c.Rand.Int64N(int64(d))) }

// around returns a random time between half of d and one and a half.
func (c *Core) around(d time.Duration) time.Duration { return d/2 + c.jitter(d) }

func (c *Core) send(to netip.AddrPort, p wire.Probe) {
	p.From = c.Self.ID
	p.Incarnation = c.Self.Incarnation
	p.Mark = wire.NewMark(c.Self.State, c.Self.Ready)
	p.Version = c.version
	p.Digest = uint32(c.digest.sum())
	c.do(Send{To: to, Probe: p})
}

// pick returns up to n members that are not dead, chosen at random, without the one left out.
func (c *Core) pick(n int, without uint64) []*entry {
	var out []*entry
	for tries := 0; len(out) < min(n, len(c.ring)) && tries < 4*n; tries++ {
		e := c.members[c.ring[c.Rand.IntN(len(c.ring))]]
		if e.m.ID != without && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

func (c *Core) setReady(ready bool) {
	if c.Self.Ready == ready {
		return
	}
	c.renew(c.Self.Incarnation+1, c.Self.State, ready)
}

// renew changes what this member says of itself.
func (c *Core) renew(incarnation uint32, s wire.MemberState, ready bool) {
	c.digest.toggle(&c.Self)
	c.Self.Incarnation = incarnation
	c.Self.State = s
	c.Self.Ready = ready
	c.digest.toggle(&c.Self)
	c.touch()
	c.news.add(c.Self.ID, false)
}

// touch notes that the view has changed.
func (c *Core) touch() {
	c.dirty = true
	c.changed = c.now
}

func peerOf(m *wire.Member) link.Peer { return link.Peer{ID: m.ID, Addr: m.Addr} }
