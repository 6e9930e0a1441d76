package relay

import (
	"slices"
	"time"
)

// pullState is the state of the anti-entropy repair of a daemon that is behind; one pull is in progress at a time.
type pullState struct {
	targetVersion uint64    // highest version known from a peer or the store
	candidates    []uint64  // peers to pull from, the preferred last
	needsFullCopy bool      // the last update could not be used, so the next pull is for a full copy
	nextPullAt    time.Time // zero for none
	pending       bool      // a Pull is in progress
	reason        string    // of the next pull
}

func (c *Core) onPeerAhead(now time.Time, e PeerAhead) {
	if c.DirectWatch || !c.needsVersion(now, e.Version) {
		return
	}
	c.addCandidate(e.Peer, e.Version)
	if c.pull.nextPullAt.IsZero() && !c.pull.pending {
		c.pull.nextPullAt = now.Add(c.randomDuration(c.Tuning.PullDelayMin, c.Tuning.PullDelayMax))
		c.pull.reason = "a probe showed a peer ahead"
	}
}

// addCandidate makes a peer that is expected to hold a version the preferred candidate for the next pull.
func (c *Core) addCandidate(peer, version uint64) {
	p := &c.pull
	p.targetVersion = max(p.targetVersion, version)
	p.candidates = slices.DeleteFunc(p.candidates, func(id uint64) bool { return id == peer })
	p.candidates = append(p.candidates, peer)
	p.candidates = p.candidates[max(len(p.candidates)-maxPullCandidates, 0):]
}

// pullWithoutDelay schedules a pull at once, without the usual wait for a push: an update has arrived whose base is not the version held.
func (c *Core) pullWithoutDelay(now time.Time, peer, version uint64) {
	c.addCandidate(peer, version)
	c.pull.nextPullAt, c.pull.reason = now, "a push does not follow the version held"
}

// pullHeadVersion schedules a pull of the store head's version from a candidate or, if there is none, a random member.
func (c *Core) pullHeadVersion(now time.Time, version uint64) {
	c.pull.targetVersion = max(c.pull.targetVersion, version)
	if c.pull.nextPullAt.IsZero() && !c.pull.pending {
		c.pull.nextPullAt, c.pull.reason = now, "start"
	}
}

// pullFullCopy schedules the pull of a full copy at once, after an update that was malformed or could not be applied to its base.
func (c *Core) pullFullCopy(now time.Time, peer, version uint64) {
	c.addCandidate(peer, version)
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
	to := c.takeCandidate()
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

// takeCandidate removes and returns the preferred candidate, or a random member if there is none; 0 if there is no other member, and the pull is then given up.
func (c *Core) takeCandidate() uint64 {
	p := &c.pull
	if n := len(p.candidates); n > 0 {
		id := p.candidates[n-1]
		p.candidates = p.candidates[:n-1]
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
			c.addCandidate(e.Alternative, p.targetVersion)
		}
		p.nextPullAt, p.reason = now.Add(c.randomDuration(e.RetryAfter, 2*e.RetryAfter)), "a peer was busy"
	case e.Current || !c.needsVersion(now, e.Version):
		c.retryPull(now, NotAheadRetryMin, NotAheadRetryMax, "a peer was not ahead")
	default:
		p.needsFullCopy = false
		c.addCandidate(e.Peer, e.Version)
		c.emit(Apply{Source: SourcePull, Peer: e.Peer})
	}
}

// retryPull schedules another pull after a random delay from low to below high if the daemon is still behind.
func (c *Core) retryPull(now time.Time, low, high time.Duration, reason string) {
	p := &c.pull
	if c.needsVersion(now, p.targetVersion) {
		p.nextPullAt, p.reason = now.Add(c.randomDuration(low, high)), reason
	}
}

// continuePull schedules the next pull if a version above the one held is known, and cancels it otherwise.
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

// pullDueAt returns the time of the next pull, zero for none.
func (c *Core) pullDueAt() time.Time {
	if c.pull.pending {
		return time.Time{}
	}
	return c.pull.nextPullAt
}
