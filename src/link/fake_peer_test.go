package link

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// fakePeer is the peer of a link, controlled frame by frame by a test.
type fakePeer struct {
	tb testing.TB
	nc net.Conn
	fr frameReader
}

func newFakePeer(tb testing.TB, nc net.Conn) *fakePeer {
	tb.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(testTimeout))
	return &fakePeer{tb: tb, nc: nc, fr: frameReader{r: nc}}
}

// listenFakePeer listens as member id. It returns the peer to dial and a function that accepts a link and exchanges hellos.
func listenFakePeer(tb testing.TB, id uint64) (Peer, func() *fakePeer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = l.Close() })
	accept := func() *fakePeer {
		nc, err := l.Accept()
		qt.Assert(tb, err, qt.IsNil)
		p := newFakePeer(tb, nc)
		var h wire.HelloFrame
		p.expect(wire.FrameHello, &h)
		p.send(wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: id})
		return p
	}
	return Peer{ID: id, Addr: AddrOf(l.Addr())}, accept
}

// dialFakePeer opens a link to a pool as member 99.
func dialFakePeer(tb testing.TB, to Peer) *fakePeer {
	nc, err := net.Dial("tcp", to.Addr.String())
	qt.Assert(tb, err, qt.IsNil)
	p := newFakePeer(tb, nc)
	p.send(wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: 99, Expect: to.ID})
	var h wire.HelloFrame
	p.expect(wire.FrameHello, &h)
	return p
}

// pipeFakePeer returns a fake peer and the connection of p that an unbuffered pipe joins it to. The channel is closed when the connection has ended.
func pipeFakePeer(tb testing.TB, p *Pool, dialed bool) (*fakePeer, *connection, chan struct{}) {
	p.init()
	a, b := net.Pipe()
	c := newConnection(p, a, frameReader{r: a}, Peer{ID: 99, Addr: loopbackAddr(9)}, dialed)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run()
	}()
	tb.Cleanup(func() {
		c.fail(errPoolKilled)
		<-done
		p.callWorkers.StopAndWait() // goleak would report its idle workers
	})
	return newFakePeer(tb, b), c, done
}

func (p *fakePeer) send(k wire.FrameKind, m msgp.Marshaler) { p.write(appendFrame(nil, k, m)) }

func (p *fakePeer) write(b []byte) {
	_, err := p.nc.Write(b)
	qt.Assert(p.tb, err, qt.IsNil)
}

// expect skips frames until one of kind k and decodes it into m.
func (p *fakePeer) expect(k wire.FrameKind, m msgp.Unmarshaler) {
	for {
		kind, body, err := p.fr.next()
		qt.Assert(p.tb, err, qt.IsNil)
		if kind == k {
			_, err := m.UnmarshalMsg(body)
			qt.Assert(p.tb, err, qt.IsNil)
			return
		}
	}
}

// expectOpen returns the next open frame.
func (p *fakePeer) expectOpen() wire.OpenFrame {
	var f wire.OpenFrame
	p.expect(wire.FrameOpen, &f)
	return f
}

// expectClosed waits until the pool has closed the link.
func (p *fakePeer) expectClosed() {
	for {
		if _, _, err := p.fr.next(); err != nil {
			var timeout net.Error
			qt.Assert(p.tb, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("link stayed open"))
			return
		}
	}
}

// reply sends a complete answer with the given body.
func (p *fakePeer) reply(call uint64, body string) {
	p.send(wire.FrameReply, &wire.ReplyFrame{Call: call, Head: wire.ReplyHead{Status: 200, BodyLength: int64(len(body))}})
	p.send(wire.FrameData, &wire.DataFrame{Call: call, Bytes: []byte(body)})
	p.send(wire.FrameEnd, &wire.EndFrame{Call: call})
}

// callResult is the outcome of a call and the body of its answer.
type callResult struct {
	body    string
	err     error
	outcome Outcome
}

func (r callResult) refusal(tb testing.TB) wire.Refusal {
	refused, ok := r.outcome.(Refused)
	qt.Assert(tb, ok, qt.IsTrue, qt.Commentf("%+v", r))
	return refused.Refusal
}

// startCall starts a call with the given URI and returns the channel of its result.
func startCall(tb testing.TB, p *Pool, to Peer, uri string, body io.Reader, length int64) chan callResult {
	ctx := testContext(tb)
	ch := make(chan callResult, 1)
	go func() {
		outcome := p.Call(ctx, to, wire.CallHead{Target: to.ID, URI: uri, BodyLength: length}, body)
		r, ok := outcome.(Reply)
		if !ok {
			ch <- callResult{outcome: outcome}
			return
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		ch <- callResult{string(b), err, outcome}
	}()
	return ch
}
