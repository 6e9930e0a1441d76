package relay

import "time"

// joinState is the state of a daemon until its first version is in force.
//
// A daemon keeps no version across a restart, and the first push that it receives can be older than the version that it served before.
// It therefore asks several peers or the store before it brings a version into force.
type joinState struct {
	startedAt          time.Time
	headReadAt         time.Time       // time of the first read of the store's head
	done               bool            // the first version is in force
	peerWaitElapsed    bool            // JoinPeerWait has passed
	fallbackElapsed    bool            // JoinFallbackDelay has passed
	asked              map[uint64]bool // by member ID
	pendingAsks        int             // Asks in progress
	peerAnswers        int             // peers that have answered
	highestPeerVersion uint64          // highest version among the answers
}

// requiredPeers returns the number of peers that must have reported their version.
func (c *Core) requiredPeers() int {
	others := 0
	for _, m := range c.members {
		if m.ID != c.Self {
			others++
		}
	}
	return min(others, JoinPeers)
}

// askPeers asks further peers for their version, until requiredPeers have answered.
func (c *Core) askPeers(time.Time) {
	j := &c.join
	if c.Baseline || j.done {
		return
	}
	if t := j.startedAt.Add(time.Duration(len(c.members)) * JoinReadSpacing); t.Before(j.headReadAt) {
		j.headReadAt = t
	}
	if j.asked == nil {
		j.asked = map[uint64]bool{}
	}
	for j.peerAnswers+j.pendingAsks < c.requiredPeers() && len(j.asked) < maxAskAttempts {
		to := c.randomMember(func(m Member) bool { return !j.asked[m.ID] })
		if to == 0 {
			return
		}
		j.asked[to] = true
		j.pendingAsks++
		c.emit(Ask{To: to, Timeout: DeltaTimeout})
	}
}

func (c *Core) onAsked(now time.Time, e Asked) {
	j := &c.join
	j.pendingAsks--
	if e.Failed {
		c.askPeers(now)
		return
	}
	j.peerAnswers++
	j.highestPeerVersion = max(j.highestPeerVersion, e.Version)
	if c.needsVersion(now, e.Version) {
		c.addSource(e.Peer, e.Version)
		if !c.pull.pending {
			c.pull.nextPullAt, c.pull.reason = now, "start"
		}
	}
	c.askPeers(now)
}

// openIfReady brings the version held into force once no higher version can be found.
func (c *Core) openIfReady(now time.Time) {
	j := &c.join
	j.fallbackElapsed = j.fallbackElapsed || c.inFallback(now)
	j.peerWaitElapsed = j.peerWaitElapsed || now.Sub(j.startedAt) >= JoinPeerWait
	if j.done || c.heldVersion == 0 {
		return
	}
	if reason, ok := c.canOpen(); ok {
		c.open(reason)
	}
}

// canOpen reports whether the version held may be brought into force, and why.
//
// The store's head is at or above every version ever served. Without it, JoinPeerWait gives a version that was being distributed at the start time to arrive.
func (c *Core) canOpen() (reason string, ok bool) {
	j := &c.join
	reachedStore := c.head.answered && c.heldVersion >= c.head.version
	reachedPeers := c.heldVersion >= j.highestPeerVersion
	switch {
	case c.Baseline:
		return "the store was read", reachedStore
	case reachedStore && reachedPeers && j.peerAnswers >= c.requiredPeers():
		return "the store and enough peers have answered", true
	case reachedStore && reachedPeers && j.peerWaitElapsed:
		return "the store has answered and no more peers do", true
	case reachedStore && j.fallbackElapsed:
		return "the store has answered and no peer leads to a higher version", true
	case !c.head.answered && j.peerWaitElapsed && j.peerAnswers > 0 && reachedPeers:
		return "peers have answered and the store does not", true
	case j.fallbackElapsed && j.peerAnswers > 0 && reachedPeers:
		return "the store's version cannot be had", true
	}
	return "", false
}

// needsHeadRead reports whether the daemon still has to read the head once, whatever its rank.
func (c *Core) needsHeadRead() bool { return !c.Baseline && !c.join.done && !c.head.answered }

func (c *Core) open(reason string) {
	c.join.done = true
	c.emit(Open{Version: c.heldVersion, Reason: reason})
}

func (c *Core) joinDueAt() time.Time {
	j := &c.join
	switch {
	case j.done || j.fallbackElapsed:
		return time.Time{}
	case j.peerWaitElapsed:
		return j.startedAt.Add(JoinFallbackDelay)
	}
	return j.startedAt.Add(JoinPeerWait)
}

// inFallback reports whether JoinFallbackDelay has passed without a first version, so that the daemon reads the store whatever its rank.
func (c *Core) inFallback(now time.Time) bool {
	return !c.Baseline && !c.join.done && now.Sub(c.join.startedAt) >= JoinFallbackDelay
}
