package booking

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
)

// Downloads whose callers read slowly hold no slot once the backend server has sent them, so that short reads are still run.
func TestServeCallSlowDownloadsHoldNoSlot(t *testing.T) {
	const slots, size = 2, 540_000
	c := qt.New(t)
	raw := startRawBackend(t)
	raw.answer = func(head string) string {
		n := 2
		if strings.HasPrefix(head, "GET /calendar") {
			n = size
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	}
	s := startServer(t, raw.listener, slots, 8)
	unblock := make(chan struct{})
	downloads := make([]*fakeInbound, 2*slots)
	done := make(chan struct{})
	for i := range downloads {
		downloads[i] = newInbound("GET", "/calendar", "", nil, 0)
		downloads[i].unblock = unblock
		go func() {
			downloads[i].serve(t, s)
			done <- struct{}{}
		}()
	}
	waitUntil(t, "all downloads have been sent by the backend server", func() bool { return s.counters.admitted.Get() == 2*slots && s.InFlight() == 0 })
	c.Assert(newInbound("GET", "/diary", "", nil, 0).serve(t, s).complete, qt.IsTrue)
	close(unblock)
	for range downloads {
		<-done
	}
	for _, in := range downloads {
		c.Check(in.complete, qt.IsTrue)
		c.Check(in.answer.Len(), qt.Equals, size)
	}
	c.Assert(s.bodyBuffer.used.Load(), qt.Equals, int64(0))
}

// A long answer that ends early is refused as a whole; without room in memory it is forwarded while it arrives.
func TestServeCallLongAnswerMemory(t *testing.T) {
	const size = 200_000
	tests := map[string]struct {
		used     int64 // bytes of memory in use before the call
		sent     int
		complete bool
		answered int // bytes that reach the caller
	}{
		"whole":                    {sent: size, complete: true, answered: size},
		"cut":                      {sent: size - 1},
		"no memory left":           {used: maxBufferMemory, sent: size, complete: true, answered: size},
		"no memory left, then cut": {used: maxBufferMemory, sent: size - 1, answered: size - 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw := startRawBackend(t)
			raw.answer = func(string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", tc.sent))
			}
			s := startServer(t, raw.listener, 2, 8)
			s.bodyBuffer.used.Store(tc.used)
			in := newInbound("GET", "/calendar", "", bytes.NewReader(nil), 0)
			s.ServeCall(context.Background(), in)
			c.Assert(in.complete, qt.Equals, tc.complete)
			c.Assert(in.answer.Len(), qt.Equals, tc.answered)
			c.Assert(s.bodyBuffer.used.Load(), qt.Equals, tc.used)
		})
	}
}

// Downloads too long for a buffer, whose callers read nothing, hold no slot once the backend server has worked on them.
func TestServeCallUnreadDownloadsHoldNoSlot(t *testing.T) {
	const slots, size = 2, 8 << 20
	c := qt.New(t)
	raw := startRawBackend(t)
	raw.answer = func(head string) string {
		n := 2
		if strings.HasPrefix(head, "GET /calendar") {
			n = size
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	}
	s := startServer(t, raw.listener, slots, 8)
	unblock := make(chan struct{})
	var downloads sync.WaitGroup
	for range slots {
		in := newInbound("GET", "/calendar", "", nil, 0)
		in.unblock = unblock
		downloads.Go(func() { in.serve(t, s) })
	}
	waitUntil(t, "the downloads are admitted", func() bool { return s.counters.admitted.Get() == slots })
	read := newInbound("GET", "/diary", "", nil, 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		read.serve(t, s)
	}()
	select {
	case <-done:
		c.Check(read.complete, qt.IsTrue)
	case <-time.After(2 * time.Second):
		c.Error("a short read waits for callers that read nothing")
	}
	close(unblock)
	downloads.Wait()
	<-done
}

// Guards against a streamed answer that is cut since its server pauses, although its caller takes all of it.
func TestStreamOutlivesSilentServer(t *testing.T) {
	c := qt.New(t)
	l := listen(c)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(nc, "6\r\nsecond\r\n0\r\n\r\n")
		_, _ = nc.Read(make([]byte, 1))
	}()
	s := &Server{Backend: settings.Backend{Addr: addrOf(l), Slots: 4, Connections: 8, HealthPath: "/health"}, Service: "bookings", Self: 7, UsesHeartbeats: true, stallTimeout: 50 * time.Millisecond}
	s.SetInstance("i-1", 4, true)
	c.Cleanup(s.pool.close)
	in := newInbound("GET", "/diary", "", nil, 0).serve(t, s)
	c.Check(in.refusal, qt.IsNil)
	c.Check(in.answer.String(), qt.Equals, "firstsecond")
}
