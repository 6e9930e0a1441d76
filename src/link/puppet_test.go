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

// puppet is the other end of a link, driven frame by frame by a test.
type puppet struct {
	tb testing.TB
	nc net.Conn
	fr frameReader
}

func newPuppet(tb testing.TB, nc net.Conn) *puppet {
	tb.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(guard))
	return &puppet{tb: tb, nc: nc, fr: frameReader{r: nc}}
}

// servePuppet accepts one link and exchanges hellos as member id.
func servePuppet(tb testing.TB, id uint64) (Peer, func() *puppet) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = l.Close() })
	accept := func() *puppet {
		nc, err := l.Accept()
		qt.Assert(tb, err, qt.IsNil)
		p := newPuppet(tb, nc)
		var h wire.HelloFrame
		p.expect(wire.FrameHello, &h)
		p.send(wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: id})
		return p
	}
	return Peer{ID: id, Addr: AddrOf(l.Addr())}, accept
}

// dialPuppet links to a pool as member 99.
func dialPuppet(tb testing.TB, to Peer) *puppet {
	nc, err := net.Dial("tcp", to.Addr.String())
	qt.Assert(tb, err, qt.IsNil)
	p := newPuppet(tb, nc)
	p.send(wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: 99, Expect: to.ID})
	var h wire.HelloFrame
	p.expect(wire.FrameHello, &h)
	return p
}

// pipePuppet is joined to a connection of p by a pipe without any buffer.
func pipePuppet(tb testing.TB, p *Pool, dialed bool) (*puppet, *connection, chan struct{}) {
	p.init()
	a, b := net.Pipe()
	c := newConnection(p, a, frameReader{r: a}, Peer{ID: 99, Addr: loopback(9)}, dialed)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run()
	}()
	tb.Cleanup(func() {
		c.fail(errKilled)
		<-done
		p.callWorkers.StopAndWait() // its idle workers would count as leaked
	})
	return newPuppet(tb, b), c, done
}

func (p *puppet) send(k wire.FrameKind, m msgp.Marshaler) { p.raw(appendFrame(nil, k, m)) }

func (p *puppet) raw(b []byte) {
	_, err := p.nc.Write(b)
	qt.Assert(p.tb, err, qt.IsNil)
}

// expect reads frames until one of kind k comes.
func (p *puppet) expect(k wire.FrameKind, m msgp.Unmarshaler) {
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

// expectOpen returns the next call that is opened.
func (p *puppet) expectOpen() wire.OpenFrame {
	var f wire.OpenFrame
	p.expect(wire.FrameOpen, &f)
	return f
}

// expectEnd waits until the other end has closed the link.
func (p *puppet) expectEnd() {
	for {
		if _, _, err := p.fr.next(); err != nil {
			var timeout net.Error
			qt.Assert(p.tb, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("link stayed open"))
			return
		}
	}
}

// answer sends a whole answer.
func (p *puppet) answer(call uint64, body string) {
	p.send(wire.FrameReply, &wire.ReplyFrame{Call: call, Head: wire.ReplyHead{Status: 200, BodyLength: int64(len(body))}})
	p.send(wire.FrameData, &wire.DataFrame{Call: call, Bytes: []byte(body)})
	p.send(wire.FrameEnd, &wire.EndFrame{Call: call})
}

// result is what a call came to.
type result struct {
	body string
	err  error
	out  Outcome
}

func (r result) refusal(tb testing.TB) wire.Refusal {
	refused, ok := r.out.(Refused)
	qt.Assert(tb, ok, qt.IsTrue, qt.Commentf("%+v", r))
	return refused.Refusal
}

// begin starts a call named by its URI and returns where its result comes.
func begin(tb testing.TB, p *Pool, to Peer, uri string, body io.Reader, length int64) chan result {
	ctx := guarded(tb)
	ch := make(chan result, 1)
	go func() {
		out := p.Call(ctx, to, wire.CallHead{Target: to.ID, URI: uri, BodyLength: length}, body)
		r, ok := out.(Reply)
		if !ok {
			ch <- result{out: out}
			return
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		ch <- result{string(b), err, out}
	}()
	return ch
}
