package link

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Replies in another order than their calls, with interleaved data, reach the calls that they belong to.
func TestInterleavedReplies(t *testing.T) {
	to, accept := listenFakePeer(t, 2)
	p := startClient(t)
	a := startCall(t, p, to, "a", nil, 0)
	peer := accept()
	first := peer.expectOpen()
	b := startCall(t, p, to, "b", nil, 0)
	second := peer.expectOpen()
	for _, f := range []wire.OpenFrame{second, first} {
		peer.send(wire.FrameReply, &wire.ReplyFrame{Call: f.Call, Head: wire.ReplyHead{Status: 200, BodyLength: -1}})
	}
	for _, part := range []string{"1", "2", "3"} {
		for _, f := range []wire.OpenFrame{second, first} {
			peer.send(wire.FrameData, &wire.DataFrame{Call: f.Call, Bytes: []byte(f.Head.URI + part)})
		}
	}
	peer.send(wire.FrameEnd, &wire.EndFrame{Call: first.Call})
	peer.send(wire.FrameEnd, &wire.EndFrame{Call: second.Call})
	qt.Assert(t, (<-a).body, qt.Equals, "a1a2a3")
	qt.Assert(t, (<-b).body, qt.Equals, "b1b2b3")
}

// The answer to a cancelled call is dropped, however late it arrives, and never reaches a later call.
func TestReplyAfterCancel(t *testing.T) {
	to, accept := listenFakePeer(t, 2)
	p := startClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := make(chan Outcome, 1)
	go func() { outcomes <- p.Call(ctx, to, wire.CallHead{URI: "late"}, nil) }()
	peer := accept()
	late := peer.expectOpen()
	cancel()
	out := (<-outcomes).(Refused)
	qt.Assert(t, out.Refusal, qt.Equals, wire.Refusal{Reason: wire.ReasonCancelled, MayHaveRun: true})
	var f wire.CancelFrame
	peer.expect(wire.FrameCancel, &f)
	qt.Assert(t, f.Call, qt.Equals, late.Call)

	next := startCall(t, p, to, "next", nil, 0)
	open := peer.expectOpen()
	qt.Assert(t, open.Call > late.Call, qt.IsTrue)
	peer.reply(late.Call, "late")
	peer.reply(open.Call, "next")
	r := <-next
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.body, qt.Equals, "next")
}

// At whatever point the link is lost, the result shows whether the call may have run, and a truncated answer never looks complete.
func TestLinkLostDuringCall(t *testing.T) {
	body := strings.Repeat("x", 3*initialWindow)
	tests := map[string]struct {
		act       func(peer *fakePeer)
		truncated bool // the call returns a Reply whose body is truncated
	}{
		"after the open": {act: func(peer *fakePeer) { peer.expectOpen() }},
		"in the request body": {act: func(peer *fakePeer) {
			peer.expectOpen()
			var f wire.DataFrame
			peer.expect(wire.FrameData, &f)
		}},
		"after the request body": {act: func(peer *fakePeer) {
			f := peer.expectOpen()
			peer.send(wire.FrameWindow, &wire.WindowFrame{Call: f.Call, Add: 4 * initialWindow})
			var end wire.EndFrame
			peer.expect(wire.FrameEnd, &end)
		}},
		"after the head of the answer": {truncated: true, act: func(peer *fakePeer) {
			f := peer.expectOpen()
			peer.send(wire.FrameReply, &wire.ReplyFrame{Call: f.Call, Head: wire.ReplyHead{Status: 200, BodyLength: 5}})
		}},
		"in the answer": {truncated: true, act: func(peer *fakePeer) {
			f := peer.expectOpen()
			peer.send(wire.FrameReply, &wire.ReplyFrame{Call: f.Call, Head: wire.ReplyHead{Status: 200, BodyLength: -1}})
			peer.send(wire.FrameData, &wire.DataFrame{Call: f.Call, Bytes: []byte("part")})
		}},
		"before the end frame": {truncated: true, act: func(peer *fakePeer) {
			f := peer.expectOpen()
			peer.send(wire.FrameReply, &wire.ReplyFrame{Call: f.Call, Head: wire.ReplyHead{Status: 200, BodyLength: 4}})
			peer.send(wire.FrameData, &wire.DataFrame{Call: f.Call, Bytes: []byte("full")})
		}},
		"by a refusal in the answer": {truncated: true, act: func(peer *fakePeer) {
			f := peer.expectOpen()
			peer.send(wire.FrameReply, &wire.ReplyFrame{Call: f.Call, Head: wire.ReplyHead{Status: 200, BodyLength: 4}})
			peer.send(wire.FrameRefuse, &wire.RefuseFrame{Call: f.Call, Refusal: wire.Refusal{Reason: wire.ReasonCut}})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			to, accept := listenFakePeer(t, 2)
			p := startClient(t)
			ch := startCall(t, p, to, "a", strings.NewReader(body), int64(len(body)))
			peer := accept()
			test.act(peer)
			_ = peer.nc.Close()
			r := <-ch
			if test.truncated {
				qt.Assert(t, errors.Is(r.err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", r.err))
				return
			}
			qt.Assert(t, r.refusal(t), qt.Equals, wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: true})
		})
	}
}

// A call whose open frame the writer has not taken has not run. One whose open frame was handed to the socket, even if only partly written, may have run.
func TestLinkLostBeforeOpenSent(t *testing.T) {
	p := startClient(t)
	peer, c, done := pipeFakePeer(t, p, true)
	head := wire.CallHead{URI: "a"}
	first, reason := c.openCall(head, nil)
	qt.Assert(t, reason, qt.Equals, wire.ReasonNone)
	_, err := io.ReadFull(peer.nc, make([]byte, 1)) // the first open frame is partly written
	qt.Assert(t, err, qt.IsNil)
	second, reason := c.openCall(head, nil)
	qt.Assert(t, reason, qt.Equals, wire.ReasonNone)
	_ = peer.nc.Close()
	<-done
	qt.Assert(t, <-first.outcome, qt.Equals, Outcome(Refused{wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: true}}))
	qt.Assert(t, <-second.outcome, qt.Equals, Outcome(Refused{wire.Refusal{Reason: wire.ReasonLinkLost}}))
}

