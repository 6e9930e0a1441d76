package relay

import (
	"slices"
	"time"
)

// pullState is the repair of a daemon that is behind; one pull is under way at a time.
type pullState struct {
	target  uint64   // highest version that a peer has shown
	sources []uint64 // peers that have shown it, the best last
	full    bool     // no delta will do
	at      time.Time
	waiting bool
	reason  string
}

func (c *Core) onPeerAhead(now time.Time, e PeerAhead) {
	if c.Baseline || !c.wants(now, e.Version) {
		return
	}
	c.addSource(e.Peer, e.Version)
	if c.pull.at.IsZero() && !c.pull.waiting {
		c.pull.at = now.Add(c.between(c.Tuning.PullDelayMin, c.Tuning.PullDelayMax))
		c.pull.reason = "a probe showed a peer ahead"
	}
}

// addSource remembers a peer that holds a version.
func (c *Core) addSource(peer, version uint64) {
	p := &c.pull
	p.target = max(p.target, version)
	p.sources = slices.DeleteFunc(p.sources, func(id uint64) bool { return id == peer })
	p.sources = append(p.sources, peer)
	p.sources = p.sources[max(len(p.sources)-maxSources, 0):]
}

// pullNow pulls without leaving time for a push, which has come and does not help.
func (c *Core) pullNow(now time.Time, peer, version uint64) {
	c.addSource(peer, version)
	c.pull.at, c.pull.reason = now, "a push does not follow the version held"
}

// pullTo pulls a version that the store has shown, from whoever holds it.
func (c *Core) pullTo(now time.Time, version uint64) {
	c.pull.target = max(c.pull.target, version)
	if c.pull.at.IsZero() && !c.pull.waiting {
		c.pull.at, c.pull.reason = now, "start"
	}
}

// pullFull pulls a full copy after an update that did not lead to the stated digest.
func (c *Core) pullFull(now time.Time, peer, version uint64) {
	c.addSource(peer, version)
	c.pull.full = true
	c.pull.at, c.pull.reason = now, "an update did not lead to its digest"
}

func (c *Core) duePull(now time.Time) {
	p := &c.pull
	if p.waiting || p.at.IsZero() || now.Before(p.at) {
		return
	}
	p.at = time.Time{}
	if !c.wants(now, p.target) {
		return
	}
	to := c.source()
	if to == 0 {
		return
	}
	p.waiting = true
	have, timeout := c.have, DeltaTimeout
	if p.full {
		have = 0
	}
	if have == 0 {
		timeout = FullCopyTimeout
	}
	c.do(Pull{To: to, HeldVersion: have, Reason: p.reason, Timeout: timeout})
}

// source returns the best peer to pull from and takes it off the list.
func (c *Core) source() uint64 {
	p := &c.pull
	if n := len(p.sources); n > 0 {
		id := p.sources[n-1]
		p.sources = p.sources[:n-1]
		return id
	}
	return c.other(func(Member) bool { return true })
}

func (c *Core) onPulled(now time.Time, e Pulled) {
	p := &c.pull
	p.waiting = false
	switch {
	case e.Failed:
		c.retryPull(now, PullRetryMin, PullRetryMax, "a peer did not answer")
	case e.RetryAfter > 0:
		if e.Alternative != 0 && e.Alternative != c.Self {
			c.addSource(e.Alternative, p.target)
		}
		p.at, p.reason = now.Add(c.between(e.RetryAfter, 2*e.RetryAfter)), "a peer was busy"
	case e.Current || !c.wants(now, e.Version):
		c.retryPull(now, NotAheadRetryMin, NotAheadRetryMax, "a peer was not ahead")
	default:
		p.full = false
		c.addSource(e.Peer, e.Version)
		c.do(Apply{Source: SourcePull, Peer: e.Peer})
	}
}

// retryPull tries another source when the daemon is still behind.
func (c *Core) retryPull(now time.Time, low, high time.Duration, reason string) {
	p := &c.pull
	if c.wants(now, p.target) {
		p.at, p.reason = now.Add(c.between(low, high)), reason
	}
}

// schedulePull goes on towards a higher version that was shown meanwhile.
func (c *Core) schedulePull(now time.Time) {
	p := &c.pull
	if p.waiting {
		return
	}
	if !c.wants(now, p.target) {
		p.at, p.full = time.Time{}, false
		return
	}
	if p.at.IsZero() {
		p.at, p.reason = now.Add(c.between(c.Tuning.PullDelayMin, c.Tuning.PullDelayMax)), "a peer is still ahead"
	}
}

func (c *Core) nextPull() time.Time {
	if c.pull.waiting {
		return time.Time{}
	}
	return c.pull.at
}
