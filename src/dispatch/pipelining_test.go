package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// pipelined returns n requests, with paths /diary/0, /diary/1 and so on.
func pipelined(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "GET /diary/%d HTTP/1.1\r\nHost: bookings.example\r\n\r\n", i)
	}
	return b.String()
}

// readAnswers reads answers until the connection ends or n are there, and returns their bodies.
func readAnswers(conn net.Conn, n int) []string {
	r := bufio.NewReader(conn)
	out := []string{}
	for len(out) < n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return out
		}
		out = append(out, string(b))
	}
	return out
}

// pathsOf returns the paths of the requests of pipelined.
func pathsOf(n int) []string {
	out := []string{}
	for i := range n {
		out = append(out, fmt.Sprint("/diary/", i))
	}
	return out
}

// Callers that send several safe requests before the first is answered, the first of which is slow:
// answers come in the order of sending, and those behind a slow request hold no slots meanwhile.
func TestPipelinedOrder(t *testing.T) {
	const n = 20
	c := qt.New(t)
	var running, most atomic.Int32
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		now := running.Add(1)
		for m := most.Load(); now > m && !most.CompareAndSwap(m, now); m = most.Load() {
		}
		if head.URI == "/diary/0" {
			time.Sleep(60 * time.Millisecond)
		}
		running.Add(-1)
		return newReply(200, head.URI)
	})
	conn := p.sendRaw(c, pipelined(n))
	c.Check(readAnswers(conn, n), qt.DeepEquals, pathsOf(n))
	c.Check(most.Load(), qt.Equals, int32(1))
}

// A slow request behind a fast one: the answer that is ready must not wait for the other.
func TestPipelinedAnswerDoesNotWait(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		if head.URI == "/diary/1" {
			<-release
		}
		return newReply(200, head.URI)
	})
	conn := p.sendRaw(c, pipelined(2))
	c.Assert(conn.SetReadDeadline(time.Now().Add(2*time.Second)), qt.IsNil)
	c.Check(readAnswers(conn, 1), qt.DeepEquals, pathsOf(1))
	close(release)
}

// An answer that closes the connection: nothing that was sent behind its request is run, and the
// answer itself arrives although the requests behind it stay unread.
func TestNothingRunBehindClose(t *testing.T) {
	const answerSize = 8 << 20 // more than the buffers of the connection hold
	tests := map[string]struct {
		first  string
		status int
	}{
		"the caller asks for it": {"GET /diary/0 HTTP/1.1\r\nHost: bookings.example\r\nConnection: close\r\n\r\n", 200},
		"HTTP/1.0":               {"GET /diary/0 HTTP/1.0\r\nHost: bookings.example\r\n\r\n", 200},
		"malformed":              {"GET /diary/0 HTTP/1.1\r\nHost: a.example\r\nHost: bookings.example\r\n\r\n", 400},
		"unreadable":             {"GET /diary/0 HTTP/1.1\r\nHost bookings.example\r\n\r\n", 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			var run []string
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
				mu.Lock()
				defer mu.Unlock()
				run = append(run, head.URI)
				time.Sleep(20 * time.Millisecond)
				return newReply(200, strings.Repeat("a", answerSize))
			})
			behind := strings.ReplaceAll(pipelined(2000), "/diary/", "/diary/behind-")
			conn := p.sendRaw(c, tc.first+behind)
			time.Sleep(100 * time.Millisecond) // the answer must not be lost if the connection is reset meanwhile
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			c.Check(err, qt.IsNil)
			c.Check(resp.StatusCode != 200 || len(b) == answerSize, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
			_, err = r.ReadByte() // of a further answer
			c.Check(err, qt.IsNotNil)
			mu.Lock()
			defer mu.Unlock()
			for _, uri := range run {
				c.Check(uri, qt.Equals, "/diary/0")
			}
		})
	}
}

// A release under load: the proxy is stopped while callers wait for the answers to several requests
// each. Each request that was read is answered, in order, and the last answer closes the connection.
// Requests that could outlast the grace must not be passed on, to be cut at its end.
func TestStopLosesNoPipelinedRequest(t *testing.T) {
	const callers, n = 20, 8
	tests := map[string]struct {
		deadline time.Duration
		runs     int // of each caller's requests
	}{
		"time is left":    {2 * time.Second, n},
		"no time is left": {10 * time.Second, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var started sync.WaitGroup
			started.Add(callers)
			release := make(chan struct{})
			var runs atomic.Int32
			route := diaryRoute
			route.Deadline = document.Duration(tc.deadline)
			p := startProxy(t, route, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
				runs.Add(1)
				if head.URI == "/diary/0" {
					started.Done()
					<-release
				}
				time.Sleep(5 * time.Millisecond)
				return newReply(200, head.URI)
			})
			var conns []net.Conn
			for range callers {
				conns = append(conns, p.sendRaw(c, pipelined(n)))
			}
			started.Wait()
			p.cancel()
			time.Sleep(300 * time.Millisecond) // past the time in which idle connections still accept requests
			close(release)
			for _, conn := range conns {
				answers := readAnswers(conn, n)
				c.Assert(answers, qt.HasLen, n)
				c.Check(answers[:tc.runs], qt.DeepEquals, pathsOf(tc.runs))
				for _, a := range answers[tc.runs:] {
					c.Check(a, qt.Contains, `"reason":"leaving","outcome":"not-run"`)
				}
				_, err := conn.Read(make([]byte, 1))
				c.Check(err, qt.Equals, io.EOF)
			}
			c.Check(runs.Load(), qt.Equals, int32(callers*tc.runs))
		})
	}
}

// Guards against a request behind a chunked body that is lost at a stop: it is in the buffer of the HTTP
// library, and the answer before it says that it is the last.
func TestStopBehindChunkedBody(t *testing.T) {
	c := qt.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
		if body != nil {
			_, _ = io.Copy(io.Discard, body)
		}
		started <- struct{}{}
		<-release
		return newReply(200, "ok")
	})
	conn := p.sendRaw(c, "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"+firstRequest)
	<-started
	p.cancel()
	time.Sleep(50 * time.Millisecond)
	close(release)
	c.Check(readAnswers(conn, 2), qt.HasLen, 2)
}
