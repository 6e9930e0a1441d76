package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
)

// LeaseKey returns the key of a reader's lease in a failure domain.
func LeaseKey(domain string, slot int) string { return fmt.Sprintf("relay/reader/%s/%d", domain, slot) }

func (l *loop) watchHead(a WatchHead) {
	l.callStore(func(ctx context.Context) input {
		ctx, cancel := context.WithTimeout(ctx, a.Wait+WatchTimeoutMargin)
		defer cancel()
		n, err := ledger.WatchNotice(ctx, l.Store, a.AfterRevision, a.Wait)
		return l.headInput(n, err, ctx.Err() != nil)
	})
}

func (l *loop) readHead() {
	l.callStore(func(ctx context.Context) input {
		n, err := ledger.ReadNotice(ctx, l.Store)
		return l.headInput(n, err, false)
	})
}

func (l *loop) headInput(n ledger.Notice, err error, silent bool) input {
	if err != nil {
		l.storeAnswered(silent)
		l.log("head not read", "reason", err.Error())
		return input{event: HeadFailed{TimedOut: silent}}
	}
	l.storeAnswered(true)
	return input{event: HeadSeen{Revision: n.Revision, Version: n.Version()}, notice: &n}
}

// fetch reads the documents of the head seen last.
func (l *loop) fetch() {
	held, head := l.holder.held, l.head
	l.callStore(func(ctx context.Context) input {
		u, err := ledger.Fetch(ctx, l.Store, held, head)
		if err != nil {
			l.storeAnswered(false)
			l.Log.Info("documents not read", "version", head.Version(), "reason", err.Error())
			return input{event: FetchFailed{}}
		}
		return input{fetch: &u}
	})
}

func (l *loop) grant(a Grant) {
	holder := fmt.Sprintf("%016x", l.core.Self)
	key := LeaseKey(l.core.Domain, a.Slot)
	l.callStore(func(ctx context.Context) input {
		lease, err := l.Store.Grant(ctx, key, holder, a.TTL)
		in := l.leaseInput(err)
		if err == nil {
			in.lease = &lease
		}
		return in
	})
}

func (l *loop) renew() {
	lease := *l.lease
	l.callStore(func(ctx context.Context) input { return l.leaseInput(l.Store.Renew(ctx, lease)) })
}

func (l *loop) leaseInput(err error) input {
	switch {
	case err == nil:
		l.storeAnswered(true)
		return input{event: LeaseAnswered{Held: true}}
	case errors.Is(err, problem.Conflict):
		l.storeAnswered(true)
		return input{event: LeaseAnswered{}}
	}
	l.storeAnswered(false)
	return input{event: LeaseFailed{}}
}

func (l *loop) release() {
	if l.lease == nil {
		return
	}
	lease := *l.lease
	l.lease = nil
	l.storePool.Submit(func() { _ = l.Store.Release(l.ctx, lease) })
}

// releaseLease gives the lease up at a planned stop, so that the next in rank need not wait for it to lapse.
func (l *loop) releaseLease() {
	if l.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), releaseTimeout)
	defer cancel()
	_ = l.Store.Release(ctx, *l.lease)
}

// callStore runs a call beside the loop; the core keeps at most one of each sort under way.
func (l *loop) callStore(call func(ctx context.Context) input) {
	l.storePool.Submit(func() { l.send(call(l.ctx)) })
}

// storeAnswered notes whether the store has answered.
func (l *loop) storeAnswered(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok == l.status.storeDown || l.status.storeSince.IsZero() {
		l.status.storeDown, l.status.storeSince = !ok, l.now()
	}
}
