package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	entryTTL                = 4 * time.Second         // TTL of the entry's lease unless MinTTL is longer; the entry of a killed agent stays in the store for as long, but broken links reveal its death sooner
	renewInterval           = entryTTL / 2            // leaves time for two attempts after a failed renewal; not lengthened with MinTTL, so that the loss of an entry is detected equally soon
	minRetryInterval        = 400 * time.Millisecond  // after a first failed call
	maxRetryInterval        = 1500 * time.Millisecond // after several; the entry is to be back within two seconds of the store's recovery
	tombstoneTTL            = 10 * time.Minute        // the longest lease requested; a leaving backend server has ended long before
	tombstoneLeaseInterval  = tombstoneTTL / 3        // age of the lease for tombstones from which the next write requests a new one
	storeCallTimeout        = time.Second             // per call to the store
	revokeTimeout           = 100 * time.Millisecond  // at a stop, where the lease expires by itself if the call fails
	minTombstoneRetryDelay  = 50 * time.Millisecond   // between attempts to write a tombstone, for which a drain has less than a second
	maxTombstoneRetryDelay  = 200 * time.Millisecond  // the same, after several failures
	lostTombstoneRetryDelay = 400 * time.Millisecond  // the same, if the store was lost already; two attempts fit into a heartbeat
)

// Announcer keeps the agent's entry in the store under a lease, and writes tombstones.
//
// Its exported fields are set before the first call of a method. Its methods may be called concurrently; Run must be called at most once.
type Announcer struct {
	Store    Store
	Keys     Keys
	EntryKey string // key of the agent's entry
	// MinTTL is the shortest lease that the store grants.
	MinTTL time.Duration
	Log    logr.Logger

	once      sync.Once
	wake      chan struct{}
	unwritten chan struct{} // holds a token if the entry may not be in the store

	desiredMu        sync.Mutex
	desiredEntry     wire.Member
	desiredTombstone tombstone   // incarnations to be recorded as leaving
	entryMissing     bool        // a listing or a watch has shown that the store lacks the entry
	confirmedEntry   wire.Member // as the store has it, zero if it is not known to have it

	storeMu                 sync.Mutex // guards the fields below, but see lossLogged; held during all calls to the store but RenewLease and the List of ReadTombstone
	entryLease              uint64
	entryRevision           uint64
	writtenEntry            wire.Member
	writtenTombstone        tombstone
	era                     uint64 // of the store in which the fields above are valid
	tombstoneLease          uint64 // granted in advance, so that a drain takes one call
	tombstoneLeaseGrantedAt time.Time
	lossLogged              bool // "store lost" has been logged, "store recovered" not yet; used without storeMu around RenewLease, where a concurrent change could lose or repeat a log line
}

func (a *Announcer) init() {
	a.once.Do(func() { a.wake, a.unwritten = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// SetEntry changes the entry, which Run then writes. It does not wait for the store.
func (a *Announcer) SetEntry(m wire.Member) {
	a.init()
	a.desiredMu.Lock()
	changed := a.desiredEntry != m
	a.desiredEntry = m
	a.desiredMu.Unlock()
	if changed {
		a.wakeRun()
	}
}

// MarkEntryMissing makes Run write the entry again. It does not wait for the store.
func (a *Announcer) MarkEntryMissing() {
	a.init()
	a.desiredMu.Lock()
	a.entryMissing = true
	a.desiredMu.Unlock()
	a.wakeRun()
}

func (a *Announcer) wakeRun() {
	for _, c := range []chan struct{}{a.wake, a.unwritten} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// unwrittenEntry returns the entry and true while other agents should use this one and the store is
// not known to have the entry.
func (a *Announcer) unwrittenEntry() (wire.Member, bool) {
	a.desiredMu.Lock()
	defer a.desiredMu.Unlock()
	m := a.desiredEntry
	return m, m.ID != 0 && m.Ready && m.State == wire.StateAlive && (m != a.confirmedEntry || a.entryMissing)
}

// confirm records the entry that the store has, zero for none.
func (a *Announcer) confirm(m wire.Member) {
	a.desiredMu.Lock()
	defer a.desiredMu.Unlock()
	a.confirmedEntry = m
}

// WriteTombstone records in the store that all incarnations of an instance ID that started at or before latestStart have announced that they are leaving, and writes the entry as last set. It retries until ctx is done. A later call replaces the tombstone of an earlier one that has not finished; the earlier call may then return nil although its tombstone was not written. Otherwise, after a nil error the store holds the entry, if one is set, and the tombstone, which stays after the agent ends, until its lease of at most tombstoneTTL expires. After an error, Run still writes the tombstone when the store answers, unless a later call has replaced it.
func (a *Announcer) WriteTombstone(ctx context.Context, instance string, latestStart time.Time) error {
	a.init()
	a.desiredMu.Lock()
	a.desiredTombstone = tombstone{instance, latestStart.UnixMilli()}
	a.desiredMu.Unlock()
	minDelay, maxDelay := minTombstoneRetryDelay, maxTombstoneRetryDelay
	if a.storeLost() {
		minDelay, maxDelay = lostTombstoneRetryDelay, lostTombstoneRetryDelay
	}
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		err := a.reconcile(ctx)
		if err == nil || !clock.Sleep(ctx, delay) {
			return err
		}
	}
}

// storeLost reports whether the last call to the store failed.
func (a *Announcer) storeLost() bool {
	a.storeMu.Lock()
	defer a.storeMu.Unlock()
	return a.lossLogged
}

// ReadTombstone returns the latest start time that the tombstone of an instance ID covers, zero if there is no tombstone. It makes one call to the store, limited only by ctx. The error is of kind problem.Protocol if the tombstone is malformed.
func (a *Announcer) ReadTombstone(ctx context.Context, instance string) (time.Time, error) {
	key := a.Keys.TombstonePrefix + instance
	items, _, err := a.Store.List(ctx, key)
	for _, i := range items {
		if i.Key != key {
			continue
		}
		return parseTombstoneTime(i)
	}
	return time.Time{}, err
}

// Run maintains the entry until ctx is done, then revokes its lease. It always returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	a.init()
	next, retry := time.Duration(0), minRetryInterval
	t := time.NewTimer(next)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			a.revokeLease(context.WithoutCancel(ctx))
			return nil
		case <-a.wake:
		case <-t.C:
		}
		if err := a.renew(ctx); err != nil {
			next = retry - rand.N(retry/4)
			retry = min(2*retry, maxRetryInterval)
		} else {
			next, retry = renewInterval, minRetryInterval
		}
		t.Reset(next)
	}
}

