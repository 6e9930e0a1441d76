package booking

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("body") }

// Guards against a panic under one run that keeps its slot for good and leaves its caller waiting.
func TestPanicReleasesSlot(t *testing.T) {
	c := qt.New(t)
	raw := startRawBackend(t)
	raw.answer = func(string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" }
	s := startServer(t, raw.listener, 1, 8)
	in := newInbound("POST", "/diary", "", panickingBody{}, 10).serve(t, s)
	c.Assert(in.refusal, qt.IsNotNil)
	c.Check(in.refusal.Reason, qt.Equals, wire.ReasonCut)
	c.Check(in.refusal.MayHaveRun, qt.IsTrue)
	c.Check(s.InFlight(), qt.Equals, 0)
	c.Check(newInbound("GET", "/diary", "", nil, 0).serve(t, s).complete, qt.IsTrue)
}
