package registry_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

const eventuallyTimeout = 5 * time.Second // more than twice the time that the awaited events may take: milliseconds, or up to configDeadline

func eventually(c *qt.C, what string, ok func() bool) {
	end := time.Now().Add(eventuallyTimeout)
	for !ok() {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("not %s", what))
		time.Sleep(time.Millisecond)
	}
}

// startAnnouncer runs an announcer until the test ends.
func startAnnouncer(c *qt.C, s *standin.RegistryStore) *registry.Announcer {
	a := &registry.Announcer{Store: s, Keys: testKeys, EntryKey: memberKey(addr(1)), Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return a
}

// SetEntry and MarkEntryMissing must not wait for the store: otherwise a stop during an outage of the store waits until the store answers, and requests are lost.
func TestAnnouncerSetDuringStoreStall(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	hold := make(chan struct{})
	a := startAnnouncer(c, s)
	a.SetEntry(member(1))
	eventually(c, "announced", func() bool { return s.Has(a.EntryKey) })
	s.Set(func() { s.Hold = hold })
	c.Cleanup(func() { close(hold) })
	go func() { _ = a.WriteTombstone(context.Background(), "i-1", time.UnixMilli(5)) }() // as on a heartbeat that announces a drain
	for i := range 400 {
		m := member(1)
		m.Slots = uint16(i)
		began := time.Now()
		a.SetEntry(m)
		a.MarkEntryMissing()
		c.Assert(time.Since(began) < registry.StoreCallTimeout/2, qt.IsTrue, qt.Commentf("call %d took %s", i, time.Since(began)))
		time.Sleep(time.Millisecond)
	}
}

// SetEntry must not wait for a drain's call to the store while a renewal checks the state. The test forces this interleaving, which TestAnnouncerSetDuringStoreStall reaches only by chance.
func TestAnnouncerSetDuringStoreCall(t *testing.T) {
	c := qt.New(t)
	a := &registry.Announcer{Store: standin.NewRegistryStore(), Keys: testKeys, EntryKey: memberKey(addr(1)), Log: logr.Discard()}
	registry.LockStore(a) // as during a call to the store
	renewal, set := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(renewal)
		registry.UpToDate(a)
	}()
	time.Sleep(20 * time.Millisecond)
	go func() {
		defer close(set)
		a.SetEntry(member(1))
	}()
	select {
	case <-set:
	case <-time.After(registry.StoreCallTimeout):
		t.Error("SetEntry waits for the store")
	}
	registry.UnlockStore(a)
	<-renewal
	<-set
	c.Assert(registry.UpToDate(a), qt.IsFalse)
}

func TestAnnouncerRewritesEntry(t *testing.T) {
	tests := map[string]func(s *standin.RegistryStore, a *registry.Announcer){
		"revoked":           func(s *standin.RegistryStore, _ *registry.Announcer) { s.Revoke() },
		"answer lost":       func(s *standin.RegistryStore, _ *registry.Announcer) { s.Set(func() { s.Lose = 1 }); s.Revoke() },
		"marked as missing": func(s *standin.RegistryStore, a *registry.Announcer) { s.Revoke(); a.MarkEntryMissing() },
		"store outage": func(s *standin.RegistryStore, _ *registry.Announcer) {
			s.Set(func() { s.Fail = problem.New(problem.Unavailable, "", "", "") })
			s.Revoke()
			s.Set(func() { s.Fail = nil })
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			a := startAnnouncer(c, s)
			a.SetEntry(member(1))
			eventually(c, "announced", func() bool { return s.Has(a.EntryKey) })
			injectFault(s, a)
			eventually(c, "announced again", func() bool { return s.Has(a.EntryKey) })
		})
	}
}

