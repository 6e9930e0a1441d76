package registry

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
)

const (
	watchWait        = 800 * time.Millisecond // short, since a missing answer reveals a stalled connection, and the next watch, from the same revision, returns changes that this one missed
	watchMargin      = 500 * time.Millisecond // beyond watchWait for the answer of a slow store; both together leave time to list the store within the 2 s in which a configuration must be in force
	listTimeout      = time.Second            // twice what a slow store takes
	minCoalesceDelay = 50 * time.Millisecond  // pause after a change, so that one call returns several changes in close succession
	maxCoalesceDelay = 400 * time.Millisecond // longest such pause, well within the same 2 s
	quietPeriod      = time.Second            // time without changes after which the pause is short again
	relistTimeout    = 300 * time.Millisecond // of the listing after a first failure; a stalled watch, this listing and a call to the store by each agent that watches this one fit into the 2 s in which a configuration must be in force
)

// followOnce makes one call: a listing, or a watch from where the last call ended. firstRetry is set if exactly one call has failed since the last success. A failed reader and HistoryGone are not errors: the next call is made at once.
func (f *Follower) followOnce(ctx context.Context, firstRetry bool) error {
	if !f.listed && f.substitute.member.ID == 0 {
		return f.list(ctx, firstRetry)
	}
	src := f.chooseSource()
	switch {
	case src.reader.ID != 0:
		return f.watchReader(ctx, src)
	case src.switched && f.hasSlowLink():
		return f.list(ctx, firstRetry) // returns only the newest version, where a watch returns all since the last call
	}
	return f.watch(ctx)
}

// list reads all watched keys from the store, after a first failure with a shorter timeout.
func (f *Follower) list(ctx context.Context, firstRetry bool) error {
	timeout := listTimeout + f.MaxTransferTime
	if firstRetry {
		timeout = relistTimeout + f.MaxTransferTime/3
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began, sentAt := time.Now(), clock.NowWithSuspension()
	items, revision, err := f.Store.List(callCtx, f.Keys.WatchPrefix)
	f.listed = err == nil
	if err != nil {
		f.noteCutOff(began)
		return err
	}
	f.noteStoreReceipt(items, began)
	f.logNewEra(revision)
	f.watchRevision = revision
	f.logStoreRecovered("listed", revision)
	f.step(StoreAnswered{})
	f.step(Listed{Items: items, Revision: revision})
	f.noteAsOf(sentAt)
	f.setSource(f.ID)
	f.endCutOff()
	return nil
}

// watch waits for changes at the store.
func (f *Follower) watch(ctx context.Context) error {
	wait := f.nextWatchWait()
	callCtx, cancel := context.WithTimeout(ctx, wait+watchMargin+f.MaxTransferTime/3)
	defer cancel()
	sentAt := clock.NowWithSuspension()
	items, revision, err := f.Store.Watch(callCtx, f.Keys.WatchPrefix, f.watchRevision, wait)
	if err != nil {
		f.listed = false
		f.noteCutOff(time.Now())
		if errors.Is(err, HistoryGone) {
			f.Log.Info("watch history gone", "reason", "dropped by the store", "after", f.watchRevision)
			return nil
		}
		return err
	}
	f.step(StoreAnswered{})
	f.setSource(f.ID)
	f.afterChange = len(items) > 0
	if len(items) == 0 {
		if clock.NowWithSuspension().Sub(sentAt) >= wait {
			sentAt = sentAt.Add(wait) // the store has waited as long for changes
		}
		f.noteAsOf(sentAt)
		f.endCutOff()
		return nil // a watch without changes does not confirm a newer revision than the one it began from
	}
	f.watchRevision = max(f.watchRevision, revision)
	f.noteStoreReceipt(items, time.Now()) // when the store sent the change is not known
	f.step(Changed{Items: items, Revision: f.watchRevision})
	f.noteAsOf(sentAt)
	f.endCutOff()
	f.coalesce(ctx)
	return nil
}

// nextWatchWait returns how long the store may wait for changes. After changes it is shorter: the
// answer with them may have been on its way since any moment of that watch, so only the next answer
// shows how new it is.
func (f *Follower) nextWatchWait() time.Duration {
	if !f.afterChange {
		return watchWait
	}
	return min(max(0, watchWait-f.Age()), watchWait)
}

// coalesce pauses after a change, so that the next call returns several changes at once; the pause grows with each change in close succession.
func (f *Follower) coalesce(ctx context.Context) {
	if time.Since(f.coalescedAt) > quietPeriod {
		f.coalesceDelay = 0
	}
	f.coalesceDelay = min(max(minCoalesceDelay, 2*f.coalesceDelay), maxCoalesceDelay)
	clock.Sleep(ctx, f.coalesceDelay)
	f.coalescedAt = time.Now()
}

// logNewEra logs that the store has come back from an older copy, if a listing is of a later era
// than the last answer.
func (f *Follower) logNewEra(revision uint64) {
	before, beforeNumber := SplitRevision(f.watchRevision)
	era, number := SplitRevision(revision)
	if f.watchRevision > 0 && era > before {
		f.Log.Info("store came back from an older copy", "era", era, "before", before, "revision", number, "revision_before", beforeNumber, "outcome", "configuration kept by version, own entry and tombstone written again")
	}
}

func (f *Follower) logStoreLost(err error) {
	if !f.lossLogged {
		f.lossLogged = true
		f.Log.Info("store lost", "duty", "members and configuration", "reason", err.Error(), "after", f.watchRevision)
	}
}

func (f *Follower) logStoreRecovered(how string, revision uint64) {
	if f.lossLogged {
		f.lossLogged = false
		f.Log.Info("store recovered", "duty", "members and configuration", "how", how, "revision", revision)
	}
}
