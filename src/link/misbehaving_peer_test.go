package link

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// blockUntilCancelled serves a call without reading or answering until it is cancelled.
func blockUntilCancelled(ctx context.Context, _ InboundCall) { <-ctx.Done() }

// Invalid frames from a dialling end close the link with an error of kind problem.Protocol.
func TestProtocolErrorFromDialer(t *testing.T) {
	open := func(id uint64) []byte {
		return appendFrame(nil, wire.FrameOpen, &wire.OpenFrame{Call: id, Head: wire.CallHead{BodyLength: -1}})
	}
	tests := map[string][]byte{
		"frame of length 0":       {0, 0, 0, 0},
		"oversize frame":          binary.BigEndian.AppendUint32(nil, maxFrameSize+1),
		"length of 4 GB":          {0xff, 0xff, 0xff, 0xff, 1},
		"unknown kind":            {0, 0, 0, 1, 200},
		"kind for a dialling end": appendFrame(nil, wire.FrameReply, &wire.ReplyFrame{Call: 1}),
		"second hello":            appendFrame(nil, wire.FrameHello, &wire.HelloFrame{}),
		"malformed body":          {0, 0, 0, 3, byte(wire.FrameOpen), 0x92, 0xc1},
		"bytes after the body":    append(binary.BigEndian.AppendUint32(nil, 4), byte(wire.FramePing), 0x91, 0x01, 0x00),
		"array of 2^32-1 fields":  hugeArrayFrame(),
		"data of unopened call":   appendData(nil, 1, []byte("x")),
		"window of unopened call": appendFrame(nil, wire.FrameWindow, &wire.WindowFrame{Call: 7, Add: 1}),
		"duplicate id":            append(open(5), open(5)...),
		"decreasing id":           append(open(5), open(4)...),
		"more than the window":    appendOverWindow(open(1)),
		"window above maximum":    append(open(1), appendFrame(nil, wire.FrameWindow, &wire.WindowFrame{Call: 1, Add: 1 << 31})...),
	}
	for name, frames := range tests {
		t.Run(name, func(t *testing.T) {
			peer, c, done := pipeFakePeer(t, &Pool{Self: 2, Calls: callHandlerFunc(blockUntilCancelled)}, false)
			go func() { _, _ = io.Copy(io.Discard, peer.nc) }()
			_, _ = peer.nc.Write(frames)
			<-done
			qt.Assert(t, errors.Is(c.err, problem.Protocol), qt.IsTrue, qt.Commentf("%v", c.err))
		})
	}
}

// appendOverWindow appends more data frames of call 1 than the initial window allows.
func appendOverWindow(b []byte) []byte {
	for range initialWindow/chunkSize + 1 {
		b = appendData(b, 1, make([]byte, chunkSize))
	}
	return b
}

// hugeArrayFrame returns an open frame whose head declares 2^32-1 header fields.
func hugeArrayFrame() []byte {
	body := []byte{byte(wire.FrameOpen), 0x92, 0x01, 0x81, 0xa6, 'f', 'i', 'e', 'l', 'd', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Invalid frames from an accepting end close the link with an error of kind problem.Protocol.
func TestProtocolErrorFromAcceptor(t *testing.T) {
	reply := appendFrame(nil, wire.FrameReply, &wire.ReplyFrame{Call: 1, Head: wire.ReplyHead{BodyLength: -1}})
	tests := map[string][]byte{
		"reply to unopened call":   appendFrame(nil, wire.FrameReply, &wire.ReplyFrame{Call: 2}),
		"refusal of unopened call": appendFrame(nil, wire.FrameRefuse, &wire.RefuseFrame{Call: 2}),
		"doubt of unopened call":   appendFrame(nil, wire.FrameDoubt, &wire.DoubtFrame{Call: 2}),
		"answer to unsent message": appendFrame(nil, wire.FrameAnswer, &wire.AnswerFrame{ID: 2}),
		"second reply":             append(reply[:len(reply):len(reply)], reply...),
		"data before the head":     appendData(nil, 1, []byte("x")),
		"end before the head":      appendFrame(nil, wire.FrameEnd, &wire.EndFrame{Call: 1}),
		"open from acceptor":       appendFrame(nil, wire.FrameOpen, &wire.OpenFrame{Call: 2}),
		"more than the window":     appendOverWindow(reply[:len(reply):len(reply)]),
	}
	for name, frames := range tests {
		t.Run(name, func(t *testing.T) {
			peer, c, done := pipeFakePeer(t, startClient(t), true)
			_, reason := c.openCall(wire.CallHead{}, nil)
			qt.Assert(t, reason, qt.Equals, wire.ReasonNone)
			peer.expectOpen()
			_, _ = peer.nc.Write(frames)
			<-done
			qt.Assert(t, errors.Is(c.err, problem.Protocol), qt.IsTrue, qt.Commentf("%v", c.err))
		})
	}
}

// The link to a peer that opens calls without reading their refusals is closed once the unread refusals exceed their limit.
func TestOpenFlood(t *testing.T) {
	p := &Pool{Self: 2, Calls: callHandlerFunc(blockUntilCancelled), Limits: Limits{CallsPerLink: 4}}
	peer, c, done := pipeFakePeer(t, p, false)
	for id := uint64(1); ; id++ {
		if _, err := peer.nc.Write(appendFrame(nil, wire.FrameOpen, &wire.OpenFrame{Call: id})); err != nil {
			break
		}
		c.queue.mu.Lock()
		queued := len(c.queue.urgent)
		c.queue.mu.Unlock()
		qt.Assert(t, queued <= maxUrgentBytes+maxFrameSize, qt.IsTrue)
	}
	<-done
	qt.Assert(t, errors.Is(c.err, problem.Protocol), qt.IsTrue)
	qt.Assert(t, len(c.inboundCalls), qt.Equals, 0)
}

// Calls over the limits are refused as not run. The cancels only end the handlers; that a cancelled call makes room for another is not checked.
func TestCallLimits(t *testing.T) {
	tests := map[string]Limits{
		"of one link":  {CallsPerLink: 2},
		"of all links": {Calls: 2},
	}
	for name, limits := range tests {
		t.Run(name, func(t *testing.T) {
			to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(blockUntilCancelled), Limits: limits})
			peer := dialFakePeer(t, to)
			for id := uint64(1); id <= 3; id++ {
				peer.send(wire.FrameOpen, &wire.OpenFrame{Call: id})
			}
			var f wire.RefuseFrame
			peer.expect(wire.FrameRefuse, &f)
			qt.Assert(t, f, qt.Equals, wire.RefuseFrame{Call: 3, Refusal: wire.Refusal{Reason: wire.ReasonLimit}})
			peer.send(wire.FrameCancel, &wire.CancelFrame{Call: 1})
			peer.send(wire.FrameCancel, &wire.CancelFrame{Call: 2})
		})
	}
}

