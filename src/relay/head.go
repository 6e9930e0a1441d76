package relay

import "time"

// headState is what a reader knows of the store's head and of its calls for it.
type headState struct {
	reading   bool      // watches the store
	calling   bool      // a WatchHead or ReadHead is under way
	read      bool      // the store has answered at least once
	poll      bool      // read instead of watch next
	pollUntil time.Time // watches stay silent
	silent    bool      // the last watch did, so the next is short
	callAt    time.Time // of the next call
	calledAt  time.Time // of the last call
	failures  int       // calls without an answer in a row
	revision  uint64
	version   uint64

	fetching  bool
	misses    int       // fetches in a row that did not lead to a version
	fetchAt   time.Time // of the fetch of the head's version, zero for none
	behindOld uint64    // head that was last reported as behind
}

func (c *Core) dueHead(now time.Time) {
	h := &c.head
	may := c.mayRead(now)
	if may && !h.reading {
		h.poll = true // the head may have changed while nobody watched
	}
	h.reading = may
	if h.calling || now.Before(h.callAt) {
		return
	}
	if !may {
		c.dueFirstRead(now)
		return
	}
	h.calling, h.calledAt = true, now
	if h.poll || now.Before(h.pollUntil) {
		h.poll = false
		c.do(ReadHead{})
		return
	}
	wait := MaxWatchWait
	if h.silent {
		wait = PollInterval
	}
	c.do(WatchHead{AfterRevision: h.revision, Wait: wait})
}

// dueFirstRead reads the head for a daemon that starts and is no reader.
func (c *Core) dueFirstRead(now time.Time) {
	if c.needsRead() && !now.Before(c.join.readAt) {
		c.head.calling, c.head.calledAt = true, now
		c.do(ReadHead{})
	}
}

func (c *Core) onHeadSeen(now time.Time, e HeadSeen) {
	h := &c.head
	h.calling, h.read, h.failures = false, true, 0
	h.callAt = c.nextCall(now, e.Revision)
	h.silent = h.silent && now.Before(h.pollUntil)
	h.revision = e.Revision
	if e.Version < c.have {
		c.reportBehind(e.Version)
		return
	}
	if e.Version != h.version {
		h.version = e.Version
		h.fetchAt = time.Time{}
	}
	if !c.wants(now, e.Version) {
		return
	}
	if !h.reading {
		c.pullTo(now, e.Version)
	} else if h.fetchAt.IsZero() {
		h.fetchAt = now.Add(c.fetchDelay())
	}
}

// nextCall returns the time of the next look at the head.
func (c *Core) nextCall(now time.Time, revision uint64) time.Time {
	switch {
	case !c.reader() && c.alone(now):
		return now.Add(c.between(FallbackReadMin, FallbackReadMax))
	case now.Before(c.head.pollUntil):
		return now.Add(PollInterval)
	case revision == c.head.revision:
		return c.head.calledAt.Add(MinWatchInterval)
	}
	return now
}

// fetchDelay leaves time for further changes, and on a standby for the push of the reader before it.
func (c *Core) fetchDelay() time.Duration {
	if c.Baseline {
		return 0
	}
	if !c.reader() {
		return c.between(FallbackReadMin, FallbackReadMax)
	}
	standby := time.Duration(c.rank) * c.Tuning.StandbyDelay
	if c.have == 0 {
		return standby
	}
	return c.Tuning.CoalesceDelay + standby
}

// reportBehind reports each head that is older than the version held once.
func (c *Core) reportBehind(version uint64) {
	if c.head.behindOld == version {
		return
	}
	c.head.behindOld = version
	c.do(StoreBehind{HeadVersion: version, HeldVersion: c.have})
}

func (c *Core) onHeadFailed(now time.Time, e HeadFailed) {
	h := &c.head
	h.calling, h.poll = false, true
	if e.TimedOut {
		h.pollUntil, h.silent = now.Add(PollDuration), true
		h.callAt = now
		return
	}
	h.callAt = now.Add(c.backoff(h.failures))
	if !c.reader() && c.alone(now) {
		h.callAt = now.Add(c.between(FallbackReadMin, FallbackReadMax))
	}
	h.failures++
}

func (c *Core) dueFetch(now time.Time) {
	h := &c.head
	if h.fetchAt.IsZero() || h.fetching {
		return
	}
	if !h.reading || !c.wants(now, h.version) {
		h.fetchAt = time.Time{}
		return
	}
	if now.Before(h.fetchAt) {
		return
	}
	h.fetching, h.fetchAt = true, time.Time{}
	c.do(Fetch{Version: h.version})
}

func (c *Core) onFetchFailed(now time.Time) {
	h := &c.head
	h.fetching = false
	h.fetchAt = now.Add(c.backoff(h.misses))
	h.misses++
	h.poll = true // a head so old that its documents are gone is read again
}

func (c *Core) nextHead() time.Time {
	h := &c.head
	switch {
	case h.calling:
		return time.Time{}
	case h.reading:
		return h.callAt
	case c.needsRead() && h.callAt.Before(c.join.readAt):
		return c.join.readAt
	case c.needsRead():
		return h.callAt
	}
	return time.Time{}
}

func (c *Core) nextFetch() time.Time {
	if c.head.fetching {
		return time.Time{}
	}
	return c.head.fetchAt
}
