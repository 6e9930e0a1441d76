package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// node is a daemon of the simulated network: a core, whose actions are executed on the network's clock.
type node struct {
	net            *network
	vm             string
	domain         string
	core           *Core
	config         configState
	lease          kv.Lease
	head           ledger.Reference
	alive          bool
	diedAt         time.Time
	paused         bool
	deferred       []func()  // calls that wait while paused
	refusedVersion uint64    // version that this daemon refuses
	tickAt         time.Time // time of the scheduled Tick
}

func (n *node) kill() {
	n.alive, n.diedAt = false, n.net.now
	n.net.runAfter(testDetectionTime, n.net.updateMembers)
}

func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	for _, f := range n.deferred {
		f()
	}
	n.deferred = nil
}

// deliver steps the core; while the daemon is paused, the event is deferred.
func (n *node) deliver(e Event, u *wire.Update) {
	if n.paused {
		n.deferred = append(n.deferred, func() { n.deliver(e, u) })
		return
	}
	if n.alive {
		n.step(e, u)
	}
}

// step steps the core, executes the actions and checks the invariants.
func (n *node) step(e Event, u *wire.Update) {
	if _, pushed := e.(PushReceived); pushed {
		n.config.rememberUpdate(*u)
	}
	previous := n.core.HeldVersion()
	for _, a := range n.core.Step(n.net.now, e) {
		n.execute(a, e, u)
	}
	n.checkInvariants(previous)
	if next := n.core.Next(); !next.IsZero() && !next.Equal(n.tickAt) {
		n.tickAt = next
		n.net.runAfter(max(next.Sub(n.net.now), time.Millisecond), func() {
			if n.tickAt.Equal(next) {
				n.tickAt = time.Time{}
			}
			n.deliver(Tick{}, nil)
		})
	}
}

// checkInvariants checks that the version held did not decrease, and that it is complete and was accepted.
func (n *node) checkInvariants(previous uint64) {
	if n.core.HeldVersion() < previous {
		n.net.fatal("%s: version held decreased from %d to %d", n.vm, previous, n.core.HeldVersion())
	}
	if s := n.config.held; s != nil && s.Version == n.core.HeldVersion() {
		want := n.net.accepted[s.Version]
		if want == nil || want.Digest != s.Digest {
			n.net.fatal("%s: version %d is incomplete or was never accepted", n.vm, s.Version)
		}
	}
}

// onSnapshot checks that the documents are valid and that no older version follows a newer one into force.
//
// A restarted daemon may bring an older version into force than its predecessor on the VM, but only if it has not read the head or could not get the head's version.
func (n *node) onSnapshot(s *ledger.Snapshot) error {
	if s.Version == n.refusedVersion {
		return problem.New(problem.Document, "test", "refused by test", "")
	}
	if s.Version < n.net.lastInForce[n.vm] && n.core.head.known && s.Version >= n.core.head.version {
		n.net.fatal("%s: version %d came into force after version %d", n.vm, s.Version, n.net.lastInForce[n.vm])
	}
	if err := document.CheckAll(s.Documents); err != nil {
		n.net.fatal("%s: version %d: %v", n.vm, s.Version, err)
	}
	if n.config.inForce != nil && s.Version < n.config.inForce.Version {
		n.net.fatal("%s: version %d came into force after version %d", n.vm, s.Version, n.config.inForce.Version)
	}
	n.net.lastInForce[n.vm] = s.Version
	return nil
}

func (n *node) execute(a Action, e Event, u *wire.Update) {
	switch a := a.(type) {
	case WatchHead:
		n.watchHead(a)
	case ReadHead:
		n.net.storeCalls++
		n.net.runAfter(testLatency, func() { n.answerHead(false) })
	case Fetch:
		n.fetch()
	case Grant:
		n.net.storeCalls++
		l, err := n.net.store.Grant(context.Background(), LeaseKey(n.domain, a.Slot), fmt.Sprint(n.core.Self), a.TTL)
		if err == nil {
			n.lease = l
		}
		n.answerLease(err)
	case Renew:
		n.net.storeCalls++
		n.answerLease(n.net.store.Renew(context.Background(), n.lease))
	case Release:
		_ = n.net.store.Release(context.Background(), n.lease)
	case Apply:
		n.deliver(updateResult(*u, a.Source, a.Peer, n.config.apply(*u)), nil)
	case Push:
		n.push(a)
	case Ask:
		n.sendPull(a.To, versionQuery, a.Timeout, Asked{Peer: a.To, Failed: true}, func(r wire.PullReply) Event { return Asked{Peer: a.To, Version: r.Update.Version} })
	case Pull:
		n.sendPull(a.To, a.HeldVersion, a.Timeout, Pulled{Peer: a.To, Failed: true}, func(r wire.PullReply) Event {
			return Pulled{Peer: a.To, Version: r.Update.Version, Current: r.Current, Alternative: r.BusyNext, RetryAfter: time.Duration(r.BusyAfter) * time.Millisecond}
		})
	case Open:
		if err := n.config.open(); err != nil && n.refusedVersion == 0 {
			n.net.fatal("%s: open: %v", n.vm, err)
		}
	}
}