// A call whose answer is not read buffers no more than its window and does not block other calls.
func TestStalledReader(t *testing.T) {
	server := &Pool{Self: 2, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
		w, err := in.Reply(wire.ReplyHead{Status: 200, BodyLength: -1})
		for err == nil {
			_, err = w.Write(make([]byte, chunkSize))
		}
	})}
	to, _ := startPool(t, server)
	p := startClient(t)
	var stalled []io.ReadCloser
	for range 10 {
		r := p.Call(testContext(t), to, wire.CallHead{}, nil).(Reply)
		stalled = append(stalled, r.Body)
	}
	r := p.Call(testContext(t), to, wire.CallHead{}, nil).(Reply)
	_, err := io.CopyN(io.Discard, r.Body, 8<<20)
	qt.Assert(t, err, qt.IsNil)
	for _, body := range stalled {
		b := body.(*replyReader).o.recvBuffer
		b.mu.Lock()
		qt.Check(t, len(b.buf) <= initialWindow, qt.IsTrue)
		b.mu.Unlock()
		_ = body.Close()
	}
	_ = r.Body.Close()
	qt.Assert(t, p.memoryBudget.used.Load(), qt.Equals, int64(0))
}

// Windows grow only while the memory budget that all calls share lasts. A call whose window cannot grow still succeeds.
func TestWindowGrowthMemoryLimit(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	p := &Pool{Self: 1, Limits: Limits{Memory: initialWindow}}
	t.Cleanup(p.Kill)
	body := make([]byte, 1<<20)
	got, _, err := call(testContext(t), p, to, body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, len(body))
	qt.Assert(t, p.memoryBudget.used.Load(), qt.Equals, int64(0))
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, byte(wire.FramePing), 0x91}, true)
	f.Add(appendFrame(nil, wire.FrameOpen, &wire.OpenFrame{Call: 1, Head: wire.CallHead{Method: "GET", Fields: []wire.Field{{Name: "a"}}}}), false)
	f.Add(appendData(appendFrame(nil, wire.FrameReply, &wire.ReplyFrame{Call: 1}), 1, []byte("x")), true)
	f.Add(appendFrame(nil, wire.FrameMessage, &wire.MessageFrame{ID: 1, Kind: 1, Last: true, Payload: []byte("x")}), false)
	f.Fuzz(func(t *testing.T, b []byte, dialed bool) {
		peer, c, done := pipeFakePeer(t, &Pool{Self: 2, Calls: callHandlerFunc(echo)}, dialed)
		go func() { _, _ = io.Copy(io.Discard, peer.nc) }()
		if dialed {
			c.openCall(wire.CallHead{}, nil)
		}
		_, _ = peer.nc.Write(b)
		_ = peer.nc.Close()
		<-done
		if len(c.frames.buf) > maxFrameSize+2*readBufferSize {
			t.Fatalf("frame reader holds a buffer of %d bytes", len(c.frames.buf))
		}
		c.pool.Kill()
	})
}
