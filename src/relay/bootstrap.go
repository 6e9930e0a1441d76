package relay

import "time"

// bootstrapState is the state of a starting daemon until Open, which brings its first version into force.
//
// A daemon keeps no version across a restart, and the first push that it receives can be older than the version that it served before.
// It therefore asks several peers and the store, and brings a version into force only once at least one side has answered.
type bootstrapState struct {
	startedAt            time.Time
	headReadAt           time.Time       // earliest time of the first read of the store's head
	done                 bool            // Open has been emitted
	peerWaitElapsed      bool            // BootstrapPeerWait has passed
	fallbackDelayElapsed bool            // BootstrapFallbackDelay has passed
	asked                map[uint64]bool // by member ID
	pendingAsks          int             // Asks in progress
	peerAnswers          int             // peers that have answered
	highestPeerVersion   uint64          // highest version among the answers
}

// requiredPeers returns the number of peers that must have reported their version.
func (c *Core) requiredPeers() int {
	others := 0
	for _, m := range c.members {
		if m.ID != c.Self {
			others++
		}
	}
	return min(others, BootstrapPeers)
}

// askPeers asks further peers for their version, until requiredPeers have answered or maxAskedPeers have been asked. If few members are listed, it brings the first head read forward.
func (c *Core) askPeers(time.Time) {
	b := &c.bootstrap
	if c.DirectWatch || b.done {
		return
	}
	if t := b.startedAt.Add(time.Duration(len(c.members)) * BootstrapReadSpacing); t.Before(b.headReadAt) {
		b.headReadAt = t
	}
	if b.asked == nil {
		b.asked = map[uint64]bool{}
	}
	for b.peerAnswers+b.pendingAsks < c.requiredPeers() && len(b.asked) < maxAskedPeers {
		to := c.randomMember(func(m Member) bool { return !b.asked[m.ID] })
		if to == 0 {
			return
		}
		b.asked[to] = true
		b.pendingAsks++
		c.emit(Ask{To: to, Timeout: DeltaTimeout})
	}
}

func (c *Core) onAsked(now time.Time, e Asked) {
	b := &c.bootstrap
	b.pendingAsks--
	if e.Failed {
		c.askPeers(now)
		return
	}
	b.peerAnswers++
	b.highestPeerVersion = max(b.highestPeerVersion, e.Version)
	if c.needsVersion(now, e.Version) {
		c.addCandidate(e.Peer, e.Version)
		if !c.pull.pending {
			c.pull.nextPullAt, c.pull.reason = now, "start"
		}
	}
	c.askPeers(now)
}

// openIfReady brings the version held into force once canOpen allows it.
func (c *Core) openIfReady(now time.Time) {
	b := &c.bootstrap
	b.fallbackDelayElapsed = b.fallbackDelayElapsed || c.inFallback(now)
	b.peerWaitElapsed = b.peerWaitElapsed || now.Sub(b.startedAt) >= BootstrapPeerWait
	if b.done || c.heldVersion == 0 {
		return
	}
	if reason, ok := c.canOpen(); ok {
		c.open(reason)
	}
}

// canOpen reports whether the version held may be brought into force, and why.
//
// The store's head is at or above every version ever served, unless the store was restored from a backup.
// Without the head, the daemon needs an answer of a peer and waits for at least BootstrapPeerWait, so that a version that was being distributed when it started can arrive.
// After BootstrapFallbackDelay, a higher version that could not be obtained no longer matters if only peers have reported it, or only the store.
func (c *Core) canOpen() (reason string, ok bool) {
	b := &c.bootstrap
	atLeastHead := c.head.known && c.heldVersion >= c.head.version
	atLeastPeers := c.heldVersion >= b.highestPeerVersion
	switch {
	case c.DirectWatch:
		return "the store was read", atLeastHead
	case atLeastHead && atLeastPeers && b.peerAnswers >= c.requiredPeers():
		return "the store and enough peers have answered", true
	case atLeastHead && atLeastPeers && b.peerWaitElapsed:
		return "the store has answered and no more peers do", true
	case atLeastHead && b.fallbackDelayElapsed:
		return "the store has answered and no peer leads to a higher version", true
	case !c.head.known && b.peerWaitElapsed && b.peerAnswers > 0 && atLeastPeers:
		return "peers have answered and the store does not", true
	case b.fallbackDelayElapsed && b.peerAnswers > 0 && atLeastPeers:
		return "the store's version cannot be had", true
	}
	return "", false
}

// needsHeadRead reports whether a starting daemon still has to read the head once, whatever its rank.
func (c *Core) needsHeadRead() bool { return !c.DirectWatch && !c.bootstrap.done && !c.head.known }

func (c *Core) open(reason string) {
	c.bootstrap.done = true
	c.emit(Open{Version: c.heldVersion, Reason: reason})
}

// openDueAt returns the next time at which waiting alone may let the version held come into force, zero for none.
func (c *Core) openDueAt() time.Time {
	b := &c.bootstrap
	switch {
	case b.done || b.fallbackDelayElapsed:
		return time.Time{}
	case b.peerWaitElapsed:
		return b.startedAt.Add(BootstrapFallbackDelay)
	}
	return b.startedAt.Add(BootstrapPeerWait)
}

// inFallback reports whether BootstrapFallbackDelay has passed without a first version in force, so that the daemon may watch the store and fetch from it whatever its rank.
func (c *Core) inFallback(now time.Time) bool {
	return !c.DirectWatch && !c.bootstrap.done && now.Sub(c.bootstrap.startedAt) >= BootstrapFallbackDelay
}
