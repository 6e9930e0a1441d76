package relay

import "time"

// joining is the time before the first version is in force.
//
// A daemon keeps nothing across a restart, so it asks several peers or the store before it serves: what it is pushed first can be older than what it served before.
type joining struct {
	startedAt time.Time
	readAt    time.Time // of the read of the store's head
	done      bool
	patient   bool // no longer waits for peers
	lonely    bool // has waited past JoinFallback
	asked     map[uint64]bool
	waiting   int    // Asks under way
	heard     int    // peers that have answered
	highest   uint64 // version that a peer has answered
}

// need returns the number of peers whose version must be known.
func (c *Core) need() int {
	others := 0
	for _, m := range c.members {
		if m.ID != c.Self {
			others++
		}
	}
	return min(others, JoinPeers)
}

// joinMembers asks peers for their version until enough have answered.
func (c *Core) joinMembers(time.Time) {
	j := &c.join
	if c.Baseline || j.done {
		return
	}
	if t := j.startedAt.Add(time.Duration(len(c.members)) * JoinReadSpacing); t.Before(j.readAt) {
		j.readAt = t
	}
	if j.asked == nil {
		j.asked = map[uint64]bool{}
	}
	for j.heard+j.waiting < c.need() && len(j.asked) < maxAskAttempts {
		to := c.other(func(m Member) bool { return !j.asked[m.ID] })
		if to == 0 {
			return
		}
		j.asked[to] = true
		j.waiting++
		c.do(Ask{To: to, Timeout: DeltaTimeout})
	}
}

func (c *Core) onAsked(now time.Time, e Asked) {
	j := &c.join
	j.waiting--
	if e.Failed {
		c.joinMembers(now)
		return
	}
	j.heard++
	j.highest = max(j.highest, e.Version)
	if c.wants(now, e.Version) {
		c.addSource(e.Peer, e.Version)
		if !c.pull.waiting {
			c.pull.at, c.pull.reason = now, "start"
		}
	}
	c.joinMembers(now)
}

// dueJoin takes the version held into force once it is known to be the highest that can be learnt of.
func (c *Core) dueJoin(now time.Time) {
	j := &c.join
	j.lonely = j.lonely || c.alone(now)
	j.patient = j.patient || now.Sub(j.startedAt) >= JoinPeerWait
	if j.done || c.have == 0 {
		return
	}
	if reason, ok := c.mayOpen(); ok {
		c.open(reason)
	}
}

// mayOpen weighs what the store and the peers have said.
//
// The store's head is at or above every version ever served. Without it, a version that was spreading at the start has had JoinPatience to arrive.
func (c *Core) mayOpen() (reason string, ok bool) {
	j := &c.join
	storeReached := c.head.read && c.have >= c.head.version
	peersReached := c.have >= j.highest
	switch {
	case c.Baseline:
		return "the store was read", storeReached
	case storeReached && peersReached && j.heard >= c.need():
		return "the store and enough peers have answered", true
	case storeReached && peersReached && j.patient:
		return "the store has answered and no more peers do", true
	case storeReached && j.lonely:
		return "the store has answered and no peer leads to a higher version", true
	case !c.head.read && j.patient && j.heard > 0 && peersReached:
		return "peers have answered and the store does not", true
	case j.lonely && j.heard > 0 && peersReached:
		return "the store's version cannot be had", true
	}
	return "", false
}

// needsRead tells whether the daemon reads the head once, whatever its rank.
func (c *Core) needsRead() bool { return !c.Baseline && !c.join.done && !c.head.read }

func (c *Core) open(reason string) {
	c.join.done = true
	c.do(Open{Version: c.have, Reason: reason})
}

func (c *Core) nextJoin() time.Time {
	j := &c.join
	switch {
	case j.done || j.lonely:
		return time.Time{}
	case j.patient:
		return j.startedAt.Add(JoinFallbackDelay)
	}
	return j.startedAt.Add(JoinPeerWait)
}

// alone tells whether the daemon has waited so long for its first version that it reads the store whatever its rank.
func (c *Core) alone(now time.Time) bool {
	return !c.Baseline && !c.join.done && now.Sub(c.join.startedAt) >= JoinFallbackDelay
}
