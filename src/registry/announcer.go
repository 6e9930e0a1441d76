package registry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	entryTTL     = 4 * time.Second        // an agent that is killed stays listed for it at most; links tell its death sooner
	renewEvery   = entryTTL / 3           // a longer lease is renewed as often, so that its loss is seen as soon
	retryEvery   = 400 * time.Millisecond // after a failed call: two attempts in a second of a store that has come back
	markerTTL    = 10 * time.Minute       // the longest lease: a backend server that leaves is gone long before
	markerRenew  = markerTTL / 3
	announceCall = time.Second            // longest wait for the store
	endCall      = 100 * time.Millisecond // for the end of the lease at a stop, which lapses by itself
	leaveMin     = 50 * time.Millisecond  // between attempts to mark a drain, which has less than a second
	leaveMax     = 200 * time.Millisecond // the same, after several failures
)

// Announcer keeps the agent's entry in the store.
type Announcer struct {
	Store    Store
	Keys     Keys
	EntryKey string // of the entry
	// MinTTL is the shortest lease that the store grants.
	MinTTL time.Duration
	Log    logr.Logger

	once sync.Once
	wake chan struct{}

	state   sync.Mutex
	wanted  wire.Member
	marker  marker // incarnations whose leaving is to be marked
	missing bool   // the store lacks the entry

	mu       sync.Mutex // held during calls to the store
	lease    uint64
	revision uint64
	written  wire.Member
	marked   marker
	markers  uint64    // lease for markers, granted ahead, so that a drain costs one call
	kept     time.Time // when it was granted or renewed
	down     bool      // the last call failed
}

func (a *Announcer) init() { a.once.Do(func() { a.wake = make(chan struct{}, 1) }) }

// Set changes the entry, which Run then writes.
func (a *Announcer) Set(m wire.Member) {
	a.init()
	a.state.Lock()
	changed := a.wanted != m
	a.wanted = m
	a.state.Unlock()
	if changed {
		a.poke()
	}
}

// MarkMissing has the entry written again.
func (a *Announcer) MarkMissing() {
	a.init()
	a.state.Lock()
	a.missing = true
	a.state.Unlock()
	a.poke()
}

func (a *Announcer) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// WriteTombstone marks the incarnations of an instance that were born until a time as leaving, and writes the entry as last set; nil tells that both outlive the agent.
func (a *Announcer) WriteTombstone(ctx context.Context, instance string, until time.Time) error {
	a.init()
	a.state.Lock()
	a.marker = marker{instance, until.UnixMilli()}
	a.state.Unlock()
	for pause := leaveMin; ; pause = min(2*pause, leaveMax) {
		err := a.sync(ctx)
		if err == nil || !clock.Sleep(ctx, pause) {
			return err
		}
	}
}

// ReadTombstone returns the time until which incarnations of an instance that were born have been marked as leaving, zero for none.
func (a *Announcer) ReadTombstone(ctx context.Context, instance string) (time.Time, error) {
	key := a.Keys.TombstonePrefix + instance
	items, _, err := a.Store.List(ctx, key)
	for _, i := range items {
		if i.Key != key {
			continue
		}
		return parseMarker(i)
	}
	return time.Time{}, err
}

// Run keeps the entry until ctx is over, then ends its lease.
func (a *Announcer) Run(ctx context.Context) error {
	a.init()
	next := time.Duration(0)
	t := time.NewTimer(next)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			a.end(context.WithoutCancel(ctx))
			return nil
		case <-a.wake:
		case <-t.C:
		}
		next = renewEvery
		if err := a.renew(ctx); err != nil {
			next = retryEvery
		}
		t.Reset(next)
	}
}

// renew writes what has changed and renews the lease.
func (a *Announcer) renew(ctx context.Context) error {
	a.mu.Lock()
	lease := a.lease
	a.mu.Unlock()
	if lease != 0 && a.upToDate() {
		err := a.call(ctx, func(ctx context.Context) error { return a.Store.RenewLease(ctx, lease) })
		if errors.Is(err, problem.NotFound) {
			a.forget()
		} else if err != nil {
			return err
		}
	}
	return a.sync(ctx)
}

func (a *Announcer) upToDate() bool {
	a.state.Lock()
	wanted, marker, missing := a.wanted, a.marker, a.missing
	a.state.Unlock() // never held during a call to the store: Set must not wait for one
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != 0 && !missing && wanted == a.written && marker == a.marked
}

