package registry

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// DefaultMaxStaleness is the default of Follower.MaxStaleness.
	DefaultMaxStaleness = 2 * time.Second
	// minDirectReadAge is the age above which the store is read directly, even if MaxStaleness leaves
	// less: while all is well, each agent hears of a completed watch before.
	minDirectReadAge     = watchWait + answerTimeout
	directReadJitter     = 100 * time.Millisecond // spreads the reads of agents that lose their source at the same time
	minDirectReadBackoff = 300 * time.Millisecond // after a direct read that failed or took longer than relistTimeout
	maxDirectReadBackoff = readerRetryDelay
)

// Age returns the age of what this agent knows of the store: all that the store acknowledged before
// has been applied. It is measured over all agents through which the store is followed, and
// suspensions count. It is the longest duration before the first answer.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked(clock.NowWithSuspension())
}

// ageLocked is Age at a time of clock.NowWithSuspension; the caller must hold f.mu.
func (f *Follower) ageLocked(now time.Time) time.Duration {
	if f.asOf.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(f.asOf)
}

// noteAsOf records that all that the store acknowledged before a time of clock.NowWithSuspension has
// been applied. It wakes the requests of members that wait for it.
func (f *Follower) noteAsOf(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.asOf) {
		f.asOf = at
		f.notifyLocked()
	}
}

// setAge states in a reply the age of what this agent knows, for a request that arrived at a time;
// the caller must hold f.mu. It is rounded up.
func (f *Follower) setAge(r *wire.RegistryReply, arrivedAt time.Time) {
	if !f.asOf.IsZero() {
		r.AgeMS = int64(math.Ceil(float64(arrivedAt.Sub(f.asOf)) / float64(time.Millisecond)))
	}
}

// replyAsOf returns the time of this agent's clock up to which a reply reflects the store, for a
// request sent at a time. The request may have arrived at any moment since, so the earliest counts.
func replyAsOf(r wire.RegistryReply, sentAt time.Time) time.Time {
	return sentAt.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// directReadAge returns the age above which this agent reads the store itself, so that the answer is
// applied before the age exceeds MaxStaleness; the caller must hold f.mu.
func (f *Follower) directReadAge() time.Duration {
	size := len(f.core.config.Value) + entryBytes*len(f.core.entries)
	transfer := time.Duration(float64(f.MaxTransferTime) * min(1, float64(size)/maxTransfer))
	limit := f.MaxStaleness
	if limit == 0 {
		limit = DefaultMaxStaleness
	}
	return max(limit-relistTimeout-directReadJitter-transfer-f.applyTime, minDirectReadAge)
}

// limitStaleness reads the store directly, beside the watch of the store or of a reader, whenever what
// this agent knows becomes too old. A reader may not know yet that the store, or the reader that it
// follows itself, no longer answers, and each agent of such a series takes a timeout to find out.
func (f *Follower) limitStaleness(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		f.mu.Lock()
		age, limit := f.ageLocked(clock.NowWithSuspension()), f.directReadAge()
		listing := f.asOf.IsZero() || !f.core.storeLostAt.IsZero() // Run calls the store itself
		f.mu.Unlock()
		switch {
		case listing:
			clock.Sleep(ctx, minDirectReadBackoff)
		case age < limit:
			clock.Sleep(ctx, limit-age+rand.N(directReadJitter))
		default:
			if f.readDirectly(ctx, age) {
				backoff = 0
				continue
			}
			backoff = min(max(2*backoff, minDirectReadBackoff), maxDirectReadBackoff)
			clock.Sleep(ctx, backoff-rand.N(backoff/4))
		}
	}
}

// readDirectly lists the store and applies the result. It reports whether that took no longer than a
// listing may: a store that is slow for this agent is not to be read again at once.
func (f *Follower) readDirectly(ctx context.Context, age time.Duration) bool {
	f.directReads.Inc()
	sentAt := clock.NowWithSuspension()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout+f.MaxTransferTime)
	defer cancel()
	items, revision, err := f.Store.List(callCtx, f.Keys.WatchPrefix)
	took := clock.NowWithSuspension().Sub(sentAt)
	f.Log.Info("store read directly", "reason", "what this agent knows is too old", "age_ms", age.Milliseconds(), "took_ms", took.Milliseconds(), "failed", err != nil)
	if err != nil {
		return false
	}
	f.noteStoreReceipt(items, sentAt)
	f.step(Listed{Items: items, Revision: revision})
	f.noteAsOf(sentAt)
	return took <= min(relistTimeout+f.MaxTransferTime/3, minDirectReadAge)
}
