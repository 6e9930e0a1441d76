package booking

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

// A connection that the backend server has closed after its answer is not used again, so nothing may have run for nothing.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			raw := startRawBackend(t)
			s := startServer(t, raw.listener, 4, 8)
			raw.answer = func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }
			for range 3 {
				in := newInbound(method, "/orders", "t", nil, 0).serve(t, s)
				qt.Assert(t, in.refusal, qt.IsNil)
				eventually(t, "the backend server's close is seen", func() bool {
					s.pool.mu.Lock()
					defer s.pool.mu.Unlock()
					return len(s.pool.idle) == 1 && !s.pool.idle[0].alive()
				})
			}
		})
	}
}

func TestWhichConnectionACallGets(t *testing.T) {
	tests := map[string]struct {
		idle    time.Duration
		answers int // before the last one
		proven  bool
		reuse   bool
	}{
		"just used":                                        {idle: verifiedFor / 2, reuse: true},
		"just used, must not run twice":                    {idle: verifiedFor / 2, proven: true, reuse: true},
		"idle for long":                                    {idle: verifiedFor * 2, reuse: true},
		"first answer this moment":                         {reuse: true},
		"first answer this moment, must not run twice":     {proven: true},
		"kept after an earlier answer, must not run twice": {answers: 1, proven: true, reuse: true},
		"idle for long, must not run twice":                {answers: 1, idle: verifiedFor * 2, proven: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := listen(t) // connections are opened and never spoken on
			defer func() { _ = l.Close() }()
			now := time.Now()
			p := &connPool{Addr: addrOf(l), Max: 2, Now: func() time.Time { return now }}
			defer p.close()
			c, err := p.get(context.Background(), false)
			qt.Assert(t, err, qt.IsNil)
			c.answers = test.answers
			p.put(c)
			now = now.Add(test.idle)
			got, err := p.get(context.Background(), test.proven)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got == c, qt.Equals, test.reuse)
			p.drop(got)
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	now := time.Now()
	p := &connPool{Addr: addrOf(l), Max: 2, Now: func() time.Time { return now }}
	defer p.close()
	first, err := p.get(context.Background(), false)
	qt.Assert(t, err, qt.IsNil)
	second, err := p.get(context.Background(), false)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.get(context.Background(), false)
	qt.Assert(t, err, qt.Equals, errPoolExhausted)
	p.put(first)
	now = now.Add(time.Hour)
	third, err := p.get(context.Background(), true) // takes the place of the idle one
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.openCount, qt.Equals, 2)
	p.put(third)
	p.drop(second)
	now = now.Add(time.Hour)
	p.closeExpired()
	qt.Assert(t, p.openCount, qt.Equals, 0)
}

func TestFieldsAreSentAsTheyCame(t *testing.T) {
	raw := startRawBackend(t)
	s := startServer(t, raw.listener, 4, 8)
	raw.answer = func(head string) string {
		qt.Check(t, strings.HasPrefix(head, "GET /a%20b?c=d%2Fe HTTP/1.1\r\n"), qt.IsTrue, qt.Commentf("%s", head))
		qt.Check(t, field(head, "Host"), qt.Equals, "bookings")
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	in := newInbound("GET", "/a%20b?c=d%2Fe", "t", nil, 0).serve(t, s)
	qt.Assert(t, in.complete, qt.IsTrue)
}

// A probe goes over a pooled connection, so that a payment finds one that has just answered.
func TestProbeProvesAConnection(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := &Server{Backend: settings.Backend{Addr: addrOf(b.Listener), Slots: 4, Connections: 8, HealthPath: "/health"}}
	now := time.Now()
	s.Now = func() time.Time { return now }
	s.init()
	defer s.pool.close()
	qt.Assert(t, s.queryHealth(context.Background()), qt.Equals, HealthUp)
	now = now.Add(2 * verifiedFor)
	qt.Assert(t, s.queryHealth(context.Background()), qt.Equals, HealthUp)
	c, err := s.pool.get(context.Background(), true)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.answers, qt.Equals, 2)
	qt.Assert(t, s.pool.openCount, qt.Equals, 1)
	s.pool.drop(c)
}