// renew renews the lease if there is nothing to write, then writes what has changed, is missing, or was lost with its lease.
func (a *Announcer) renew(ctx context.Context) error {
	a.storeMu.Lock()
	lease := a.entryLease
	a.storeMu.Unlock()
	if lease != 0 && a.upToDate() {
		err := a.callStore(ctx, func(ctx context.Context) error { return a.Store.RenewLease(ctx, lease) })
		if errors.Is(err, problem.NotFound) {
			a.resetEntry()
		} else if err != nil {
			return err
		}
	}
	return a.reconcile(ctx)
}

// upToDate reports whether the entry has a lease and is not missing, and the entry and tombstone written last are the desired ones.
func (a *Announcer) upToDate() bool {
	a.desiredMu.Lock()
	desiredEntry, desiredTombstone, entryMissing := a.desiredEntry, a.desiredTombstone, a.entryMissing
	a.desiredMu.Unlock() // not held while waiting for storeMu: SetEntry and MarkEntryMissing must not wait for a call to the store
	a.storeMu.Lock()
	defer a.storeMu.Unlock()
	return a.entryLease != 0 && a.era == a.Store.Era() && !entryMissing && desiredEntry == a.writtenEntry && desiredTombstone == a.writtenTombstone
}

// resetEntry discards the lease and the revision of an entry that the store has lost.
func (a *Announcer) resetEntry() {
	a.storeMu.Lock()
	a.entryLease, a.entryRevision, a.writtenEntry = 0, 0, wire.Member{}
	a.storeMu.Unlock()
	a.confirm(wire.Member{})
}

// voidEarlierEra discards leases, revisions and what was written, if the store has come back from
// an older copy since: leases and revisions are given out again, and what was written may be gone.
// The caller must hold a.storeMu.
func (a *Announcer) voidEarlierEra() {
	era := a.Store.Era()
	if a.era == 0 || a.era == era {
		a.noteFirstEra()
		return
	}
	a.era = era
	a.entryLease, a.entryRevision, a.writtenEntry = 0, 0, wire.Member{}
	a.tombstoneLease, a.writtenTombstone = 0, tombstone{}
}

// noteFirstEra records the era that the first answer of the store has shown. The caller must hold
// a.storeMu.
func (a *Announcer) noteFirstEra() {
	if a.era == 0 {
		a.era = a.Store.Era()
	}
}

