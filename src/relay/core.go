package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core decides how a daemon obtains configuration versions and passes them on.
//
// It does no I/O: Step turns events into actions. Exported fields are set before the first Step. It is not safe for concurrent use.
type Core struct {
	Self        uint64 // ID of this daemon
	Domain      string // its failure domain
	Tuning      Tuning
	DirectWatch bool // watch the store without a lease and pass nothing on, as the baseline of benchmarks
	Rand        *rand.Rand

	members     []Member
	domainPeers []uint64 // other members of the failure domain, by ascending ID
	rank        int      // position in the order by which members of the failure domain are chosen as readers, -1 if this daemon is not in it

	heldVersion    uint64 // newest version held, 0 for none
	refusedVersion uint64 // last refused version; not set by an unusable update from a peer
	refusedAt      time.Time

	bootstrap  bootstrapState
	head       headState
	lease      leaseState
	pushes     pushState
	pull       pullState
	fullCopies fullCopyBudget

	actions []Action
}

// HeldVersion returns the newest version that the daemon holds, 0 for none; it is not in force before Open, nor if OnSnapshot refused it at Open.
func (c *Core) HeldVersion() uint64 { return c.heldVersion }

// IsWatching reports whether the daemon watches the store, as a reader, in fallback or with DirectWatch.
func (c *Core) IsWatching() bool { return c.head.watching }

// Opened reports whether Open has been emitted, which brings the first version into force.
func (c *Core) Opened() bool { return c.bootstrap.done }

// Step handles an event that occurred at now and returns the actions to execute, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = nil
	c.initialize(now)
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
		c.pushes.remove(e.ID)
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
	c.startDueWork(now)
	return c.actions
}

// startDueWork starts the calls, pulls and pushes that are due, and brings the first version into force when it may.
func (c *Core) startDueWork(now time.Time) {
	c.startDueLeaseCall(now)
	c.startDueHeadCall(now)
	c.startDueFetch(now)
	c.startDuePull(now)
	c.startDueRepublish(now)
	c.openIfReady(now)
}

// Next returns the time at which the core needs a Tick, zero for none; it may lie in the past.
func (c *Core) Next() time.Time {
	next := time.Time{}
	for _, t := range [...]time.Time{c.leaseCallDueAt(), c.headCallDueAt(), c.fetchDueAt(), c.pullDueAt(), c.pushes.republishAt, c.openDueAt()} {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// initialize sets the initial state at the first event. Until the first Members event, the daemon counts as first in rank.
func (c *Core) initialize(now time.Time) {
	if !c.bootstrap.startedAt.IsZero() {
		return
	}
	c.bootstrap.startedAt = now
	c.bootstrap.headReadAt = now.Add(c.randomDuration(0, BootstrapReadDelayMax))
	c.rank = 0
	c.lease.nextCallAt = now.Add(c.randomDuration(FirstLeaseDelayMin, FirstLeaseDelayMax))
	c.fullCopies.tokens, c.fullCopies.refilledAt = c.Tuning.FullCopyBurst, now
}

func (c *Core) onMembers(now time.Time, e Members) {
	c.members = e.Members
	c.rank = rankOf(c.Self, c.Domain, e.Members)
	c.domainPeers = c.domainPeers[:0]
	for _, m := range e.Members {
		if m.Domain == c.Domain && m.ID != c.Self {
			c.domainPeers = append(c.domainPeers, m.ID)
		}
	}
	slices.Sort(c.domainPeers)
	c.askPeers(now)
}

func (c *Core) onTaken(now time.Time, e Taken) {
	c.finishFetch(e.Source)
	if e.Version <= c.heldVersion {
		return
	}
	previous := c.heldVersion
	c.heldVersion = e.Version
	switch e.Source {
	case SourceStore:
		// Peers already hold highestPeerVersion when this daemon starts: only a newer version is pushed, as an update from the higher of that version and the previous one.
		if base := max(previous, c.bootstrap.highestPeerVersion); base < c.heldVersion {
			c.pushToDomain(base)
		}
	case SourcePull:
		c.scheduleRepublish(now, e.Peer, previous)
	}
	c.continuePull(now)
}

func (c *Core) onRefused(now time.Time, e Refused) {
	c.finishFetch(e.Source)
	if e.Version <= c.heldVersion {
		return
	}
	if e.UpdateUnusable && e.Source != SourceStore {
		if e.Base != c.heldVersion && e.Base != 0 {
			c.pullWithoutDelay(now, e.Peer, e.Version) // its base is not the version held, so a delta from the version held may apply
			return
		}
		c.pullFullCopy(now, e.Peer, e.Version)
		return
	}
	c.refusedVersion, c.refusedAt = e.Version, now
}

// finishFetch marks the fetch as done if the update came from the store.
func (c *Core) finishFetch(source Source) {
	if source == SourceStore {
		c.head.fetching, c.head.fetchFailures = false, 0
	}
}

// needsVersion reports whether a version is newer than the one held and was not refused within RefusedRetryDelay.
func (c *Core) needsVersion(now time.Time, version uint64) bool {
	return version > c.heldVersion && (version != c.refusedVersion || now.Sub(c.refusedAt) >= RefusedRetryDelay)
}

// randomDuration returns a random duration from low to below high.
func (c *Core) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(c.Rand.Int64N(int64(high-low)))
}

// randomMember returns a random eligible member that is neither this daemon nor leaving, 0 if there is none.
func (c *Core) randomMember(eligible func(Member) bool) uint64 {
	var ids []uint64
	for _, m := range c.members {
		if m.ID != c.Self && !m.Leaving && eligible(m) {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	return ids[c.Rand.IntN(len(ids))]
}

// domainOf returns the failure domain of a member, "" if the member is not listed.
func (c *Core) domainOf(id uint64) string {
	for _, m := range c.members {
		if m.ID == id {
			return m.Domain
		}
	}
	return ""
}
