package relay

import "time"

// headState is what has been read of the store's head, and the state of the calls that watch, read and fetch it.
type headState struct {
	watching      bool      // this daemon watches or polls the store, as a reader, in fallback or with DirectWatch
	callPending   bool      // a WatchHead or ReadHead is in progress
	known         bool      // a head has been read at least once
	readNext      bool      // the next call is a ReadHead, not a WatchHead
	pollUntil     time.Time // ReadHead instead of WatchHead until then, since a watch timed out
	watchTimedOut bool      // the last watch timed out, so the next is short
	nextCallAt    time.Time // earliest time of the next call
	lastCallAt    time.Time // start of the last call
	failures      int       // failed calls in a row, timed-out watches not counted
	revision      uint64    // of the last head read
	version       uint64    // of the last head read that was not older than the version held

	fetching        bool
	fetchFailures   int       // in a row
	fetchAt         time.Time // time to fetch the head's version, zero for none
	reportedVersion uint64    // head version last reported by StoreBehind
}

func (c *Core) startDueHeadCall(now time.Time) {
	h := &c.head
	allowed := c.mayWatch(now)
	if allowed && !h.watching {
		h.readNext = true // the head may have changed while this daemon did not watch
	}
	h.watching = allowed
	if h.callPending || now.Before(h.nextCallAt) {
		return
	}
	if !allowed {
		c.startDueFirstRead(now)
		return
	}
	h.callPending, h.lastCallAt = true, now
	if h.readNext || now.Before(h.pollUntil) {
		h.readNext = false
		c.emit(ReadHead{})
		return
	}
	wait := MaxWatchWait
	if h.watchTimedOut {
		wait = PollInterval
	}
	c.emit(WatchHead{AfterRevision: h.revision, Wait: wait})
}

// startDueFirstRead reads the head once for a starting daemon that may not watch.
func (c *Core) startDueFirstRead(now time.Time) {
	if c.needsHeadRead() && !now.Before(c.bootstrap.headReadAt) {
		c.head.callPending, c.head.lastCallAt = true, now
		c.emit(ReadHead{})
	}
}

func (c *Core) onHeadSeen(now time.Time, e HeadSeen) {
	h := &c.head
	h.callPending, h.known, h.failures = false, true, 0
	h.nextCallAt = c.nextCallTime(now, e.Revision)
	h.watchTimedOut = h.watchTimedOut && now.Before(h.pollUntil)
	h.revision = e.Revision
	if e.Version < c.heldVersion {
		c.reportStoreBehind(e.Version)
		return
	}
	if e.Version != h.version {
		h.version = e.Version
		h.fetchAt = time.Time{}
	}
	if !c.needsVersion(now, e.Version) {
		return
	}
	if !h.watching {
		c.pullHeadVersion(now, e.Version)
	} else if h.fetchAt.IsZero() {
		h.fetchAt = now.Add(c.fetchDelay())
	}
}

// nextCallTime returns the earliest time of the next head call after an answer with the given revision.
func (c *Core) nextCallTime(now time.Time, revision uint64) time.Time {
	switch {
	case !c.hasReaderRank() && c.inFallback(now):
		return now.Add(c.randomDuration(FallbackReadMin, FallbackReadMax))
	case now.Before(c.head.pollUntil):
		return now.Add(PollInterval)
	case revision == c.head.revision:
		return c.head.lastCallAt.Add(MinWatchInterval)
	}
	return now
}

// fetchDelay returns the delay before a fetch: time for further changes, if a version is held, and, on a standby reader, for a push from the readers before it in rank.
//
// It is random on a daemon that is not a reader by rank, and 0 with DirectWatch.
func (c *Core) fetchDelay() time.Duration {
	if c.DirectWatch {
		return 0
	}
	if !c.hasReaderRank() {
		return c.randomDuration(FallbackReadMin, FallbackReadMax)
	}
	standby := time.Duration(c.rank) * c.Tuning.StandbyDelay
	if c.heldVersion == 0 {
		return standby
	}
	return c.Tuning.CoalesceDelay + standby
}

// reportStoreBehind reports that the head is older than the version held, but not twice in a row for the same head version.
func (c *Core) reportStoreBehind(version uint64) {
	if c.head.reportedVersion == version {
		return
	}
	c.head.reportedVersion = version
	c.emit(StoreBehind{HeadVersion: version, HeldVersion: c.heldVersion})
}

func (c *Core) onHeadFailed(now time.Time, e HeadFailed) {
	h := &c.head
	h.callPending, h.readNext = false, true
	if e.TimedOut {
		h.pollUntil, h.watchTimedOut = now.Add(PollDuration), true
		h.nextCallAt = now
		return
	}
	h.nextCallAt = now.Add(c.backoff(h.failures))
	if !c.hasReaderRank() && c.inFallback(now) {
		h.nextCallAt = now.Add(c.randomDuration(FallbackReadMin, FallbackReadMax))
	}
	h.failures++
}

func (c *Core) startDueFetch(now time.Time) {
	h := &c.head
	if h.fetchAt.IsZero() || h.fetching {
		return
	}
	if !h.watching || !c.needsVersion(now, h.version) {
		h.fetchAt = time.Time{}
		return
	}
	if now.Before(h.fetchAt) {
		return
	}
	h.fetching, h.fetchAt = true, time.Time{}
	c.emit(Fetch{Version: h.version})
}

func (c *Core) onFetchFailed(now time.Time) {
	h := &c.head
	h.fetching = false
	h.fetchAt = now.Add(c.backoff(h.fetchFailures))
	h.fetchFailures++
	h.readNext = true // the documents of an outdated head may have been deleted, so read the head again
}

// headCallDueAt returns the time of the next WatchHead or ReadHead, zero for none.
func (c *Core) headCallDueAt() time.Time {
	h := &c.head
	switch {
	case h.callPending:
		return time.Time{}
	case h.watching:
		return h.nextCallAt
	case c.needsHeadRead() && h.nextCallAt.Before(c.bootstrap.headReadAt):
		return c.bootstrap.headReadAt
	case c.needsHeadRead():
		return h.nextCallAt
	}
	return time.Time{}
}

// fetchDueAt returns the time of the next Fetch, zero for none.
func (c *Core) fetchDueAt() time.Time {
	if c.head.fetching {
		return time.Time{}
	}
	return c.head.fetchAt
}