// A call for which no link can be opened has not run.
func TestCallWithoutLink(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(func(context.Context, InboundCall) { t.Error("call was served") })})
	p := startClient(t)
	tests := map[string]struct {
		to   Peer
		want wire.RefusalReason
	}{
		"no listener":                            {to: Peer{ID: 2, Addr: loopbackAddr(1)}, want: wire.ReasonConnect},
		"VM was replaced under the same address": {to: Peer{ID: 3, Addr: to.Addr}, want: wire.ReasonWrongMember},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 2 { // the second call is made during the backoff
				r := (<-startCall(t, p, test.to, "a", nil, 0)).refusal(t)
				qt.Assert(t, r.Reason, qt.Equals, test.want)
				qt.Assert(t, r.MayHaveRun, qt.IsFalse)
			}
		})
	}
}

// The accepting end also refuses a link meant for another member, in case the dialling end does not check.
func TestHelloWrongMember(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2})
	peer := dialFakePeer(t, Peer{ID: 3, Addr: to.Addr})
	peer.expectClosed()
}

// A goaway frame refuses calls above its last id, and lets the others finish before the link is closed.
func TestGoaway(t *testing.T) {
	to, accept := listenFakePeer(t, 2)
	p := startClient(t)
	a := startCall(t, p, to, "a", nil, 0)
	peer := accept()
	first := peer.expectOpen()
	b := startCall(t, p, to, "b", nil, 0)
	peer.expectOpen()
	peer.send(wire.FrameGoaway, &wire.GoawayFrame{Last: first.Call})
	qt.Assert(t, (<-b).refusal(t), qt.Equals, wire.Refusal{Reason: wire.ReasonLeaving})
	peer.reply(first.Call, "whole")
	qt.Assert(t, (<-a).body, qt.Equals, "whole")
	peer.expectClosed()
}

// A link in use stays open while the peer answers pings, and is closed when the peer no longer does,
// as its calls take no doubt.
func TestSilentPeerClosed(t *testing.T) {
	to, accept := listenFakePeer(t, 2)
	p := &Pool{Self: 1, Limits: Limits{PingInterval: 1e8}}
	t.Cleanup(p.Kill)
	a := startCall(t, p, to, "a", nil, 0)
	peer := accept()
	f := peer.expectOpen()
	for range 2 * maxSilentPeriods {
		var ping wire.PingFrame
		peer.expect(wire.FramePing, &ping)
		peer.send(wire.FramePong, &wire.PongFrame{Nonce: ping.Nonce})
	}
	peer.reply(f.Call, "alive")
	qt.Assert(t, (<-a).body, qt.Equals, "alive")
	b := startCall(t, p, to, "b", nil, 0)
	peer.expectOpen()
	qt.Assert(t, (<-b).refusal(t), qt.Equals, wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: true})
}

// A handler that waits for a request body is unblocked when the timeout of the call has elapsed.
func TestCallTimeoutDuringRequestBody(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
		_, err := io.Copy(io.Discard, in.Body())
		qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		qt.Check(t, context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
		in.Refuse(wire.Refusal{Reason: wire.ReasonTimeout})
	})})
	p := startClient(t)
	body, w := io.Pipe()
	defer func() { _ = w.Close() }()
	out := p.Call(testContext(t), to, wire.CallHead{BodyLength: -1, TimeoutMS: 10}, body)
	qt.Assert(t, out, qt.Equals, Outcome(Refused{wire.Refusal{Reason: wire.ReasonTimeout}}))
}