func (a *Announcer) forget() {
	a.mu.Lock()
	a.lease, a.revision, a.written = 0, 0, wire.Member{}
	a.mu.Unlock()
}

// sync brings the store to what is wanted.
func (a *Announcer) sync(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Lock()
	wanted, marker := a.wanted, a.marker
	if a.missing {
		a.missing = false
		a.lease, a.revision, a.written = 0, 0, wire.Member{}
	}
	a.state.Unlock()
	if (wanted.ID == 0 || a.lease != 0 && wanted == a.written) && marker == a.marked {
		return nil
	}
	err := a.write(ctx, wanted, marker)
	switch {
	case errors.Is(err, problem.NotFound):
		a.lease, a.markers = 0, 0
		err = a.write(ctx, wanted, marker)
	case errors.Is(err, problem.Conflict):
		if err = a.reread(ctx); err == nil {
			err = a.write(ctx, wanted, marker)
		}
	}
	if err != nil {
		return err
	}
	a.written, a.marked = wanted, marker
	if err := a.keepMarkers(ctx); err != nil {
		a.Log.Info("no lease ahead for markers", "reason", err.Error())
	}
	return nil
}

// write makes one attempt; a.mu is held.
func (a *Announcer) write(ctx context.Context, m wire.Member, left marker) error {
	if a.lease == 0 && m.ID != 0 {
		err := a.call(ctx, func(ctx context.Context) (err error) {
			a.lease, err = a.Store.GrantLease(ctx, max(entryTTL, a.MinTTL))
			return err
		})
		if err != nil {
			a.lease = 0
			return err
		}
	}
	value, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	var c Transaction
	if m.ID != 0 {
		c = Transaction{Preconditions: []Precondition{{a.EntryKey, a.revision}}, Writes: []Write{{a.EntryKey, value, a.lease}}}
	}
	if left != a.marked {
		if err := a.keepMarkers(ctx); err != nil {
			return err
		}
		c.Writes = append(c.Writes, Write{a.Keys.TombstonePrefix + left.instance, strconv.AppendInt(nil, left.untilMS, 10), a.markers})
	}
	return a.call(ctx, func(ctx context.Context) error {
		revision, err := a.Store.Commit(ctx, c)
		if err != nil {
			return err
		}
		if m.ID != 0 {
			a.revision = revision
		}
		a.Log.Info("entry written", "reason", "changed or missing", "state", m.State, "ready", m.Ready, "revision", revision, "left", left.instance)
		return nil
	})
}

// keepMarkers makes sure that there is a lease for markers; a.mu is held.
func (a *Announcer) keepMarkers(ctx context.Context) error {
	if a.markers != 0 && time.Since(a.kept) < markerRenew {
		return nil
	}
	return a.call(ctx, func(ctx context.Context) error {
		lease, err := a.Store.GrantLease(ctx, markerTTL)
		if err == nil {
			a.markers, a.kept = lease, time.Now()
		}
		return err
	})
}

// reread learns the entry's revision after a write of which the answer was lost, or of an earlier agent on this VM.
func (a *Announcer) reread(ctx context.Context) error {
	return a.call(ctx, func(ctx context.Context) error {
		items, _, err := a.Store.List(ctx, a.EntryKey)
		a.revision = 0
		for _, i := range items {
			if i.Key == a.EntryKey {
				a.revision = i.Revision
			}
		}
		return err
	})
}

// call bounds one call and logs when the store is lost or back.
func (a *Announcer) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, announceCall)
	defer cancel()
	err := f(ctx)
	failed := errors.Is(err, problem.Unavailable) || errors.Is(err, problem.Unsure)
	if failed != a.down {
		a.down = failed
		if failed {
			a.Log.Info("store lost", "duty", "own entry", "reason", err.Error())
		} else {
			a.Log.Info("store back", "duty", "own entry")
		}
	}
	return err
}

// end removes the entry, so that the others need not wait until it lapses.
func (a *Announcer) end(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lease == 0 {
		return
	}
	lease := a.lease
	ctx, cancel := context.WithTimeout(ctx, endCall)
	defer cancel()
	if err := a.call(ctx, func(ctx context.Context) error { return a.Store.RevokeLease(ctx, lease) }); err != nil {
		a.Log.Info("entry left to lapse", "reason", err.Error())
	}
}
