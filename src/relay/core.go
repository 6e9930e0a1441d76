package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core decides how a daemon learns of configuration versions and passes them on.
type Core struct {
	Self     uint64
	Domain   string
	Tuning   Tuning
	Baseline bool // watch the store without leases and pass nothing on
	Rand     *rand.Rand

	members []Member
	peers   []uint64 // others of the same failure domain, by ascending ID
	rank    int      // among the readers of the failure domain, -1 when it is none of them

	have      uint64 // version held
	refused   uint64 // newest version that could not be taken
	refusedAt time.Time

	join   joining
	head   headState
	lease  leaseState
	pushes pushState
	pull   pullState
	copies copyBudget

	out []Action
}

// HeldVersion returns the version held, 0 for none.
func (c *Core) HeldVersion() uint64 { return c.have }

// IsReader tells whether the daemon watches the store.
func (c *Core) IsReader() bool { return c.head.reading }

// Joined tells whether the version held is in force.
func (c *Core) Joined() bool { return c.join.done }

// Step decides upon an event.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = nil
	c.begin(now)
	switch e := e.(type) {
	case Tick:
	case Members:
		c.onMembers(now, e)
	case HeadSeen:
		c.onHeadSeen(now, e)
	case HeadFailed:
		c.onHeadFailed(now, e)
	case FetchFailed:
		c.onFetchFailed(now)
	case LeaseAnswered:
		c.onLeaseAnswered(now, e)
	case LeaseFailed:
		c.onLeaseFailed(now)
	case PushReceived:
		c.onPushReceived(now, e)
	case PushDone:
		c.pushes.done(e.ID)
	case PushFailed:
		c.onPushFailed(e)
	case PeerAhead:
		c.onPeerAhead(now, e)
	case Asked:
		c.onAsked(now, e)
	case Pulled:
		c.onPulled(now, e)
	case PullRequested:
		c.onPullRequested(now, e)
	case Taken:
		c.onTaken(now, e)
	case Refused:
		c.onRefused(now, e)
	}
	c.due(now)
	return c.out
}

// due starts whatever the time has come for.
func (c *Core) due(now time.Time) {
	c.dueLease(now)
	c.dueHead(now)
	c.dueFetch(now)
	c.duePull(now)
	c.dueRescue(now)
	c.dueJoin(now)
}

// Next returns the time by which the core wants a Tick, zero for none.
func (c *Core) Next() time.Time {
	next := time.Time{}
	for _, t := range [...]time.Time{c.nextLease(), c.nextHead(), c.nextFetch(), c.nextPull(), c.pushes.rescueAt, c.nextJoin()} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

// begin notes the time of the first event.
func (c *Core) begin(now time.Time) {
	if !c.join.startedAt.IsZero() {
		return
	}
	c.join.startedAt = now
	c.join.readAt = now.Add(c.between(0, JoinReadDelayMax))
	c.rank = 0
	c.lease.at = now.Add(c.between(FirstLeaseDelayMin, FirstLeaseDelayMax))
	c.copies.tokens, c.copies.at = c.Tuning.FullCopyBurst, now
}

func (c *Core) onMembers(now time.Time, e Members) {
	c.members = e.Members
	c.rank = rankOf(c.Self, c.Domain, e.Members)
	c.peers = c.peers[:0]
	for _, m := range e.Members {
		if m.Domain == c.Domain && m.ID != c.Self {
			c.peers = append(c.peers, m.ID)
		}
	}
	slices.Sort(c.peers)
	c.joinMembers(now)
}

func (c *Core) onTaken(now time.Time, e Taken) {
	c.afterUpdate(e.Source)
	if e.Version <= c.have {
		return
	}
	before := c.have
	c.have = e.Version
	switch e.Source {
	case SourceStore:
		if base := max(before, c.join.highest); base < c.have {
			c.startTree(base)
		}
	case SourcePull:
		c.offerRescue(now, e.Peer, before)
	}
	c.schedulePull(now)
}

func (c *Core) onRefused(now time.Time, e Refused) {
	c.afterUpdate(e.Source)
	if e.Version <= c.have {
		return
	}
	if e.BadUpdate && e.Source != SourceStore {
		if e.Base != c.have && e.Base != 0 {
			c.pullNow(now, e.Peer, e.Version) // it was made for another version
			return
		}
		c.pullFull(now, e.Peer, e.Version)
		return
	}
	c.refused, c.refusedAt = e.Version, now
}

// afterUpdate ends the fetch or pull that led to an update.
func (c *Core) afterUpdate(s Source) {
	if s == SourceStore {
		c.head.fetching, c.head.misses = false, 0
	}
}

// wants tells whether a version is worth getting.
func (c *Core) wants(now time.Time, version uint64) bool {
	return version > c.have && (version != c.refused || now.Sub(c.refusedAt) >= RefusedRetryDelay)
}

// between draws a duration.
func (c *Core) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.Rand.Int64N(int64(high-low)))
}

// other draws a member other than this daemon and the ones excepted, 0 when there is none.
func (c *Core) other(keep func(Member) bool) uint64 {
	var ids []uint64
	for _, m := range c.members {
		if m.ID != c.Self && !m.Leaving && keep(m) {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	return ids[c.Rand.IntN(len(ids))]
}

// domainOf returns the failure domain of a member, "" when it is not known.
func (c *Core) domainOf(id uint64) string {
	for _, m := range c.members {
		if m.ID == id {
			return m.Domain
		}
	}
	return ""
}
