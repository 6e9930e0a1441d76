package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/settings"
)

func TestMembersDieWhileAVersionSpreadsAndReturn(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	version := w.edit("bookings", 1)
	w.run(4 * time.Millisecond) // the readers have begun to push
	var dead []*node
	for i, n := range w.nodes {
		if i%10 < 3 {
			n.kill()
			dead = append(dead, n)
		}
	}
	w.assertInForce(t, version)
	for _, n := range dead {
		w.add(n.vm, n.domain)
	}
	w.copies = 0
	w.assertInForce(t, version)
	c.Assert(w.copies < 3*len(dead), qt.IsTrue, qt.Commentf("%d full copies", w.copies))
	w.assertInForce(t, w.edit("bookings", 2))
}

func TestReaderPausedPastItsLease(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	paused := w.readers()[0]
	paused.pause()
	w.edit("bookings", 1)
	w.run(2 * LeaseTTL)
	version := w.edit("bookings", 2)
	w.run(testBound)
	c.Assert(w.behind(version), qt.HasLen, 1)
	paused.resume() // acts on what it saw before the pause
	w.assertInForce(t, version)
	w.assertInForce(t, w.edit("bookings", 3))
}

func TestVersionThatOneDaemonCannotTake(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	for _, n := range []*node{w.readers()[0], w.nodes[0]} {
		n.refuse = 3
	}
	version := w.edit("bookings", 1)
	w.run(testBound)
	c.Assert(w.behind(version), qt.HasLen, 2) // the others are served although a reader refuses it
	w.assertInForce(t, w.edit("bookings", 2)) // a later version is taken
}

func TestDomainCutForAnHour(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	w.isolate("domain-1", true)
	w.run(30 * time.Minute)
	var version uint64
	for n := range 2 * ledger.MaxLatest {
		version = w.edit("bookings", 1+n)
		w.run(time.Second)
	}
	w.run(30 * time.Minute)
	c.Assert(w.behind(version), qt.HasLen, testMembers/3) // keeps serving the version that it has
	w.isolate("", false)
	w.assertInForce(t, version)
	w.run(testStart)
	w.assertInForce(t, w.edit("jobrecords", 1))
}

func TestStoreRestoredFromABackup(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	ctx := context.Background()
	backup, err := w.store.Get(ctx, ledger.HeadKey)
	c.Assert(err, qt.IsNil)
	version := w.edit("bookings", 1)
	w.assertInForce(t, version)
	now, err := w.store.Get(ctx, ledger.HeadKey)
	c.Assert(err, qt.IsNil)
	_, err = w.store.Swap(ctx, ledger.HeadKey, now.Revision, backup.Value)
	c.Assert(err, qt.IsNil)
	w.wakeWatches()
	w.run(time.Minute)
	c.Assert(w.behind(version), qt.HasLen, 0)
	w.add("vm-new", "domain-0") // a daemon that starts meanwhile
	w.assertInForce(t, version)
}

func TestBodyMissing(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	ctx := context.Background()
	w.cutStore = func(*node) bool { return true }
	version := w.edit("bookings", 1)
	key := ledger.BodyKey(w.accept[version].Bodies["bookings"].Digest)
	body, err := w.store.Get(ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(w.store.Delete(ctx, key, body.Revision), qt.IsNil)
	w.cutStore = func(*node) bool { return false }
	w.run(10 * time.Second)
	w.calls = 0
	w.run(20 * time.Second)
	c.Assert(w.calls < 6*20*4, qt.IsTrue, qt.Commentf("%d calls", w.calls)) // readers, seconds, calls a second of each
	c.Assert(w.behind(version-1), qt.HasLen, 0)                             // the old version stays whole
	_, err = w.store.Swap(ctx, key, 0, body.Value)
	c.Assert(err, qt.IsNil)
	w.assertInForce(t, version)
}

func TestDaemonStartsWithTheStoreDown(t *testing.T) {
	w := started(t, settings.ProfileFast)
	w.down = true
	w.run(time.Minute)
	n := w.nodes[5]
	n.kill()
	w.run(time.Second)
	w.add(n.vm, n.domain)
	w.assertInForce(t, 2)
}

// TestStartIgnoresAnOldPush shows that a restarted daemon does not serve what it is pushed before it has asked.
func TestStartIgnoresAnOldPush(t *testing.T) {
	c := qt.New(t)
	w := started(t, settings.ProfileFast)
	old := w.accept[1].UpdateFrom(0)
	n := w.add("vm-0", "domain-0") // served version 2 before
	w.nodes[0].kill()
	w.after(0, func() { n.arrive(PushReceived{From: w.nodes[1].core.Self, Version: 1}, &old) })
	w.run(time.Millisecond)
	c.Assert(n.core.HeldVersion(), qt.Equals, uint64(1))
	c.Assert(n.version(), qt.Equals, uint64(0))
	w.assertInForce(t, 2)
}

func TestAHerdStarts(t *testing.T) {
	c := qt.New(t)
	w := newNetwork(t.Fatalf, 1, settings.ProfileFast)
	for i := range 30 {
		w.edit([]string{"a", "b", "c"}[i%3], i)
	}
	w.calls = 0
	w.fill(150)
	w.run(testStart)
	c.Assert(w.behind(30), qt.HasLen, 0)
	c.Assert(w.calls < 2*150, qt.IsTrue, qt.Commentf("%d store calls", w.calls))
}
