package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	readerWait       = watchWait + 100*time.Millisecond // longest wait of a reader for changes before it replies without any; it replies earlier when a watch of the store has ended, so that the age of what it knows stays below one wait at any distance
	readerRetryDelay = 3 * time.Second                  // before a failed reader is used again
	peerTimeout      = 500 * time.Millisecond           // for a peer's answer, beyond the time that a request lets it wait
	answerTimeout    = 300 * time.Millisecond           // the same for a first reply of a build that sends configurations in parts, so that it is short
	maxSkipped       = 4                                // readers that an agent with a slow link skips one after the other before it watches the store; where the store refuses half of the agents, it serves one of five with a probability of 31/32
	maxSkipTime      = 500 * time.Millisecond           // without a source after which such an agent watches the store after two failed readers: several that are silent, or whose store is, would together take seconds
)

// source is what the agent watches for changes: the store itself or a reader.
type source struct {
	reader         wire.Member // zero for the store itself
	switched       bool        // differs from the source of the last call
	recentFailures int         // members that failed as readers during the last readerRetryDelay
}

// chooseSource returns the source for the next call.
func (f *Follower) chooseSource() source {
	f.mu.Lock()
	members := f.core.Members()
	f.mu.Unlock()
	src := source{}
	if f.hasSubstitute() {
		src.reader = f.substitute.member
		return f.noteSwitch(src)
	}
	failedRecently := func(m wire.Member) bool { return time.Since(f.failedReaders[m.ID]) < readerRetryDelay }
	m, ok := selectReader(members, f.EntryKey, f.Domain, f.Keys, func(m wire.Member) bool {
		if failedRecently(m) {
			src.recentFailures++
		}
		return f.hasSlowLink() && failedRecently(m)
	})
	if !ok {
		f.lostReaderID = 0 // this agent is a reader, or knows none
	}
	maxFailures := 1 // after two failed readers, the store itself is watched
	if f.hasSlowLink() && f.cutOffFor() <= maxSkipTime {
		maxFailures = maxSkipped
	}
	if ok && !failedRecently(m) && src.recentFailures <= maxFailures {
		src.reader = m
	}
	return f.noteSwitch(src)
}

// noteSwitch logs a change of the source.
func (f *Follower) noteSwitch(src source) source {
	if src.switched = src.reader.ID != f.readerID; src.switched {
		f.Log.Info("watch source changed", "through", src.reader.ID, "before", f.readerID, "passed_over", src.recentFailures, "reason", "readers or their links changed, or a reader failed")
		f.readerID = src.reader.ID
	}
	return src
}

// hasSlowLink reports whether this agent's link is too slow to read the store in time when versions
// follow one another quickly. If so, a failed reader is replaced by another one; the store is
// watched only after maxSkipped, or after two and maxSkipTime. slowLinkShare, which compares links
// with one another, is independent of it.
func (f *Follower) hasSlowLink() bool { return f.MaxTransferTime > relistTimeout }

// isOfEarlierEra reports whether a revision is of an earlier era than the last answer of the store
// or a reader.
func (f *Follower) isOfEarlierEra(revision uint64) bool {
	era, _ := SplitRevision(revision)
	current, _ := SplitRevision(f.watchRevision)
	return era < current
}

// watchReader waits for changes at a reader. A reader that does not answer, is in an earlier era of
// the store, follows it through this agent, or reports that it has lost the store or not yet listed
// it, is skipped for readerRetryDelay,
// or until the store has failed at this agent as well.
func (f *Follower) watchReader(ctx context.Context, src source) error {
	wait := readerWait
	_, hasFailed := f.failedReaders[src.reader.ID]
	isSubstitute := src.reader.ID == f.substitute.member.ID
	if src.switched && (src.recentFailures > 0 || hasFailed || isSubstitute) {
		wait = 0 // check at once whether this reader answers
	}
	began, sentAt := time.Now(), clock.NowWithSuspension()
	m := src.reader
	timeout, firstTimeout := wait+peerTimeout+f.MaxTransferTime/3, time.Duration(0)
	if f.isNewBuild(m.ID) { // each part has a timeout of its own
		timeout, firstTimeout = wait+peerTimeout+f.MaxTransferTime, wait+answerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	config, version := f.config()
	r, err := f.exchange(ctx, m, wire.RegistryRequest{Config: config, ConfigVersion: version, After: f.watchRevision, WaitMS: wait.Milliseconds()}, firstTimeout)
	f.lostReaderID = 0
	behind := err == nil && f.isOfEarlierEra(r.Revision)
	loop := err == nil && r.Source == f.ID
	if err == nil && r.Lost {
		f.lostReaderID = m.ID
	}
	if err != nil || r.Lost || behind || loop || isSubstitute && r.Source != m.ID {
		if len(f.failedReaders) > maxQueries { // keeps the map small
			clear(f.failedReaders)
		}
		f.failedReaders[m.ID] = time.Now()
		if isSubstitute {
			f.substitute = substitute{}
		}
		since := time.Now()
		if err != nil { // it has not answered in the time that it may wait for changes
			since = began.Add(min(wait, since.Sub(began)))
		}
		f.noteCutOff(since)
		f.Log.Info("skipping reader", "member", m.ID, "lost", r.Lost, "behind", behind, "loop", loop, "substitute", isSubstitute, "failed", err != nil)
		return nil // the next call reads the store or another reader at once
	}
	f.watchRevision = max(f.watchRevision, r.Revision)
	f.listed = f.listed || f.hasListedOnce() // with a substitute: what it reports continues from watchRevision
	f.step(StoreAnswered{})
	f.step(PeerReplied{Reply: r, Authoritative: true})
	f.noteAsOf(replyAsOf(r, sentAt))
	f.setSource(r.Source)
	if r.Source != 0 || !f.isNewBuild(m.ID) { // otherwise the reader waits for the store itself
		f.endCutOff()
	}
	return nil
}

// hasListedOnce reports whether this agent has listed the store since its start.
func (f *Follower) hasListedOnce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.core.start.askedAt.IsZero()
}

// isLost reports whether the store and the readers count as lost.
func (f *Follower) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.core.storeLostAt.IsZero()
}

// noteNewBuild records that a member sends and reads configurations in parts.
func (f *Follower) noteNewBuild(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.newBuilds) > maxRemoved { // keeps the map small
		clear(f.newBuilds)
	}
	f.newBuilds[id] = true
}

func (f *Follower) isNewBuild(id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newBuilds[id]
}