// WriteTombstone succeeds only if the store holds the tombstone: it fails while the store is unavailable, and repeats a write whose answer is lost.
func TestAnnouncerWriteTombstone(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	a := startAnnouncer(c, s)
	m := member(1)
	a.SetEntry(m)
	eventually(c, "announced", func() bool { return s.Has(a.EntryKey) })
	s.Set(func() { s.Fail = problem.New(problem.Unavailable, "", "", "") })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(a.WriteTombstone(ctx, "i-1", time.UnixMilli(5)), qt.IsNotNil)
	s.Set(func() { s.Fail = nil; s.Lose = 1 })
	m.State = wire.StateLeaving
	a.SetEntry(m)
	ctx, cancel = context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	c.Assert(a.WriteTombstone(ctx, "i-1", time.UnixMilli(5)), qt.IsNil)
	successor := &registry.Announcer{Store: s, Keys: testKeys, EntryKey: a.EntryKey, Log: logr.Discard()}
	latestStart, err := successor.ReadTombstone(ctx, "i-1")
	c.Assert(err, qt.IsNil)
	c.Assert(latestStart, qt.Equals, time.UnixMilli(5))
	latestStart, err = successor.ReadTombstone(ctx, "i-") // a prefix of an instance ID does not match
	c.Assert(err, qt.IsNil)
	c.Assert(latestStart.IsZero(), qt.IsTrue)
}

// A tombstone must be written even if the agent has no entry yet.
func TestAnnouncerWriteTombstoneWithoutEntry(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	a := startAnnouncer(c, s)
	c.Assert(a.WriteTombstone(context.Background(), "i-1", time.UnixMilli(5)), qt.IsNil)
	c.Assert(s.Has(testKeys.TombstonePrefix+"i-1"), qt.IsTrue)
	c.Assert(s.Has(a.EntryKey), qt.IsFalse)
}

// WriteTombstone must back off: without it, drains made 4,100 of 4,800 store calls while the store refused all calls.
func TestAnnouncerWriteTombstoneBackoff(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.Set(func() { s.Fail = problem.New(problem.Unavailable, "store", "busy", "wait") })
	a := &registry.Announcer{Store: s, Keys: testKeys, EntryKey: memberKey(addr(1)), Log: logr.Discard()}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	c.Assert(a.WriteTombstone(ctx, "i-1", time.UnixMilli(5)), qt.Not(qt.IsNil))
	calls := 0
	s.Set(func() { calls = s.Calls })
	c.Assert(calls <= 10, qt.IsTrue, qt.Commentf("%d calls in half a second", calls))
}

// While the store refuses all calls, each agent of a large fleet calls it ever more seldom; its entry is back within two seconds of the store's recovery.
func TestAnnouncerOutage(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	a := startAnnouncer(c, s)
	a.SetEntry(member(1))
	eventually(c, "announced", func() bool { return s.Has(a.EntryKey) })
	s.Set(func() { s.Fail = problem.New(problem.Unavailable, "store", "busy", "wait") })
	s.Revoke()
	calls := func() (n int) {
		s.Set(func() { n = s.Calls })
		return n
	}
	before := calls()
	time.Sleep(6 * time.Second)
	c.Check(calls()-before <= 6, qt.IsTrue, qt.Commentf("%d calls in 6 s", calls()-before))
	s.Set(func() { s.Fail = nil })
	began := time.Now()
	eventually(c, "announced again", func() bool { return s.Has(a.EntryKey) })
	c.Check(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// A drain during an outage that the agent has noticed calls the store at most twice a heartbeat; a later heartbeat succeeds once the store answers.
func TestAnnouncerWriteTombstoneDuringOutage(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.Set(func() { s.Fail = problem.New(problem.Unavailable, "store", "busy", "wait") })
	a := &registry.Announcer{Store: s, Keys: testKeys, EntryKey: memberKey(addr(1)), Log: logr.Discard()}
	heartbeat := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		return a.WriteTombstone(ctx, "i-1", time.UnixMilli(5))
	}
	c.Assert(heartbeat(), qt.IsNotNil)
	s.Set(func() { s.Calls = 0 })
	c.Assert(heartbeat(), qt.IsNotNil)
	calls := 0
	s.Set(func() { calls, s.Fail = s.Calls, nil })
	c.Assert(calls <= 2, qt.IsTrue, qt.Commentf("%d calls in a heartbeat", calls))
	c.Assert(heartbeat(), qt.IsNil)
}
