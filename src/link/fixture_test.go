package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/wire"
)

const testTimeout = 20 * time.Second // so that a test that hangs fails

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type callHandlerFunc func(ctx context.Context, in InboundCall)

func (f callHandlerFunc) ServeCall(ctx context.Context, in InboundCall) { f(ctx, in) }

type messageHandlerFunc func(from Peer, kind MessageKind, payload []byte) ([]byte, error)

func (f messageHandlerFunc) ServeMessage(_ context.Context, from Peer, kind MessageKind, payload []byte) ([]byte, error) {
	return f(from, kind, payload)
}

// startPool runs a pool on loopback. It returns the peer to dial and a function that stops the pool gracefully.
func startPool(tb testing.TB, p *Pool) (Peer, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	p.Listener = l
	p.init()
	if p.Grace == 0 {
		p.Grace = testTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stop := func() {
		cancel()
		select {
		case err := <-done:
			qt.Check(tb, err, qt.IsNil)
			done <- nil
		case <-time.After(testTimeout):
			tb.Error("pool did not stop")
		}
	}
	tb.Cleanup(stop)
	return Peer{ID: p.Self, Addr: l.Addr().(*net.TCPAddr).AddrPort()}, stop
}

// startClient returns a pool that only dials.
func startClient(tb testing.TB) *Pool {
	p := &Pool{Self: 1}
	tb.Cleanup(p.Kill)
	return p
}

func testContext(tb testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	tb.Cleanup(cancel)
	return ctx
}

// echo answers a call with its own body.
func echo(_ context.Context, in InboundCall) {
	h := in.Head()
	w, err := in.Reply(wire.ReplyHead{Status: 200, BodyLength: h.BodyLength, Fields: h.Fields})
	if err != nil {
		return
	}
	if _, err := io.Copy(w, in.Body()); err != nil {
		in.Refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true})
		return
	}
	w.Close()
}

// call makes a call and returns the body of its answer.
func call(ctx context.Context, p *Pool, to Peer, body []byte) ([]byte, Outcome, error) {
	out := p.Call(ctx, to, wire.CallHead{Target: to.ID, Method: "POST", URI: "/", BodyLength: int64(len(body))}, bytes.NewReader(body))
	r, ok := out.(Reply)
	if !ok {
		return nil, out, nil
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return b, out, err
}

func loopbackAddr(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
