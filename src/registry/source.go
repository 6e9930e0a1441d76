package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	readerWait  = 700 * time.Millisecond // for changes at a reader, which then answers all the same
	readerRetry = 3 * time.Second        // until a reader that failed is used again
	peerTimeout = 500 * time.Millisecond
)

// source is where changes are heard.
type source struct {
	reader     wire.Member // zero for the store itself
	changed    bool        // another one than for the last call
	passedOver int         // readers that did not answer lately
}

// choose returns where changes are heard now.
func (f *Follower) choose() source {
	f.mu.Lock()
	members := f.core.Members()
	f.mu.Unlock()
	src := source{}
	recent := func(m wire.Member) bool { return time.Since(f.failed[m.ID]) < readerRetry }
	m, ok := readerFor(members, f.EntryKey, f.Domain, f.Keys, func(m wire.Member) bool {
		if recent(m) {
			src.passedOver++
		}
		return f.thin() && recent(m)
	})
	if ok && !recent(m) && src.passedOver <= 1 {
		src.reader = m
	}
	if src.changed = src.reader.ID != f.reader; src.changed {
		f.Log.Info("store followed", "through", src.reader.ID, "before", f.reader, "passed_over", src.passedOver, "reason", "widest links of the failure domain")
		f.reader = src.reader.ID
	}
	return src
}

// thin tells whether the own link is too thin to read the store in time while versions come one after the other; then another reader is taken for one that fails.
func (f *Follower) thin() bool { return f.MaxTransferTime > againTimeout }

// subscribe waits for changes at a reader; one that does not answer, or does not follow the store, is passed over for a while.
func (f *Follower) subscribe(ctx context.Context, src source) error {
	wait := readerWait
	if src.changed && src.passedOver > 0 {
		wait = 0 // whether this one answers is to be known at once
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout+f.MaxTransferTime/3)
	defer cancel()
	m := src.reader
	r, err := f.exchange(ctx, m, wire.RegistryRequest{Config: f.revision(), After: f.after, WaitMS: wait.Milliseconds()})
	if err != nil || r.Lost {
		if len(f.failed) > questionsMax {
			clear(f.failed)
		}
		f.failed[m.ID] = time.Now()
		f.Log.Info("reader passed over", "member", m.ID, "lost", r.Lost, "failed", err != nil)
		return nil // the store is read at once
	}
	f.after = max(f.after, r.Revision)
	f.step(StoreRecovered{})
	f.step(PeerReplied{Reply: r, Authoritative: true})
	return nil
}
