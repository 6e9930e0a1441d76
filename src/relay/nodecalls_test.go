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
	n.net.calls++
	if n.net.down || n.net.cutStore(n) {
		n.net.after(testLatency, func() { n.answerHead(false) })
		return
	}
	e, _ := n.net.store.Get(context.Background(), ledger.HeadKey)
	if e.Revision > a.AfterRevision && !n.net.silent {
		n.net.after(testLatency, func() { n.answerHead(false) })
		return
	}
	n.net.seq++
	id := n.net.seq
	n.net.watches = append(n.net.watches, watch{n: n, id: id, open: true})
	n.net.after(a.Wait, func() {
		i := slices.IndexFunc(n.net.watches, func(x watch) bool { return x.id == id && x.open })
		if i < 0 {
			return
		}
		n.net.watches[i].open = false
		n.answerHead(n.net.silent)
	})
}

func (n *node) answerHead(silent bool) {
	notice, err := ledger.ReadNotice(context.Background(), n.net.store)
	if silent || err != nil || n.net.down || n.net.cutStore(n) {
		n.arrive(HeadFailed{TimedOut: silent}, nil)
		return
	}
	n.head = notice
	n.net.after(testLatency, func() { n.arrive(HeadSeen{Revision: notice.Revision, Version: notice.Version()}, nil) })
}

func (n *node) fetch() {
	n.net.calls++
	u, err := ledger.Fetch(context.Background(), n.net.store, n.holder.held, n.head)
	n.net.after(testLatency, func() {
		if err != nil || n.net.down || n.net.cutStore(n) {
			n.arrive(FetchFailed{}, nil)
			return
		}
		n.whenAwake(func() { n.arrive(result(u, SourceStore, 0, n.holder.apply(u)), nil) })
	})
}

// whenAwake runs f unless the daemon has died; after a pause when it is paused.
func (n *node) whenAwake(f func()) {
	if n.paused {
		n.backlog = append(n.backlog, f)
		return
	}
	if n.alive {
		f()
	}
}

func (n *node) answerLease(err error) {
	failed := n.net.down || n.net.cutStore(n) || (err != nil && !errors.Is(err, problem.Conflict))
	n.net.after(testLatency, func() {
		if failed {
			n.arrive(LeaseFailed{}, nil)
			return
		}
		n.arrive(LeaseAnswered{Held: err == nil}, nil)
	})
}

// message carries f to a member after a random delay; lost is run when it cannot arrive.
func (n *node) message(to uint64, timeout time.Duration, f func(to *node), lost func()) {
	i := slices.IndexFunc(n.net.nodes, func(o *node) bool { return o.core.Self == to })
	delay := time.Duration(n.net.rand.Int64N(int64(2 * testLatency)))
	n.net.after(delay, func() {
		if i < 0 || !n.net.nodes[i].alive || n.net.nodes[i].paused || n.net.cut(n, n.net.nodes[i]) || n.net.rand.Float64() < n.net.loss {
			n.net.after(timeout, lost)
			return
		}
		f(n.net.nodes[i])
		if n.net.rand.Float64() < n.net.repeat {
			n.net.after(time.Duration(n.net.rand.Int64N(int64(time.Second))), func() { f(n.net.nodes[i]) })
		}
	})
}

func (n *node) push(a Push) {
	u, ok := n.holder.update(a.Base, a.Version)
	if !ok {
		n.arrive(PushFailed{ID: a.ID}, nil)
		return
	}
	n.net.pushes++
	if u.From == 0 {
		n.net.copies++
	}
	n.message(a.To, a.Timeout, func(to *node) {
		to.arrive(PushReceived{From: n.core.Self, Base: u.From, Version: u.Version, Subtree: a.Subtree}, &u)
		n.net.after(testLatency, func() { n.arrive(PushDone{ID: a.ID}, nil) })
	}, func() { n.arrive(PushFailed{ID: a.ID}, nil) })
}

// ask sends a pull and hands the answer on.
func (n *node) ask(to, have uint64, timeout time.Duration, failed Event, answered func(wire.PullReply) Event) {
	n.message(to, timeout, func(to *node) {
		r, ok := to.servePull(PullRequested{From: n.core.Self, HeldVersion: have})
		if !ok {
			n.arrive(failed, nil)
			return
		}
		n.net.after(testLatency, func() { n.arrive(answered(r), &r.Update) })
	}, func() { n.arrive(failed, nil) })
}

func (n *node) servePull(e PullRequested) (r wire.PullReply, ok bool) {
	for _, a := range n.core.Step(n.net.now, e) {
		switch a := a.(type) {
		case AnswerUpdate:
			r, ok = wire.PullReply{Update: n.holder.held.UpdateFrom(a.Base)}, true
			if r.Update.From == 0 {
				n.net.copies++
			}
		case AnswerCurrent:
			r, ok = wire.PullReply{Current: true, Update: wire.Update{Version: a.Version}}, true
		case AnswerBusy:
			r, ok = wire.PullReply{BusyNext: a.Alternative, BusyAfter: a.RetryAfter.Milliseconds()}, true
		default:
			n.carryOut(a, e, nil)
		}
	}
	return r, ok
}

// probe compares versions with another daemon, as the roster's probes do.
func (n *node) probe() {
	if !n.alive {
		return
	}
	n.net.after(testProbe, n.probe)
	known := slices.DeleteFunc(slices.Clone(n.net.nodes), func(o *node) bool {
		return o == n || (!o.alive && n.net.now.Sub(o.diedAt) >= testDetect)
	})
	if len(known) == 0 {
		return
	}
	o := known[n.net.rand.IntN(len(known))]
	if !o.alive || n.paused || o.paused || n.net.cut(n, o) {
		return
	}
	mine, theirs := n.version(), o.version()
	if theirs > mine {
		n.arrive(PeerAhead{Peer: o.core.Self, Version: theirs}, nil)
	}
	if mine > theirs {
		o.arrive(PeerAhead{Peer: n.core.Self, Version: mine}, nil)
	}
}

func (n *node) version() uint64 {
	if n.holder.inForce == nil {
		return 0
	}
	return n.holder.inForce.Version
}