// reconcile writes the desired entry and tombstone unless both are as last written and the entry is not known to be missing.
func (a *Announcer) reconcile(ctx context.Context) error {
	a.storeMu.Lock()
	defer a.storeMu.Unlock()
	a.desiredMu.Lock()
	desiredEntry, desiredTombstone := a.desiredEntry, a.desiredTombstone
	if a.entryMissing {
		a.entryMissing, a.confirmedEntry = false, wire.Member{}
		a.entryLease, a.entryRevision, a.writtenEntry = 0, 0, wire.Member{}
	}
	a.desiredMu.Unlock()
	a.voidEarlierEra()
	if (desiredEntry.ID == 0 || a.entryLease != 0 && desiredEntry == a.writtenEntry) && desiredTombstone == a.writtenTombstone {
		return nil
	}
	err := a.write(ctx, desiredEntry, desiredTombstone)
	switch {
	case errors.Is(err, problem.NotFound):
		a.entryLease, a.tombstoneLease = 0, 0
		err = a.write(ctx, desiredEntry, desiredTombstone)
	case errors.Is(err, problem.Conflict):
		if err = a.reloadRevision(ctx); err == nil {
			err = a.write(ctx, desiredEntry, desiredTombstone)
		}
	}
	if err != nil {
		return err
	}
	if a.Store.Era() != a.era {
		return problem.New(problem.Unavailable, "store", "it came back from an older copy during a write", "write again")
	}
	a.writtenEntry, a.writtenTombstone = desiredEntry, desiredTombstone
	a.confirm(desiredEntry)
	if err := a.ensureTombstoneLease(ctx); err != nil {
		a.Log.Info("no lease granted in advance for tombstones", "reason", err.Error())
	}
	return nil
}

// write makes one attempt to write the entry and the tombstone; the caller must hold a.storeMu.
func (a *Announcer) write(ctx context.Context, entry wire.Member, t tombstone) error {
	if a.entryLease == 0 && entry.ID != 0 {
		err := a.callStore(ctx, func(ctx context.Context) (err error) {
			a.entryLease, err = a.Store.GrantLease(ctx, max(entryTTL, a.MinTTL))
			a.noteFirstEra()
			return err
		})
		if err != nil {
			a.entryLease = 0
			return err
		}
	}
	value, err := encodeMember(entry)
	if err != nil {
		return err
	}
	var txn Transaction
	if entry.ID != 0 {
		txn = Transaction{Preconditions: []Precondition{{a.EntryKey, a.entryRevision}}, Writes: []Write{{a.EntryKey, value, a.entryLease}}}
	}
	if t != a.writtenTombstone {
		if err := a.ensureTombstoneLease(ctx); err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, Write{a.Keys.TombstonePrefix + t.instance, strconv.AppendInt(nil, t.latestStartMS, 10), a.tombstoneLease})
	}
	return a.callStore(ctx, func(ctx context.Context) error {
		revision, err := a.Store.Commit(ctx, txn)
		if err != nil {
			return err
		}
		if entry.ID != 0 {
			a.entryRevision = revision
		}
		a.Log.Info("entry or tombstone written", "reason", "changed or missing", "state", entry.State, "ready", entry.Ready, "revision", revision, "left", t.instance)
		return nil
	})
}

// ensureTombstoneLease grants a new lease for tombstones if there is none or it is too old; the caller must hold a.storeMu.
func (a *Announcer) ensureTombstoneLease(ctx context.Context) error {
	if a.tombstoneLease != 0 && time.Since(a.tombstoneLeaseGrantedAt) < tombstoneLeaseInterval {
		return nil
	}
	return a.callStore(ctx, func(ctx context.Context) error {
		lease, err := a.Store.GrantLease(ctx, tombstoneTTL)
		a.noteFirstEra()
		if err == nil {
			a.tombstoneLease, a.tombstoneLeaseGrantedAt = lease, time.Now()
		}
		return err
	})
}

// reloadRevision reads the entry's revision; the caller must hold a.storeMu. It is needed if the answer to a write was lost, or if an earlier agent on this VM wrote the entry.
func (a *Announcer) reloadRevision(ctx context.Context) error {
	return a.callStore(ctx, func(ctx context.Context) error {
		items, _, err := a.Store.List(ctx, a.EntryKey)
		a.entryRevision = 0
		for _, i := range items {
			if i.Key == a.EntryKey {
				a.entryRevision = i.Revision
			}
		}
		return err
	})
}

// callStore runs f with a timeout and logs when the store is lost or recovers.
func (a *Announcer) callStore(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := f(ctx)
	failed := errors.Is(err, problem.Unavailable) || errors.Is(err, problem.Unsure)
	if failed != a.lossLogged {
		a.lossLogged = failed
		if failed {
			a.Log.Info("store lost", "duty", "own entry", "reason", err.Error())
		} else {
			a.Log.Info("store recovered", "duty", "own entry")
		}
	}
	return err
}

// revokeLease removes the entry, so that other agents need not wait until it expires.
func (a *Announcer) revokeLease(ctx context.Context) {
	a.storeMu.Lock()
	defer a.storeMu.Unlock()
	if a.entryLease == 0 || a.era != a.Store.Era() { // a lease of an earlier era may be another agent's by now
		return
	}
	lease := a.entryLease
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := a.callStore(ctx, func(ctx context.Context) error { return a.Store.RevokeLease(ctx, lease) }); err != nil {
		a.Log.Info("lease not revoked; the entry expires with it", "reason", err.Error())
	}
}
