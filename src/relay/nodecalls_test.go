package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

func (n *node) watchHead(a WatchHead) {
	n.net.storeCalls++
	if n.net.storeDown || n.net.storeUnreachable(n) {
		n.net.runAfter(testLatency, func() { n.answerHead(false) })
		return
	}
	e, _ := n.net.store.Get(context.Background(), ledger.HeadRefKey)
	if e.Revision > a.AfterRevision && !n.net.watchesTimeOut {
		n.net.runAfter(testLatency, func() { n.answerHead(false) })
		return
	}
	n.net.seq++
	id := n.net.seq
	n.net.watches = append(n.net.watches, watch{watcher: n, id: id, open: true})
	n.net.runAfter(a.Wait, func() {
		i := slices.IndexFunc(n.net.watches, func(w watch) bool { return w.id == id && w.open })
		if i < 0 {
			return
		}
		n.net.watches[i].open = false
		n.answerHead(n.net.watchesTimeOut)
	})
}

func (n *node) answerHead(timedOut bool) {
	ref, err := ledger.ReadReference(context.Background(), n.net.store)
	if timedOut || err != nil || n.net.storeDown || n.net.storeUnreachable(n) {
		n.deliver(HeadFailed{TimedOut: timedOut}, nil)
		return
	}
	n.head = ref
	n.net.runAfter(testLatency, func() { n.deliver(HeadSeen{Revision: ref.Revision, Version: ref.Version()}, nil) })
}

func (n *node) fetch() {
	n.net.storeCalls++
	u, err := ledger.FetchUpdate(context.Background(), n.net.store, n.config.held, n.head)
	n.net.runAfter(testLatency, func() {
		if err != nil || n.net.storeDown || n.net.storeUnreachable(n) {
			n.deliver(FetchFailed{}, nil)
			return
		}
		n.runUnlessPaused(func() { n.deliver(updateResult(u, SourceStore, 0, n.config.apply(u)), nil) })
	})
}

// runUnlessPaused runs f if the daemon is alive; if it is paused, f is deferred.
func (n *node) runUnlessPaused(f func()) {
	if n.paused {
		n.deferred = append(n.deferred, f)
		return
	}
	if n.alive {
		f()
	}
}

func (n *node) answerLease(err error) {
	failed := n.net.storeDown || n.net.storeUnreachable(n) || (err != nil && !errors.Is(err, problem.Conflict))
	n.net.runAfter(testLatency, func() {
		if failed {
			n.deliver(LeaseFailed{}, nil)
			return
		}
		n.deliver(LeaseAnswered{Held: err == nil}, nil)
	})
}

// sendMessage runs deliver on a member after a random delay, or onLoss after the timeout if the message is lost or the member is dead, paused or cut off.
func (n *node) sendMessage(to uint64, timeout time.Duration, deliver func(to *node), onLoss func()) {
	i := slices.IndexFunc(n.net.nodes, func(other *node) bool { return other.core.Self == to })
	delay := time.Duration(n.net.rand.Int64N(int64(2 * testLatency)))
	n.net.runAfter(delay, func() {
		if i < 0 || !n.net.nodes[i].alive || n.net.nodes[i].paused || n.net.partitioned(n, n.net.nodes[i]) || n.net.rand.Float64() < n.net.lossRate {
			n.net.runAfter(timeout, onLoss)
			return
		}
		deliver(n.net.nodes[i])
		if n.net.rand.Float64() < n.net.duplicateRate {
			n.net.runAfter(time.Duration(n.net.rand.Int64N(int64(time.Second))), func() { deliver(n.net.nodes[i]) })
		}
	})
}

func (n *node) push(a Push) {
	u, ok := n.config.findUpdate(a.Base, a.Version)
	if !ok {
		n.deliver(PushFailed{ID: a.ID}, nil)
		return
	}
	n.net.pushes++
	if u.From == 0 {
		n.net.fullCopies++
	}
	n.sendMessage(a.To, a.Timeout, func(to *node) {
		to.deliver(PushReceived{From: n.core.Self, Base: u.From, Version: u.Version, Subtree: a.Subtree}, &u)
		n.net.runAfter(testLatency, func() { n.deliver(PushDone{ID: a.ID}, nil) })
	}, func() { n.deliver(PushFailed{ID: a.ID}, nil) })
}

// sendPull sends a pull and delivers the event made from the reply, or failed if there is none.
func (n *node) sendPull(to, heldVersion uint64, timeout time.Duration, failed Event, replyEvent func(wire.PullReply) Event) {
	n.sendMessage(to, timeout, func(to *node) {
		r, ok := to.servePull(PullRequested{From: n.core.Self, HeldVersion: heldVersion})
		if !ok {
			n.deliver(failed, nil)
			return
		}
		n.net.runAfter(testLatency, func() { n.deliver(replyEvent(r), &r.Update) })
	}, func() { n.deliver(failed, nil) })
}

func (n *node) servePull(e PullRequested) (r wire.PullReply, ok bool) {
	for _, a := range n.core.Step(n.net.now, e) {
		switch a := a.(type) {
		case AnswerUpdate:
			r, ok = wire.PullReply{Update: n.config.held.UpdateFrom(a.Base)}, true
			if r.Update.From == 0 {
				n.net.fullCopies++
			}
		case AnswerCurrent:
			r, ok = wire.PullReply{Current: true, Update: wire.Update{Version: a.Version}}, true
		case AnswerBusy:
			r, ok = wire.PullReply{BusyNext: a.Alternative, BusyAfter: a.RetryAfter.Milliseconds()}, true
		default:
			n.execute(a, e, nil)
		}
	}
	return r, ok
}

// probe compares versions with a random daemon, as the probes of the roster do.
func (n *node) probe() {
	if !n.alive {
		return
	}
	n.net.runAfter(testProbeInterval, n.probe)
	known := slices.DeleteFunc(slices.Clone(n.net.nodes), func(other *node) bool {
		return other == n || (!other.alive && n.net.now.Sub(other.diedAt) >= testDetectionTime)
	})
	if len(known) == 0 {
		return
	}
	other := known[n.net.rand.IntN(len(known))]
	if !other.alive || n.paused || other.paused || n.net.partitioned(n, other) {
		return
	}
	mine, theirs := n.versionInForce(), other.versionInForce()
	if theirs > mine {
		n.deliver(PeerAhead{Peer: other.core.Self, Version: theirs}, nil)
	}
	if mine > theirs {
		other.deliver(PeerAhead{Peer: n.core.Self, Version: mine}, nil)
	}
}

// versionInForce returns the version in force, 0 for none.
func (n *node) versionInForce() uint64 {
	if n.config.inForce == nil {
		return 0
	}
	return n.config.inForce.Version
}
