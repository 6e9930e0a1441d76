package link

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against calls that are ended because their peer was late, short of processor time or
// frozen: their backend server is at work, and the answer comes when the peer runs again.
func TestCallOutlivesSilentPeer(t *testing.T) {
	const silence = 2 * (maxSilentPeriods + 1) * 50 * time.Millisecond
	tests := map[string]struct {
		replied bool // the head of the answer came before the silence
		doubted bool
	}{
		"waiting for the answer": {doubted: true},
		"within the answer":      {replied: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			to, accept := listenFakePeer(t, 2)
			p := &Pool{Self: 1, Limits: Limits{PingInterval: 50 * time.Millisecond}}
			t.Cleanup(p.Kill)
			doubts := make(chan Doubt, 2)
			answer := make(chan string, 1)
			go func() {
				r, ok := p.Call(WithDoubt(testContext(t), func(d Doubt) { doubts <- d }), to, wire.CallHead{}, nil).(Reply)
				if !c.Check(ok, qt.IsTrue) {
					answer <- ""
					return
				}
				b, err := io.ReadAll(r.Body)
				c.Check(err, qt.IsNil)
				answer <- string(b)
			}()
			peer := accept()
			open := peer.expectOpen()
			head := &wire.ReplyFrame{Call: open.Call, Head: wire.ReplyHead{Status: 200, BodyLength: 4}}
			if tc.replied {
				peer.send(wire.FrameReply, head)
			}
			time.Sleep(silence)
			next := startCall(t, p, to, "b", nil, 0) // on a link of its own
			other := accept()
			other.reply(other.expectOpen().Call, "next")
			c.Check((<-next).body, qt.Equals, "next")
			if !tc.replied {
				peer.send(wire.FrameReply, head)
			}
			peer.send(wire.FrameData, &wire.DataFrame{Call: open.Call, Bytes: []byte("late")})
			peer.send(wire.FrameEnd, &wire.EndFrame{Call: open.Call})
			c.Check(<-answer, qt.Equals, "late")
			c.Check(len(doubts), qt.Equals, map[bool]int{true: 1}[tc.doubted])
			if tc.doubted {
				c.Check(<-doubts, qt.Equals, DoubtSilent)
			}
		})
	}
}

// Guards against a stop that cuts an answer whose server is at work on it, since the agent that asked is late.
func TestStopKeepsAnswerOfSilentPeer(t *testing.T) {
	c := qt.New(t)
	release, replied, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	to, stop := startPool(t, &Pool{Self: 2, Grace: testTimeout, Limits: Limits{PingInterval: 50 * time.Millisecond}, Calls: callHandlerFunc(func(_ context.Context, in InboundCall) {
		w, err := in.Reply(wire.ReplyHead{Status: 200, BodyLength: 2000})
		c.Check(err, qt.IsNil)
		_, err = w.Write(make([]byte, 1000))
		c.Check(err, qt.IsNil)
		close(replied)
		<-release
		_, err = w.Write(make([]byte, 1000))
		done <- errors.Join(err, w.Close())
	})})
	peer := dialFakePeer(t, to)
	peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 1})
	<-replied
	go stop()
	time.Sleep(2 * (maxSilentPeriods + 1) * 50 * time.Millisecond)
	close(release)
	c.Check(<-done, qt.IsNil)
	peer.expect(wire.FrameEnd, &wire.EndFrame{})
}

// Guards against runs that are broken off because the agent that asked is late: the peer that opened
// the call gets its answer when it runs again.
func TestRunOutlivesSilentCaller(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	to, _ := startPool(t, &Pool{Self: 2, Limits: Limits{PingInterval: 50 * time.Millisecond}, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
		<-release
		c.Check(ctx.Err(), qt.IsNil)
		echo(ctx, in)
	})})
	peer := dialFakePeer(t, to)
	peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 1})
	time.Sleep(2 * (maxSilentPeriods + 1) * 50 * time.Millisecond)
	close(release)
	for {
		kind, _, err := peer.fr.next()
		c.Assert(err, qt.IsNil)
		if kind == wire.FrameEnd {
			return
		}
	}
}
