package booking

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// BenchmarkCall measures a call through admission to a backend server with no service time. A POST that finds no recently used connection opens one.
func BenchmarkCall(b *testing.B) {
	for _, method := range []string{"GET", "POST"} {
		for name, idle := range map[string]time.Duration{"connection just used": 0, "connection idle": maxNonIdempotentIdle} {
			b.Run(method+" "+name, func(b *testing.B) { benchmarkCall(b, method, idle) })
		}
	}
}

func benchmarkCall(b *testing.B, method string, idle time.Duration) {
	backend := startBackend(b, &standin.Backend{Slots: 12, Connections: 120})
	s := startServer(b, backend.Listener, 12, 120)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.pool.mu.Lock()
		for _, c := range s.pool.idle {
			c.lastAnswer = c.lastAnswer.Add(-idle)
		}
		s.pool.mu.Unlock()
		i++
		in := newInbound(method, "/diary", fmt.Sprint(i), nil, 0).serve(b, s)
		if in.refusal != nil {
			b.Fatal(in.refusal)
		}
	}
}

// BenchmarkDirect measures the same request without admission, over one keep-alive connection.
func BenchmarkDirect(b *testing.B) {
	backend := startBackend(b, &standin.Backend{Slots: 12, Connections: 120})
	nc, err := net.Dial("tcp", addrOf(backend.Listener).String())
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	buf := make([]byte, 4096)
	for b.Loop() {
		_, err = nc.Write([]byte("GET /diary HTTP/1.1\r\nHost: a\r\n\r\n"))
		if err == nil {
			_, err = nc.Read(buf)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCore measures the admission and the release of one call.
func BenchmarkCore(b *testing.B) {
	c := warmCore(12, 64, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		c.Step(epoch, Arrive{Call: 1, Route: "read", Timeout: time.Second})
		c.Step(epoch, Release{Call: 1, Took: time.Millisecond})
	}
}
