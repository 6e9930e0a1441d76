package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/settings"
)

// TestConvergenceMembersDieDuringPush checks that a version reaches the rest when members of the push tree die,
// and that the daemons restarted in their place cause few full copies.
func TestConvergenceMembersDieDuringPush(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	version := net.edit("bookings", 1)
	net.advance(4 * time.Millisecond) // the readers have started to push
	var dead []*node
	for i, n := range net.nodes {
		if i%10 < 3 {
			n.kill()
			dead = append(dead, n)
		}
	}
	net.assertInForce(t, version)
	for _, n := range dead {
		net.addNode(n.vm, n.domain)
	}
	net.fullCopies = 0
	net.assertInForce(t, version)
	c.Assert(net.fullCopies < 3*len(dead), qt.IsTrue, qt.Commentf("%d full copies", net.fullCopies))
	net.assertInForce(t, net.edit("bookings", 2))
}

// TestReaderPausedPastLease checks that the other daemons converge while a reader is paused past its lease, and that all converge after it resumes with an outdated head:
// it neither brings an older version into force nor keeps later ones from spreading.
func TestReaderPausedPastLease(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	paused := net.readers()[0]
	paused.pause()
	net.edit("bookings", 1)
	net.advance(2 * LeaseTTL)
	version := net.edit("bookings", 2)
	net.advance(testConvergenceTime)
	c.Assert(net.nodesNotAt(version), qt.HasLen, 1)
	paused.resume() // continues with the head that it read before the pause
	net.assertInForce(t, version)
	net.assertInForce(t, net.edit("bookings", 3))
}

// TestVersionRefusedByDaemons checks that a version that a reader refuses still reaches the other daemons, and that all apply the next version.
func TestVersionRefusedByDaemons(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	for _, n := range []*node{net.readers()[0], net.nodes[0]} {
		n.refusedVersion = 3
	}
	version := net.edit("bookings", 1)
	net.advance(testConvergenceTime)
	c.Assert(net.nodesNotAt(version), qt.HasLen, 2) // the others have it although a reader refuses it
	net.assertInForce(t, net.edit("bookings", 2))   // the next version is applied
}

// TestDomainIsolatedForAnHour checks that an isolated failure domain keeps its version and converges after more than ledger.MaxLatestChanges edits.
func TestDomainIsolatedForAnHour(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	net.setPartition("domain-1", true)
	net.advance(30 * time.Minute)
	var version uint64
	for n := range 2 * ledger.MaxLatestChanges {
		version = net.edit("bookings", 1+n)
		net.advance(time.Second)
	}
	net.advance(30 * time.Minute)
	c.Assert(net.nodesNotAt(version), qt.HasLen, testNodeCount/3) // the isolated domain keeps the old version
	net.setPartition("", false)
	net.assertInForce(t, version)
	net.advance(testStartTime)
	net.assertInForce(t, net.edit("jobrecords", 1))
}

// TestStoreRestoredFromBackup checks that daemons keep their version when the head in the store goes back to an older one,
// and that a daemon that starts then gets the newer version from its peers.
func TestStoreRestoredFromBackup(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	ctx := context.Background()
	backup, err := net.store.Get(ctx, ledger.HeadRefKey)
	c.Assert(err, qt.IsNil)
	version := net.edit("bookings", 1)
	net.assertInForce(t, version)
	now, err := net.store.Get(ctx, ledger.HeadRefKey)
	c.Assert(err, qt.IsNil)
	_, err = net.store.Swap(ctx, ledger.HeadRefKey, now.Revision, backup.Value)
	c.Assert(err, qt.IsNil)
	net.answerWatches()
	net.advance(time.Minute)
	c.Assert(net.nodesNotAt(version), qt.HasLen, 0)
	net.addNode("vm-new", "domain-0") // starts while the head is old
	net.assertInForce(t, version)
}

// TestFetchDocumentMissing checks that a document missing from the store leaves the old version in force with few store calls.
func TestFetchDocumentMissing(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	ctx := context.Background()
	net.storeUnreachable = func(*node) bool { return true } // so that no daemon fetches the document before it is deleted
	version := net.edit("bookings", 1)
	key := ledger.BodyKey(net.accepted[version].Bodies["bookings"].Digest)
	body, err := net.store.Get(ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(net.store.Delete(ctx, key, body.Revision), qt.IsNil)
	net.storeUnreachable = func(*node) bool { return false }
	net.advance(10 * time.Second)
	net.storeCalls = 0
	net.advance(20 * time.Second)
	c.Assert(net.storeCalls < 6*20*4, qt.IsTrue, qt.Commentf("%d calls", net.storeCalls)) // 6 readers, 20 s, 4 calls per second of each
	c.Assert(net.nodesNotAt(version-1), qt.HasLen, 0)                                     // the old version stays in force
	_, err = net.store.Swap(ctx, key, 0, body.Value)
	c.Assert(err, qt.IsNil)
	net.assertInForce(t, version)
}

// TestBootstrapStoreDown checks that a daemon that starts while the store is down gets the version from its peers.
func TestBootstrapStoreDown(t *testing.T) {
	net := newStartedNetwork(t, settings.ProfileFast)
	net.storeDown = true
	net.advance(time.Minute)
	n := net.nodes[5]
	n.kill()
	net.advance(time.Second)
	net.addNode(n.vm, n.domain)
	net.assertInForce(t, 2)
}

// TestBootstrapStalePush checks that a restarted daemon does not bring an older, pushed version into force before it has asked its peers.
func TestBootstrapStalePush(t *testing.T) {
	c := qt.New(t)
	net := newStartedNetwork(t, settings.ProfileFast)
	old := net.accepted[1].UpdateFrom(0)
	n := net.addNode("vm-0", "domain-0") // the daemon before it on this VM had version 2 in force
	net.nodes[0].kill()
	net.runAfter(0, func() { n.deliver(PushReceived{From: net.nodes[1].core.Self, Version: 1}, &old) })
	net.advance(time.Millisecond)
	c.Assert(n.core.HeldVersion(), qt.Equals, uint64(1))
	c.Assert(n.versionInForce(), qt.Equals, uint64(0))
	net.assertInForce(t, 2)
}

// TestBootstrapManyDaemons checks that 150 daemons that start at once converge with fewer than two store calls per daemon.
func TestBootstrapManyDaemons(t *testing.T) {
	c := qt.New(t)
	net := newNetwork(t.Fatalf, 1, settings.ProfileFast)
	for i := range 30 {
		net.edit([]string{"a", "b", "c"}[i%3], i)
	}
	net.storeCalls = 0
	net.addNodes(150)
	net.advance(testStartTime)
	c.Assert(net.nodesNotAt(30), qt.HasLen, 0)
	c.Assert(net.storeCalls < 2*150, qt.IsTrue, qt.Commentf("%d store calls", net.storeCalls))
}
