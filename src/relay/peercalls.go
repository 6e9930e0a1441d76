package relay

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/wire"
)

// push sends an update to a child in the push tree.
func (l *loop) push(a Push) {
	u, ok := l.config.findUpdate(a.Base, a.Version)
	to, known := l.lookupPeer(a.To)
	if !ok || !known {
		l.pendingInputs = append(l.pendingInputs, input{event: PushFailed{ID: a.ID}})
		return
	}
	l.logVerbose("pushing update", "to", a.To, "version", u.Version, "base", u.From, "subtree", len(a.Subtree), "reason", "child in the push tree")
	// A push that is dropped because the queue is full counts as done; its subtree is left to anti-entropy repair.
	l.callPeer(input{event: PushDone{ID: a.ID}}, func(ctx context.Context) input {
		p := wire.Push{Update: u, Subtree: a.Subtree}
		if _, err := l.exchange(ctx, to, link.KindPush, &p, a.Timeout); err != nil {
			l.logVerbose("push failed", "to", a.To, "version", u.Version, "reason", err.Error())
			l.count("pushes", "failed")
			return input{event: PushFailed{ID: a.ID}}
		}
		l.count("pushes", "sent")
		return input{event: PushDone{ID: a.ID}}
	})
}

// askPeerVersion asks a peer for its version, without an update.
func (l *loop) askPeerVersion(a Ask) {
	failed := input{event: Asked{Peer: a.To, Failed: true}}
	to, known := l.lookupPeer(a.To)
	if !known {
		l.pendingInputs = append(l.pendingInputs, failed)
		return
	}
	l.callPeer(failed, func(ctx context.Context) input {
		r, err := l.requestPull(ctx, to, versionQuery, a.Timeout)
		if err != nil {
			return failed
		}
		return input{event: Asked{Peer: a.To, Version: r.Update.Version}}
	})
}

func (l *loop) pull(a Pull) {
	failed := input{event: Pulled{Peer: a.To, Failed: true}}
	to, known := l.lookupPeer(a.To)
	if !known {
		l.pendingInputs = append(l.pendingInputs, failed)
		return
	}
	l.callPeer(failed, func(ctx context.Context) input {
		r, err := l.requestPull(ctx, to, a.HeldVersion, a.Timeout)
		if err != nil {
			l.count("pulls", "failed")
			return failed
		}
		l.count("pulls", "answered")
		e := Pulled{Peer: a.To, Version: r.Update.Version, Current: r.Current, Alternative: r.BusyNext, RetryAfter: time.Duration(r.BusyAfter) * time.Millisecond}
		return input{event: e, update: &r.Update}
	})
}

func (l *loop) requestPull(ctx context.Context, to link.Peer, heldVersion uint64, timeout time.Duration) (wire.PullReply, error) {
	var r wire.PullReply
	b, err := l.exchange(ctx, to, link.KindPull, &wire.Pull{Have: heldVersion}, timeout)
	if err != nil {
		return r, err
	}
	if b, err = pack.Unpack(b); err != nil {
		return r, err
	}
	_, err = r.UnmarshalMsg(b)
	return r, err
}

type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

func (l *loop) exchange(ctx context.Context, to link.Peer, kind link.MessageKind, m marshaler, timeout time.Duration) ([]byte, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if kind == link.KindPush {
		b = pack.Pack(b) // a push carries documents, a pull request only a version
	}
	return l.Exchanger.Exchange(ctx, to, kind, b)
}

// callPeer runs an exchange in the background; if the queue is full, the exchange is not made and dropped is handled as its result.
func (l *loop) callPeer(dropped input, call func(ctx context.Context) input) {
	if _, ok := l.peerPool.TrySubmit(func() { l.sendInput(call(l.ctx)) }); !ok {
		l.count("exchanges", "dropped")
		l.pendingInputs = append(l.pendingInputs, dropped)
	}
}
