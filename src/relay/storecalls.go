package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
)

// LeaseKey returns the store key of the lease of a reader slot in a failure domain.
func LeaseKey(domain string, slot int) string { return fmt.Sprintf("relay/reader/%s/%d", domain, slot) }

func (l *loop) watchHead(a WatchHead) {
	l.callStore(func(ctx context.Context) input {
		ctx, cancel := context.WithTimeout(ctx, a.Wait+WatchTimeoutMargin)
		defer cancel()
		ref, err := ledger.WatchReference(ctx, l.Store, a.AfterRevision, a.Wait)
		return l.headResult(ref, err, ctx.Err() != nil)
	})
}

func (l *loop) readHead() {
	l.callStore(func(ctx context.Context) input {
		ref, err := ledger.ReadReference(ctx, l.Store)
		return l.headResult(ref, err, false)
	})
}

func (l *loop) headResult(ref ledger.Reference, err error, timedOut bool) input {
	if err != nil {
		l.setStoreStatus(timedOut) // a watch that timed out does not mark the store as down; the read that follows does if it fails
		l.logVerbose("reading store head failed", "reason", err.Error())
		return input{event: HeadFailed{TimedOut: timedOut}}
	}
	l.setStoreStatus(true)
	return input{event: HeadSeen{Revision: ref.Revision, Version: ref.Version()}, reference: &ref}
}

// fetch reads the documents of the head last read.
func (l *loop) fetch() {
	held, head := l.config.held, l.head
	l.callStore(func(ctx context.Context) input {
		u, err := ledger.FetchUpdate(ctx, l.Store, held, head)
		if err != nil {
			l.setStoreStatus(false)
			l.Log.Info("fetching documents from store failed", "version", head.Version(), "reason", err.Error())
			return input{event: FetchFailed{}}
		}
		return input{fetched: &u}
	})
}

func (l *loop) grant(a Grant) {
	holder := fmt.Sprintf("%016x", l.core.Self)
	key := LeaseKey(l.core.Domain, a.Slot)
	l.callStore(func(ctx context.Context) input {
		lease, err := l.Store.Grant(ctx, key, holder, a.TTL)
		in := l.leaseResult(err)
		if err == nil {
			in.lease = &lease
		}
		return in
	})
}

func (l *loop) renew() {
	lease := *l.lease
	l.callStore(func(ctx context.Context) input { return l.leaseResult(l.Store.Renew(ctx, lease)) })
}

// leaseResult returns the input for the outcome of a Grant or Renew; problem.Conflict means that the lease is not held.
func (l *loop) leaseResult(err error) input {
	switch {
	case err == nil:
		l.setStoreStatus(true)
		return input{event: LeaseAnswered{Held: true}}
	case errors.Is(err, problem.Conflict):
		l.setStoreStatus(true)
		return input{event: LeaseAnswered{}}
	}
	l.setStoreStatus(false)
	return input{event: LeaseFailed{}}
}

func (l *loop) releaseInBackground() {
	if l.lease == nil {
		return
	}
	lease := *l.lease
	l.lease = nil
	l.storePool.Submit(func() { _ = l.Store.Release(l.ctx, lease) })
}

// releaseOnStop releases the lease at a planned stop, so that the next reader in rank need not wait for it to expire.
func (l *loop) releaseOnStop() {
	if l.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), releaseTimeout)
	defer cancel()
	_ = l.Store.Release(ctx, *l.lease)
}

// callStore runs a store call in the background; the core keeps at most one of each kind in progress.
func (l *loop) callStore(call func(ctx context.Context) input) {
	l.storePool.Submit(func() { l.sendInput(call(l.ctx)) })
}

// setStoreStatus records whether the store counts as healthy after a call; the time is set by the first call and changes only with the status.
func (l *loop) setStoreStatus(healthy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if healthy == l.status.storeDown || l.status.storeChangedAt.IsZero() {
		l.status.storeDown, l.status.storeChangedAt = !healthy, l.now()
	}
}
