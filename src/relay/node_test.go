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

// node is one daemon: a core, and the shell's work done on the network's clock.
type node struct {
	net     *network
	vm      string
	domain  string
	core    *Core
	holder  holder
	lease   kv.Lease
	head    ledger.Notice
	alive   bool
	diedAt  time.Time
	paused  bool
	backlog []func()
	refuse  uint64 // version that this daemon cannot take
	wakeAt  time.Time
}

func (n *node) kill() {
	n.alive, n.diedAt = false, n.net.now
	n.net.after(testDetect, n.net.tellMembers)
}

func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	for _, f := range n.backlog {
		f()
	}
	n.backlog = nil
}

// arrive steps the core, or keeps the event while the daemon is paused.
func (n *node) arrive(e Event, u *wire.Update) {
	if n.paused {
		n.backlog = append(n.backlog, func() { n.arrive(e, u) })
		return
	}
	if n.alive {
		n.step(e, u)
	}
}

// step lets the core decide, carries its actions out and checks what must always hold.
func (n *node) step(e Event, u *wire.Update) {
	if _, pushed := e.(PushReceived); pushed {
		n.holder.remember(*u)
	}
	before := n.core.HeldVersion()
	for _, a := range n.core.Step(n.net.now, e) {
		n.carryOut(a, e, u)
	}
	n.check(before)
	if next := n.core.Next(); !next.IsZero() && !next.Equal(n.wakeAt) {
		n.wakeAt = next
		n.net.after(max(next.Sub(n.net.now), time.Millisecond), func() {
			if n.wakeAt.Equal(next) {
				n.wakeAt = time.Time{}
			}
			n.arrive(Tick{}, nil)
		})
	}
}

func (n *node) check(before uint64) {
	if n.core.HeldVersion() < before {
		n.net.fatal("%s: version fell from %d to %d", n.vm, before, n.core.HeldVersion())
	}
	if s := n.holder.held; s != nil && s.Version == n.core.HeldVersion() {
		want := n.net.accept[s.Version]
		if want == nil || want.Digest != s.Digest {
			n.net.fatal("%s: version %d is held in part or was never accepted", n.vm, s.Version)
		}
	}
}

func (n *node) onSnapshot(s *ledger.Snapshot) error {
	if s.Version == n.refuse {
		return problem.New(problem.Document, "test", "cannot be taken", "")
	}
	if s.Version < n.net.served[n.vm] && n.core.head.read && s.Version >= n.core.head.version {
		n.net.fatal("%s: version %d comes into force after %d", n.vm, s.Version, n.net.served[n.vm])
	}
	if err := document.CheckAll(s.Documents); err != nil {
		n.net.fatal("%s: version %d: %v", n.vm, s.Version, err)
	}
	if n.holder.inForce != nil && s.Version < n.holder.inForce.Version {
		n.net.fatal("%s: version %d comes into force after %d", n.vm, s.Version, n.holder.inForce.Version)
	}
	n.net.served[n.vm] = s.Version
	return nil
}

func (n *node) carryOut(a Action, e Event, u *wire.Update) {
	switch a := a.(type) {
	case WatchHead:
		n.watchHead(a)
	case ReadHead:
		n.net.calls++
		n.net.after(testLatency, func() { n.answerHead(false) })
	case Fetch:
		n.fetch()
	case Grant:
		n.net.calls++
		l, err := n.net.store.Grant(context.Background(), LeaseKey(n.domain, a.Slot), fmt.Sprint(n.core.Self), a.TTL)
		if err == nil {
			n.lease = l
		}
		n.answerLease(err)
	case Renew:
		n.net.calls++
		n.answerLease(n.net.store.Renew(context.Background(), n.lease))
	case Release:
		_ = n.net.store.Release(context.Background(), n.lease)
	case Apply:
		n.arrive(result(*u, a.Source, a.Peer, n.holder.apply(*u)), nil)
	case Push:
		n.push(a)
	case Ask:
		n.ask(a.To, ^uint64(0), a.Timeout, Asked{Peer: a.To, Failed: true}, func(r wire.PullReply) Event { return Asked{Peer: a.To, Version: r.Update.Version} })
	case Pull:
		n.ask(a.To, a.HeldVersion, a.Timeout, Pulled{Peer: a.To, Failed: true}, func(r wire.PullReply) Event {
			return Pulled{Peer: a.To, Version: r.Update.Version, Current: r.Current, Alternative: r.BusyNext, RetryAfter: time.Duration(r.BusyAfter) * time.Millisecond}
		})
	case Open:
		if err := n.holder.open(); err != nil && n.refuse == 0 {
			n.net.fatal("%s: open: %v", n.vm, err)
		}
	}
}
