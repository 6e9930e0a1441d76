package relay

import (
	"slices"
	"time"
)

// pullState is the state of the anti-entropy repair of a daemon that is behind; one pull is in progress at a time.
type pullState struct {
	targetVersion uint64    // highest version known from a peer or the store
	sources       []uint64  // peers that reported a newer version, the preferred last
	needsFullCopy bool      // an update was bad, so the next pull is for a full copy
	nextPullAt    time.Time // zero for none
	pending       bool      // a Pull is in progress
	reason        string    // of the next pull
}

func (c *Core) onPeerAhead(now time.Time, e PeerAhead) {
	if c.Baseline || !c.needsVersion(now, e.Version) {
		return
	}
	c.addSource(e.Peer, e.Version)
	if c.pull.nextPullAt.IsZero() && !c.pull.pending {
		c.pull.nextPullAt = now.Add(c.randomDuration(c.Tuning.PullDelayMin, c.Tuning.PullDelayMax))
		c.pull.reason = "a probe showed a peer ahead"
	}
}

// addSource adds a peer that holds a version as the preferred source.
func (c *Core) addSource(peer, version uint64) {
	p := &c.pull
	p.targetVersion = max(p.targetVersion, version)
	p.sources = slices.DeleteFunc(p.sources, func(id uint64) bool { return id == peer })
	p.sources = append(p.sources, peer)
	p.sources = p.sources[max(len(p.sources)-maxPullSources, 0):]
}

// pullWithoutDelay schedules a pull at once: the push to wait for has arrived but does not apply.
func (c *Core) pullWithoutDelay(now time.Time, peer, version uint64) {
	c.addSource(peer, version)
	c.pull.nextPullAt, c.pull.reason = now, "a push does not follow the version held"
}

// pullHeadVersion schedules a pull of the store head's version from any peer.
func (c *Core) pullHeadVersion(now time.Time, version uint64) {
	c.pull.targetVersion = max(c.pull.targetVersion, version)
	if c.pull.nextPullAt.IsZero() && !c.pull.pending {
		c.pull.nextPullAt, c.pull.reason = now, "start"
	}
}

// pullFullCopy schedules the pull of a full copy at once, after an update whose result did not match its digest.
func (c *Core) pullFullCopy(now time.Time, peer, version uint64) {
	c.addSource(peer, version)
	c.pull.needsFullCopy = true
	c.pull.nextPullAt, c.pull.reason = now, "an update did not lead to its digest"
}

func (c *Core) startDuePull(now time.Time) {
	p := &c.pull
	if p.pending || p.nextPullAt.IsZero() || now.Before(p.nextPullAt) {
		return
	}
	p.nextPullAt = time.Time{}
	if !c.needsVersion(now, p.targetVersion) {
		return
	}
	to := c.takeSource()
	if to == 0 {
		return
	}
	p.pending = true
	heldVersion, timeout := c.heldVersion, DeltaTimeout
	if p.needsFullCopy {
		heldVersion = 0
	}
	if heldVersion == 0 {
		timeout = FullCopyTimeout
	}
	c.emit(Pull{To: to, HeldVersion: heldVersion, Reason: p.reason, Timeout: timeout})
}

// takeSource removes and returns the preferred source, or a random member if there is none.
func (c *Core) takeSource() uint64 {
	p := &c.pull
	if n := len(p.sources); n > 0 {
		id := p.sources[n-1]
		p.sources = p.sources[:n-1]
		return id
	}
	return c.randomMember(func(Member) bool { return true })
}

func (c *Core) onPulled(now time.Time, e Pulled) {
	p := &c.pull
	p.pending = false
	switch {
	case e.Failed:
		c.retryPull(now, PullRetryMin, PullRetryMax, "a peer did not answer")
	case e.RetryAfter > 0:
		if e.Alternative != 0 && e.Alternative != c.Self {
			c.addSource(e.Alternative, p.targetVersion)
		}
		p.nextPullAt, p.reason = now.Add(c.randomDuration(e.RetryAfter, 2*e.RetryAfter)), "a peer was busy"
	case e.Current || !c.needsVersion(now, e.Version):
		c.retryPull(now, NotAheadRetryMin, NotAheadRetryMax, "a peer was not ahead")
	default:
		p.needsFullCopy = false
		c.addSource(e.Peer, e.Version)
		c.emit(Apply{Source: SourcePull, Peer: e.Peer})
	}
}

// retryPull schedules a pull from another source if the daemon is still behind.
func (c *Core) retryPull(now time.Time, low, high time.Duration, reason string) {
	p := &c.pull
	if c.needsVersion(now, p.targetVersion) {
		p.nextPullAt, p.reason = now.Add(c.randomDuration(low, high)), reason
	}
}

// continuePull schedules the next pull if a still higher version is known by now.
func (c *Core) continuePull(now time.Time) {
	p := &c.pull
	if p.pending {
		return
	}
	if !c.needsVersion(now, p.targetVersion) {
		p.nextPullAt, p.needsFullCopy = time.Time{}, false
		return
	}
	if p.nextPullAt.IsZero() {
		p.nextPullAt, p.reason = now.Add(c.randomDuration(c.Tuning.PullDelayMin, c.Tuning.PullDelayMax)), "a peer is still ahead"
	}
}

func (c *Core) pullDueAt() time.Time {
	if c.pull.pending {
		return time.Time{}
	}
	return c.pull.nextPullAt
}
