package link

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// TestDoubtSent checks that a doubt is sent only to a member that takes it.
func TestDoubtSent(t *testing.T) {
	for name, want := range map[string]wire.FrameKind{"taken": wire.FrameDoubt, "older build": wire.FrameReply} {
		t.Run(name, func(t *testing.T) {
			told := make(chan bool, 1)
			to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
				told <- in.Doubt()
				echo(ctx, in)
			})})
			peer := dialFakePeer(t, to)
			peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 1, Head: wire.CallHead{Target: 2, TakesDoubt: want == wire.FrameDoubt}})
			kind, _, err := peer.fr.next()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, kind, qt.Equals, want)
			qt.Check(t, <-told, qt.Equals, want == wire.FrameDoubt)
		})
	}
}

// TestDoubtReceived checks that a doubt reaches the caller, and that the answer still does.
func TestDoubtReceived(t *testing.T) {
	to, accept := listenFakePeer(t, 2)
	p := startClient(t)
	told := make(chan struct{}, 2)
	ctx := WithDoubt(testContext(t), func(Doubt) { told <- struct{}{} })
	outcomes := make(chan Outcome, 1)
	go func() { outcomes <- p.Call(ctx, to, wire.CallHead{}, nil) }()
	peer := accept()
	open := peer.expectOpen()
	qt.Check(t, open.Head.TakesDoubt, qt.IsTrue)
	peer.send(wire.FrameDoubt, &wire.DoubtFrame{Call: open.Call})
	<-told
	peer.reply(open.Call, "late")
	r, ok := (<-outcomes).(Reply)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, r.Body.Close(), qt.IsNil)
}
