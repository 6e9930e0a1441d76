package link

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// A stop waits for peers that are alive and have not taken all answers yet, and for no others.
func TestDrainWaitsForLivePeers(t *testing.T) {
	const grace = 2 * time.Second
	tests := map[string]struct {
		peer  func(tb testing.TB, to Peer) // opens a link and returns once the stop may begin
		waits bool
	}{
		"without links": {peer: func(testing.TB, Peer) {}},
		"no hello": {peer: func(tb testing.TB, to Peer) {
			nc, err := net.Dial("tcp", to.Addr.String())
			qt.Assert(tb, err, qt.IsNil)
			tb.Cleanup(func() { _ = nc.Close() })
			time.Sleep(10 * time.Millisecond) // until it is accepted
		}},
		"silent, without calls": {peer: func(tb testing.TB, to Peer) { dialFakePeer(tb, to) }},
		"silent, with an answer": {peer: func(tb testing.TB, to Peer) {
			p := dialFakePeer(tb, to)
			p.send(wire.FrameOpen, &wire.OpenFrame{Call: 1})
			p.expect(wire.FrameEnd, &wire.EndFrame{})
		}},
		"alive": {waits: true, peer: func(tb testing.TB, to Peer) {
			p := dialFakePeer(tb, to)
			go func() {
				for range time.NewTicker(10 * time.Millisecond).C {
					if _, err := p.nc.Write(appendFrame(nil, wire.FramePong, &wire.PongFrame{})); err != nil {
						return
					}
				}
			}()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to, stop := startPool(t, &Pool{Self: 2, Grace: grace, Calls: callHandlerFunc(echo), Limits: Limits{PingInterval: 50 * time.Millisecond}})
			test.peer(t, to)
			start := time.Now()
			stop()
			qt.Assert(t, time.Since(start) >= grace, qt.Equals, test.waits, qt.Commentf("%s", time.Since(start)))
		})
	}
}

// What a pool has written when it closes its links reaches a peer that reads it late and still sends.
func TestCloseKeepsWhatIsWritten(t *testing.T) {
	const size = 200 << 10
	tests := map[string]func(p *Pool, stop func()){
		"Kill":                    func(p *Pool, _ func()) { p.Kill() },
		"end of the grace period": func(_ *Pool, stop func()) { go stop() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{}, 1)
			server := &Pool{Self: 2, Grace: time.Millisecond, Calls: callHandlerFunc(func(_ context.Context, in InboundCall) {
				w, err := in.Reply(wire.ReplyHead{BodyLength: size})
				qt.Check(t, err, qt.IsNil)
				_, err = w.Write(make([]byte, size))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, w.Close(), qt.IsNil)
				answered <- struct{}{}
			})}
			to, stop := startPool(t, server)
			peer := dialFakePeer(t, to)
			qt.Assert(t, peer.nc.(*net.TCPConn).SetReadBuffer(32<<10), qt.IsNil)
			peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 1})
			peer.send(wire.FrameWindow, &wire.WindowFrame{Call: 1, Add: size - initialWindow})
			<-answered
			end(server, stop)
			time.Sleep(closeTimeout / 5)
			peer.send(wire.FramePing, &wire.PingFrame{})
			time.Sleep(closeTimeout / 5)
			peer.expect(wire.FrameEnd, &wire.EndFrame{})
		})
	}
}

// Frames that cross a goaway frame must not end the link: an upload on its way would cut all calls
// in progress. The goaway frame covers a message that a call has overtaken on the link; its sender
// would wait for the answer until its time is over.
func TestFramesCrossingGoaway(t *testing.T) {
	server := &Pool{Self: 2, Calls: callHandlerFunc(echo), Messages: messageHandlerFunc(func(_ Peer, _ MessageKind, payload []byte) ([]byte, error) { return payload, nil })}
	to, stop := startPool(t, server)
	peer := dialFakePeer(t, to)
	peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 2})
	peer.expect(wire.FrameEnd, &wire.EndFrame{})
	go stop()
	var goaway wire.GoawayFrame
	peer.expect(wire.FrameGoaway, &goaway)
	qt.Assert(t, goaway.Last, qt.Equals, uint64(2))
	peer.send(wire.FrameOpen, &wire.OpenFrame{Call: 3, Head: wire.CallHead{BodyLength: -1}})
	peer.send(wire.FrameData, &wire.DataFrame{Call: 3, Bytes: []byte("x")})
	peer.send(wire.FrameEnd, &wire.EndFrame{Call: 3})
	peer.send(wire.FrameWindow, &wire.WindowFrame{Call: 3, Add: 1})
	peer.send(wire.FrameMessage, &wire.MessageFrame{ID: 4, Last: true})
	peer.send(wire.FrameMessage, &wire.MessageFrame{ID: 1, Last: true})
	var answer wire.AnswerFrame
	_ = peer.nc.SetDeadline(time.Now().Add(time.Second))
	peer.expect(wire.FrameAnswer, &answer)
	qt.Assert(t, answer.ID, qt.Equals, uint64(1))
	_ = peer.nc.Close()
}
