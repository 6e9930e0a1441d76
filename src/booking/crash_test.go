package booking

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

// crashingBackend is a backend server that never answers and that crash ends: its connections are
// closed and, unless keepsListening is set, new ones are refused.
type crashingBackend struct {
	listener       net.Listener
	keepsListening bool
	answers        chan struct{} // each value answers a request for /answered; nil for none

	mu      sync.Mutex
	conns   []net.Conn
	running int
}

func startCrashingBackend(tb testing.TB) *crashingBackend {
	b := &crashingBackend{listener: listen(tb)}
	go func() {
		for {
			nc, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, nc)
			b.mu.Unlock()
			go b.serve(nc)
		}
	}()
	tb.Cleanup(b.crash)
	tb.Cleanup(func() { _ = b.listener.Close() })
	return b
}

func (b *crashingBackend) serve(nc net.Conn) {
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.running++
		b.mu.Unlock()
		if req.URL.Path == "/answered" {
			b.mu.Lock()
			b.conns = slices.DeleteFunc(b.conns, func(c net.Conn) bool { return c == nc }) // crash does not close it
			b.mu.Unlock()
			<-b.answers
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (b *crashingBackend) crash() {
	if !b.keepsListening {
		_ = b.listener.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, nc := range b.conns {
		_ = nc.Close()
	}
	b.conns = nil
}

// A backend server that is back as another instance before a refused connection could show that it
// crashed has crashed all the same, unless it had said that it is leaving. A connection that it closed
// alone, before it went on answering, must not make a request suspect once it is replaced.
func TestServerDetectsCrashByNextInstance(t *testing.T) {
	tests := map[string]struct {
		next    string
		drained bool
		answers bool // on another connection after it has closed one
		want    uint64
	}{
		"another instance": {next: "i-2", want: 1},
		"same instance":    {next: "i-1"},
		"another instance, after its planned stop":    {next: "i-2", drained: true},
		"another instance, after the old one went on": {next: "i-2", answers: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := startCrashingBackend(c)
			b.keepsListening, b.answers = true, make(chan struct{})
			s := &Server{
				Backend: settings.Backend{Addr: b.listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 4, Connections: 8},
				Service: "bookings", Self: 7, UsesHeartbeats: true, Quarantine: &quarantine.Node{Members: func() []wire.Member { return nil }},
			}
			s.SetInstance("i-1", 4, true)
			running := 0
			start := func(path string) <-chan struct{} {
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.ServeCall(t.Context(), newInbound("GET", path, "", nil, 0))
				}()
				running++
				waitUntil(c, "the call runs", func() bool {
					b.mu.Lock()
					defer b.mu.Unlock()
					return b.running == running
				})
				return done
			}
			var answered <-chan struct{}
			if tc.answers {
				answered = start("/answered")
			}
			done := start("/diary")
			if tc.drained {
				s.DrainAfter(0)
			}
			b.crash()
			<-done
			if tc.answers {
				time.Sleep(2 * crashCloseTime)
				b.answers <- struct{}{}
				<-answered
			}
			c.Check(s.counters.crashes.Get(), qt.Equals, uint64(0))
			s.Resume()
			s.SetInstance(tc.next, 4, true)
			c.Check(s.counters.crashes.Get(), qt.Equals, tc.want)
			s.pool.close()
		})
	}
}

// A crash of the backend server is told from a connection that it alone has closed, and from the
// end of one that has said that it is leaving; all calls that it ran belong to one crash.
func TestServerDetectsCrash(t *testing.T) {
	tests := map[string]struct {
		keepsListening, drained bool
		want                    uint64
	}{
		"crash":                   {want: 1},
		"only connections closed": {keepsListening: true},
		"planned stop":            {drained: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := startCrashingBackend(c)
			b.keepsListening = tc.keepsListening
			s := &Server{
				Backend: settings.Backend{Addr: b.listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 4, Connections: 8},
				Service: "bookings", Self: 7, UsesHeartbeats: true,
			}
			s.SetInstance("i-1", 4, true)
			const calls = 3
			var wg sync.WaitGroup
			var ins []*fakeInbound
			for range calls {
				in := newInbound("GET", "/diary", "", nil, 0)
				ins = append(ins, in)
				wg.Go(func() { s.ServeCall(t.Context(), in) })
			}
			waitUntil(c, "the calls run", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return b.running == calls
			})
			if tc.drained {
				s.DrainAfter(0)
			}
			b.crash()
			wg.Wait()
			c.Check(s.counters.crashes.Get(), qt.Equals, tc.want)
			for _, in := range ins {
				c.Assert(in.refusal, qt.IsNotNil)
				c.Check(in.refusal.MayHaveRun, qt.IsTrue)
			}
			s.pool.close()
		})
	}
}
