package registry

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
)

const (
	watchWait    = 800 * time.Millisecond // a connection can go silent, and a watch can hear nothing: an answer within it proves that the store is followed
	watchMargin  = 500 * time.Millisecond // beyond it for an answer of a slow store; both leave time to read the store within two seconds
	listTimeout  = time.Second            // a slow store takes up to half of it
	settleMin    = 50 * time.Millisecond  // after a watch has told changes, so that a series of them costs one call
	settleMax    = 400 * time.Millisecond // while they go on: well inside the two seconds in which a configuration is to be in force
	calmAfter    = time.Second            // without changes after which a series is over
	againTimeout = 300 * time.Millisecond // for a list after a first failure: a silent watch, this and a list at each follower leave time within two seconds
)

// follow makes one call: a list, or a watch from where the last one ended; again tells that it repeats one that failed.
func (f *Follower) follow(ctx context.Context, again bool) error {
	if !f.listed {
		return f.list(ctx, again)
	}
	src := f.choose()
	switch {
	case src.reader.ID != 0:
		return f.subscribe(ctx, src)
	case src.changed && f.thin():
		return f.list(ctx, again) // the newest version only, where a watch tells all that came since
	}
	return f.watch(ctx)
}

// list takes over the whole picture.
func (f *Follower) list(ctx context.Context, again bool) error {
	limit := listTimeout + f.MaxTransferTime
	if again {
		limit = againTimeout + f.MaxTransferTime/3
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	items, revision, err := f.Store.List(call, f.Keys.WatchPrefix)
	f.listed = err == nil
	if err != nil {
		return err
	}
	f.after = revision
	f.noteBack("listed", revision)
	f.step(StoreRecovered{})
	f.step(Listed{Items: items, Revision: revision})
	return nil
}

// watch waits for changes at the store.
func (f *Follower) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchWait+watchMargin+f.MaxTransferTime/3)
	defer cancel()
	items, revision, err := f.Store.Watch(call, f.Keys.WatchPrefix, f.after, watchWait)
	if err != nil {
		f.listed = false
		if errors.Is(err, HistoryGone) {
			f.Log.Info("history gone", "reason", "the store dropped it", "after", f.after)
			return nil
		}
		return err
	}
	f.step(StoreRecovered{})
	if len(items) == 0 {
		return nil // a watch that heard nothing proves no more than the revision it began from
	}
	f.after = max(f.after, revision)
	f.step(Changed{Items: items, Revision: f.after})
	f.rest(ctx)
	return nil
}

// rest waits after changes, the longer the closer they come.
func (f *Follower) rest(ctx context.Context) {
	if time.Since(f.changed) > calmAfter {
		f.settle = 0
	}
	f.settle = min(max(settleMin, 2*f.settle), settleMax)
	clock.Sleep(ctx, f.settle)
	f.changed = time.Now()
}

func (f *Follower) noteLost(err error) {
	if !f.lost {
		f.lost = true
		f.Log.Info("store lost", "duty", "members and configuration", "reason", err.Error(), "after", f.after)
	}
}

func (f *Follower) noteBack(how string, revision uint64) {
	if f.lost {
		f.lost = false
		f.Log.Info("store back", "duty", "members and configuration", "how", how, "revision", revision)
	}
}
