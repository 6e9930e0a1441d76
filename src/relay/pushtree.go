package relay

import (
	"slices"
	"time"
)

// push is an update that is sent to a child in the push tree, with the members of the child's subtree.
type push struct {
	base, version uint64
	child         uint64   // set once the push is sent
	members       []uint64 // members yet to be reached, without the child once the push is sent
	failedCount   int      // number of members at the end of the list that have failed once already
}

// pushState holds the pushes in progress and the highest version pushed in the failure domain.
type pushState struct {
	lastID         uint64
	pending        map[uint64]push // by push ID
	highestVersion uint64          // highest version received or sent by push

	republishAt   time.Time // time to push a version that came from another failure domain, zero for none
	republishBase uint64
}

func (p *pushState) remove(id uint64) { delete(p.pending, id) }

// pushToDomain pushes the version held, as an update from base, to all members of the failure domain.
func (c *Core) pushToDomain(base uint64) {
	if c.DirectWatch {
		return
	}
	c.pushes.highestVersion = max(c.pushes.highestVersion, c.heldVersion)
	c.pushToChildren(base, c.heldVersion, c.domainPeers)
}

// pushToChildren divides a list of members into subtrees and pushes to each.
func (c *Core) pushToChildren(base, version uint64, ids []uint64) {
	for _, part := range partition(ids, c.Tuning.Fanout) {
		c.pushToChild(push{base: base, version: version, members: part})
	}
}

// pushToChild sends an update to the first member of the list, which passes it on to the others.
func (c *Core) pushToChild(p push) {
	if len(p.members) == 0 || len(c.pushes.pending) >= maxPendingPushes {
		return
	}
	if c.pushes.pending == nil {
		c.pushes.pending = map[uint64]push{}
	}
	child, subtree := p.members[0], p.members[1:]
	c.pushes.lastID++
	id := c.pushes.lastID
	c.pushes.pending[id] = push{base: p.base, version: p.version, child: child, members: subtree, failedCount: min(p.failedCount, len(subtree))}
	c.emit(Push{ID: id, To: child, Base: p.base, Version: p.version, Subtree: slices.Clone(subtree), Timeout: c.Tuning.PushTimeout})
}

// onPushFailed sends the push to the next member of the subtree in place of the child that could not be reached.
//
// That child is moved to the end of the subtree and tried once more, unless all members left have failed already.
func (c *Core) onPushFailed(e PushFailed) {
	p, ok := c.pushes.pending[e.ID]
	if !ok {
		return
	}
	delete(c.pushes.pending, e.ID)
	if len(p.members) > p.failedCount {
		p.members, p.failedCount = append(slices.Clone(p.members), p.child), p.failedCount+1
	}
	c.pushToChild(p)
}

// onPushReceived passes the update on before applying it, so that a daemon that refuses the version does not cut off its subtree.
func (c *Core) onPushReceived(now time.Time, e PushReceived) {
	if c.DirectWatch {
		return
	}
	c.pushes.highestVersion = max(c.pushes.highestVersion, e.Version)
	c.pushToChildren(e.Base, max(e.Version, c.heldVersion), c.filterSubtree(e.Subtree))
	if !c.needsVersion(now, e.Version) {
		return
	}
	if e.Base > c.heldVersion {
		c.pullWithoutDelay(now, e.From, e.Version)
		return
	}
	c.emit(Apply{Source: SourcePush, Peer: e.From})
}

// filterSubtree returns the list without this daemon, cut to MaxSubtreeSize.
func (c *Core) filterSubtree(ids []uint64) []uint64 {
	ids = slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return id == c.Self })
	return ids[:min(len(ids), MaxSubtreeSize)]
}

// scheduleRepublish schedules a push in this failure domain of a version pulled from another one. The push is dropped if a push of that version arrives in the meantime.
//
// It replaces the pushes of readers that cannot reach the store. A daemon that held no version before does not republish, since its pushes would be full copies.
func (c *Core) scheduleRepublish(now time.Time, peer, base uint64) {
	if c.pushes.highestVersion >= c.heldVersion || c.domainOf(peer) == c.Domain || base == 0 {
		return
	}
	if c.pushes.republishAt.IsZero() {
		c.pushes.republishBase = base
		c.pushes.republishAt = now.Add(c.randomDuration(c.Tuning.RepublishDelay, 3*c.Tuning.RepublishDelay))
	}
}

func (c *Core) startDueRepublish(now time.Time) {
	p := &c.pushes
	if p.republishAt.IsZero() || now.Before(p.republishAt) {
		return
	}
	p.republishAt = time.Time{}
	if p.highestVersion < c.heldVersion {
		c.pushToDomain(p.republishBase)
	}
}
