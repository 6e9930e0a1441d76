package roster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Core is the membership state machine, without I/O. Its exported fields are set before the first Step; Step keeps
// Self up to date. A Core is not safe for concurrent use.
type Core struct {
	Self     wire.Member
	Timing   Timing
	Rand     *rand.Rand
	Peers    []netip.AddrPort // control addresses to join while no other live member is known
	HasStore bool             // whether the caller carries out ReadSeeds, WriteSeeds, ReadDomains and WriteDomains and returns the results

	now     time.Time
	actions []Action // of the current Step
	version uint64   // configuration version in force here

	members       map[uint64]*entry         // all other members, dead ones included
	ids           []uint64                  // keys of members, ascending
	byAddr        map[netip.AddrPort]uint64 // of the members that are not dead
	live          []uint64                  // IDs of the members that are alive, suspect or leaving, in ping order
	pingIndex     int                       // in live, of the next ping
	lost          []uint64                  // IDs of the members that were lost, see entry.lost, when recorded as dead
	digest        digest
	viewDirty     bool      // the view changed since the last ViewChanged
	viewChangedAt time.Time // last change of a member or of Self; not set when a lost member leaves the view

	lastTickAt     time.Time
	startupUntil   time.Time // until then differing digests are repaired sooner
	graceUntil     time.Time // until then this member raises no suspicions
	lastReceivedAt time.Time // last datagram from a known member
	healthScore    int       // local health as in Lifeguard: 0 is healthy, timeouts are multiplied by 1+healthScore
	healingUntil   time.Time // until then lost members are pinged more often

	seq            uint16
	ping           *pendingPing // in progress; nil for none
	nextPingAt     time.Time
	nextLostPingAt time.Time
	indirectPings  map[uint16]indirectPing // by sequence number of this member
	deathReports   []wire.Brief            // reported deaths to verify with the members concerned
	suspects       []uint64                // IDs of the members with a suspicion deadline
	updates        updateQueue
	nextSweepAt    time.Time
	deaths         map[string][]uint64  // IDs of members lost since the last alarm, by failure domain
	lastAlarmAt    map[string]time.Time // by failure domain
	join           joinState
	exchange       exchangeState
	seeds          seedState
}

// Step handles one event that occurred at now and returns the actions to carry out, in order. A Tick is due every
// tickPeriod; if there was none for pauseThreshold, Step treats this as a pause of the process.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.begin(now)
	c.detectPause()
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
		c.serveExchange(e.Request)
	case Exchanged:
		c.finishExchange(e)
	case SeedsRead:
		c.handleSeeds(e)
	case DomainsRead:
		c.handleDomains(e)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// begin sets the time of this step and, on the first step, the initial state.
func (c *Core) begin(now time.Time) {
	c.now = now
	if c.members != nil {
		return
	}
	c.members = map[uint64]*entry{}
	c.byAddr = map[netip.AddrPort]uint64{}
	c.indirectPings = map[uint16]indirectPing{}
	c.deaths = map[string][]uint64{}
	c.lastAlarmAt = map[string]time.Time{}
	c.lastTickAt = now
	c.startupUntil = now.Add(startupTime)
	c.seq = uint16(c.Rand.Uint32())
	c.nextPingAt = now.Add(c.jitter(c.Timing.ProbePeriod))
	c.join.nextAt = now.Add(c.jitter(joinJitter))
	c.join.backoff = joinBackoffMin
	c.digest.toggle(&c.Self)
	c.viewDirty = true
}

func (c *Core) tick(e Tick) {
	c.version = e.Version
	c.lastTickAt = c.now
	c.tickJoin()
	c.tickPing()
	c.expireSuspicions()
	c.tickLost()
	c.tickDeathReports()
	c.tickGossip()
	c.tickSeeds()
	c.sweep()
	if c.viewDirty {
		c.viewDirty = false
		c.emit(ViewChanged{Digest: c.digest.sum()})
	}
}

// detectPause handles a pause of this process: silence during the pause is no evidence against other members, so their
// suspicions get more time and for a grace period no new ones are raised.
func (c *Core) detectPause() {
	gap := c.now.Sub(c.lastTickAt)
	if gap < pauseThreshold {
		return
	}
	c.lastTickAt = c.now
	c.healthScore = min(maxHealthScore, c.healthScore+2)
	c.ping = nil
	grace := pauseGracePeriods * c.Timing.ProbePeriod
	c.graceUntil = c.now.Add(grace)
	c.nextPingAt = c.now.Add(c.jitter(c.Timing.ProbePeriod))
	for _, id := range c.suspects {
		e := c.members[id]
		e.suspicionDeadline = e.suspicionDeadline.Add(gap + grace)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration { return time.Duration(c.Rand.Int64N(int64(d))) }

// jitterAround returns a random duration between half of d and one and a half times d.
func (c *Core) jitterAround(d time.Duration) time.Duration { return d/2 + c.jitter(d) }

func (c *Core) send(to netip.AddrPort, p wire.Probe) {
	p.From = c.Self.ID
	p.Incarnation = c.Self.Incarnation
	p.Mark = wire.NewMark(c.Self.State, c.Self.Ready)
	p.Version = c.version
	p.Digest = uint32(c.digest.sum())
	c.emit(Send{To: to, Probe: p})
}

// pickRandom returns up to n random members that are not dead, except the one with the ID exclude (0 for none).
func (c *Core) pickRandom(n int, exclude uint64) []*entry {
	var picked []*entry
	for tries := 0; len(picked) < min(n, len(c.live)) && tries < 4*n; tries++ {
		e := c.members[c.live[c.Rand.IntN(len(c.live))]]
		if e.m.ID != exclude && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

func (c *Core) setReady(ready bool) {
	if c.Self.Ready == ready {
		return
	}
	c.updateSelf(c.Self.Incarnation+1, c.Self.State, ready)
}

// updateSelf sets the state that this member announces and queues it as an update.
func (c *Core) updateSelf(incarnation uint32, s wire.MemberState, ready bool) {
	c.digest.toggle(&c.Self)
	c.Self.Incarnation = incarnation
	c.Self.State = s
	c.Self.Ready = ready
	c.digest.toggle(&c.Self)
	c.markViewChanged()
	c.updates.add(c.Self.ID, false)
}

// markViewChanged records that the view changed, so that the next tick emits ViewChanged.
func (c *Core) markViewChanged() {
	c.viewDirty = true
	c.viewChangedAt = c.now
}

func peerOf(m *wire.Member) link.Peer { return link.Peer{ID: m.ID, Addr: m.Addr} }
