package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const guard = 10 * time.Second // against a test that hangs

var diary = document.Route{Name: "diary", Prefix: "/diary", Retry: document.Retry{Attempts: 2}}

// raw sends bytes on a connection of its own.
func (p *proxy) raw(c *qt.C, request string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(guard)), qt.IsNil)
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	return conn
}

func wait(c *qt.C, done <-chan struct{}, what string) {
	c.Helper()
	select {
	case <-done:
	case <-time.After(guard):
		c.Fatalf("%s: not within %s", what, guard)
	}
}

// cutBody is an answer's body that ends in the middle.
type cutBody struct{ left int }

func (b *cutBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

func (b *cutBody) Close() error { return nil }

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	tests := map[string]struct {
		length int64 // stated, -1 for none
		proto  string
	}{
		"stated length":      {1 << 20, "HTTP/1.1"},
		"chunked":            {-1, "HTTP/1.1"},
		"until the end, 1.0": {-1, "HTTP/1.0"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
				return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: tc.length}, Body: &cutBody{left: 200_000}}
			})
			conn := p.raw(c, "GET /diary "+tc.proto+"\r\nHost: bookings.example\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			c.Assert(err, qt.IsNotNil)
		})
	}
}

func TestAnswerLongerThanItsHeadIsCut(t *testing.T) {
	c := qt.New(t)
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: 100_000}, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 100_000) + "HTTP/1.1 200 OK\r\n\r\n"))}
	})
	_, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNotNil)
}

func TestShortCutAnswer(t *testing.T) {
	tests := map[string]struct {
		method, outcome string
		status, calls   int
	}{
		"read is repeated":   {"GET", "", 200, 2},
		"write is uncertain": {"POST", "may-have-run", 502, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int64
			p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
				if calls.Add(1) == 1 {
					return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: 100}, Body: &cutBody{left: 50}}
				}
				return reply(200, "whole")
			})
			got, err := p.do(tc.method, "/diary", nil)
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, tc.status)
			c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, tc.outcome)
			c.Check(int(calls.Load()), qt.Equals, tc.calls)
		})
	}
}

func TestCallerThatVanishesCancelsItsCall(t *testing.T) {
	tests := map[string]string{
		"without a body": "GET /diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n",
		"after its body": "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 4\r\n\r\nbody",
		"in its body":    "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 70_000),
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, cancelled := make(chan struct{}), make(chan struct{})
			route := diary
			route.Timeout, route.Deadline = document.Duration(6*guard), document.Duration(6*guard)
			p := start(t, route, func(ctx context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
				close(arrived)
				if body != nil {
					if _, err := io.Copy(io.Discard, body); err != nil {
						close(cancelled)
						return refused(wire.ReasonCancelled, true)
					}
				}
				<-ctx.Done()
				close(cancelled)
				return refused(wire.ReasonCancelled, true)
			})
			conn := p.raw(c, request)
			wait(c, arrived, "the call")
			_ = conn.Close()
			wait(c, cancelled, "the cancellation")
		})
	}
}

// TestTruncatedUploadNeverLooksWhole ends the caller's connection in the middle of a body.
func TestTruncatedUploadNeverLooksWhole(t *testing.T) {
	tests := map[string]string{
		"stated length": "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 70_000),
		"in a chunk":    "Transfer-Encoding: chunked\r\n\r\n13880\r\n" + strings.Repeat("x", 70_000),
		"after a chunk": "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70_000) + "\r\n",
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, read := make(chan struct{}), make(chan error, 1)
			p := start(t, diary, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
				close(arrived)
				_, err := io.Copy(io.Discard, body)
				read <- err
				return refused(wire.ReasonCancelled, true)
			})
			conn := p.raw(c, "PUT /diary HTTP/1.1\r\nHost: bookings.example\r\n"+rest)
			wait(c, arrived, "the call")
			_ = conn.Close()
			c.Assert(<-read, qt.IsNotNil)
		})
	}
}

func TestCallOfACancelledParentEndsWithoutAnAnswer(t *testing.T) {
	c := qt.New(t)
	done := make(chan struct{})
	p := start(t, diary, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		close(done)
		<-ctx.Done()
		return refused(wire.ReasonCancelled, true)
	}, func(p *dispatch.Proxy) {
		p.Parent = func(string) (dispatch.Parent, bool) { return dispatch.Parent{Done: done}, true }
	})
	_, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "x")
	c.Assert(err, qt.IsNotNil)
}

func TestBytesOfANextRequestAreKeptWhileACallRuns(t *testing.T) {
	c := qt.New(t)
	running, release := make(chan struct{}, 2), make(chan struct{})
	p := start(t, diary, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		running <- struct{}{}
		<-release
		return reply(200, head.URI)
	})
	conn := p.raw(c, "GET /diary/1 HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
	<-running
	time.Sleep(50 * time.Millisecond) // lets the watch begin; the outcome is the same without
	_, err := io.WriteString(conn, "GET /diary/2 HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	close(release)
	r := bufio.NewReader(conn)
	for _, want := range []string{"/diary/1", "/diary/2"} {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(string(b), qt.Equals, want)
	}
}

// TestUnreadBodyIsNotTakenForARequest refuses an upload whose rest looks like another request.
func TestUnreadBodyIsNotTakenForARequest(t *testing.T) {
	tests := map[string]string{"refused": "/diary", "no route": "/other"}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int64
			p := start(t, diary, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
				if head.URI == "/diary/smuggled" {
					calls.Add(1)
				}
				return refused(wire.ReasonQueueFull, false)
			})
			inner := "GET /diary/smuggled HTTP/1.1\r\nHost: bookings.example\r\n\r\n"
			conn := p.raw(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 400000\r\n\r\n%s", path, strings.Repeat("x", 65<<10)+inner))
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			c.Check(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Check(resp.Close, qt.IsTrue)
			_, err = r.ReadByte()
			c.Check(err, qt.IsNotNil)
			c.Check(calls.Load(), qt.Equals, int64(0))
		})
	}
}

func TestNotRunIsTriedElsewhere(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	to, bodies := []uint64{}, []string{}
	p := start(t, diary, func(_ context.Context, peer link.Peer, head wire.CallHead, body io.Reader) link.Outcome {
		b, _ := io.ReadAll(body)
		mu.Lock()
		defer mu.Unlock()
		to, bodies = append(to, peer.ID), append(bodies, string(b))
		if len(to) == 1 {
			return refused(wire.ReasonLeaving, false)
		}
		return reply(201, "booked")
	})
	got, err := p.do("POST", "/diary", strings.NewReader("tuesday"))
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 201)
	c.Check(bodies, qt.DeepEquals, []string{"tuesday", "tuesday"})
	c.Check(to[0], qt.Not(qt.Equals), to[1])
}

// TestAnswersAreNotCrossed lets reads be hedged, so that late answers of given-up attempts come beside those of others.
func TestAnswersAreNotCrossed(t *testing.T) {
	c := qt.New(t)
	route := diary
	route.Hedge.After = document.Duration(time.Millisecond)
	p := start(t, route, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		time.Sleep(time.Duration(len(head.URI)*int(head.Attempt)%7) * time.Millisecond)
		return reply(200, strings.Repeat(head.URI, 50))
	}, func(p *dispatch.Proxy) { p.Core.RetryShare = 1 })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 50 {
				uri := fmt.Sprintf("/diary/%d/%s", i, strings.Repeat("y", j))
				got, err := p.do("GET", uri, nil)
				c.Check(err, qt.IsNil)
				c.Check(got.body, qt.Equals, strings.Repeat(uri, 50))
			}
		})
	}
	wg.Wait()
}

func TestFieldsOfOursAreStripped(t *testing.T) {
	c := qt.New(t)
	var head wire.CallHead
	parent := dispatch.Parent{TraceID: "t-1", Depth: 2, RetryLayer: true}
	p := start(t, diary, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
		head = h
		return reply(200, "", wire.Field{Name: "Yuccaport-Outcome", Value: "forged"}, wire.Field{Name: "X-Kept", Value: "1"})
	}, func(p *dispatch.Proxy) {
		p.Parent = func(token string) (dispatch.Parent, bool) { return parent, token == "secret" }
	})
	got, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "secret", "yuccaport-outcome", "not-run", "X-Own", "1", "Connection", "X-Hop", "X-Hop", "1")
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "")
	c.Check(got.header.Get("x-kept"), qt.Equals, "1")
	names := []string{}
	for _, f := range head.Fields {
		names = append(names, f.Name)
	}
	c.Check(names, qt.Contains, "X-Own")
	for _, n := range names {
		c.Check(strings.HasPrefix(n, "Yuccaport-") || n == "X-Hop" || n == "Connection", qt.IsFalse, qt.Commentf("%s", n))
	}
	c.Check(head.TraceID, qt.Equals, "t-1")
	c.Check(head.Depth, qt.Equals, uint8(3))
	c.Check(head.RetryLayer, qt.IsTrue)
}

func TestDeadlineOfTheParentBoundsTheCall(t *testing.T) {
	c := qt.New(t)
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		return reply(200, "")
	}, func(p *dispatch.Proxy) {
		p.Parent = func(string) (dispatch.Parent, bool) {
			return dispatch.Parent{Deadline: time.Now().Add(-time.Second)}, true
		}
	})
	got, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "x")
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.body, qt.Matches, `{"reason":"deadline","outcome":"not-run".*\n`)
}

// closedBody is a long answer that tells when it is given up.
type closedBody struct {
	cutBody
	closed chan struct{}
}

func (b *closedBody) Close() error {
	close(b.closed)
	return nil
}

func TestStalledCallerStallsNobodyElse(t *testing.T) {
	c := qt.New(t)
	long := &closedBody{cutBody: cutBody{left: 1 << 30}, closed: make(chan struct{})}
	p := start(t, diary, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		if head.URI == "/diary/long" {
			return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: 1 << 30}, Body: long}
		}
		return reply(200, "whole")
	}, func(p *dispatch.Proxy) { p.Stall = 300 * time.Millisecond })
	p.raw(c, "GET /diary/long HTTP/1.1\r\nHost: bookings.example\r\n\r\n") // is never read
	for range 20 {
		got, err := p.do("GET", "/diary", nil)
		c.Assert(err, qt.IsNil)
		c.Check(got.body, qt.Equals, "whole")
	}
	wait(c, long.closed, "the end of the stalled call")
}

func TestTimeoutsOfServersThatNeverAnswer(t *testing.T) {
	c := qt.New(t)
	route := diary
	route.Timeout = document.Duration(50 * time.Millisecond)
	p := start(t, route, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		<-ctx.Done()
		return refused(wire.ReasonCancelled, true)
	})
	got, err := p.do("POST", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 504)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "may-have-run")
}

func TestSlowUploadIsNoTimeout(t *testing.T) {
	c := qt.New(t)
	route := diary
	route.Timeout = document.Duration(50 * time.Millisecond)
	p := start(t, route, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
		n, err := io.Copy(io.Discard, body)
		return reply(200, fmt.Sprint(n, err))
	})
	r, w := io.Pipe()
	go func() {
		for range 20 {
			_, _ = w.Write(make([]byte, 5_000))
			time.Sleep(15 * time.Millisecond)
		}
		_ = w.Close()
	}()
	got, err := p.do("POST", "/diary", r)
	c.Assert(err, qt.IsNil)
	c.Check(got.body, qt.Equals, "100000 <nil>")
}

func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		close(running)
		<-release
		return reply(200, "whole")
	})
	idle := p.raw(c, "")
	answers := make(chan string, 1)
	go func() {
		got, err := p.do("GET", "/diary", nil)
		answers <- fmt.Sprint(got.status, got.body, err)
	}()
	<-running
	p.cancel()
	_, err := idle.Read(make([]byte, 1)) // the idle connection ends first
	c.Check(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
	close(release)
	c.Check(<-answers, qt.Equals, "200whole<nil>")
}

func TestKillCutsRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	p := start(t, diary, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		close(running)
		<-ctx.Done()
		return refused(wire.ReasonCancelled, true)
	})
	conn := p.raw(c, "GET /diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
	<-running
	p.Kill()
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
}

// TestLiveRunReplays records calls through a proxy and replays them on a core.
func TestLiveRunReplays(t *testing.T) {
	c := qt.New(t)
	var buf bytes.Buffer
	var n atomic.Int64
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		if n.Add(1)%5 == 0 {
			return refused(wire.ReasonQueueFull, false)
		}
		return reply(200, "whole")
	}, func(p *dispatch.Proxy) {
		p.Record = &trace.Recorder{W: &buf, Header: trace.Header{Core: dispatch.CoreName, Seed: 7}}
	})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 20 {
				_, err := p.do("GET", "/diary", nil)
				c.Check(err, qt.IsNil)
			}
		})
	}
	wg.Wait()
	p.Explain("bookings.example", "/diary", "GET") // draws nothing
	c.Assert(p.Record.Err(), qt.IsNil)
	tr, err := trace.Read(&buf)
	c.Assert(err, qt.IsNil)
	c.Assert(len(tr.Entries) >= 80*3, qt.IsTrue, qt.Commentf("%d", len(tr.Entries)))
	core, err := dispatch.NewReplay(tr.Header)
	c.Assert(err, qt.IsNil)
	c.Assert(tr.Run(core), qt.IsNil)
}

func TestExplain(t *testing.T) {
	c := qt.New(t)
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return reply(200, "") })
	x := p.Explain("bookings.example", "/diary/7", "GET")
	c.Check(x.Reason, qt.Equals, "same_domain")
	c.Check(x.Route, qt.Equals, "diary")
	c.Check(x.Idempotent, qt.IsTrue)
	c.Check(x.Candidates, qt.HasLen, 3)
	c.Check(x.Choice != 0, qt.IsTrue)
	c.Check(p.Explain("bookings.example", "/other", "GET").Reason, qt.Equals, "no_route")
}

// TestNewProxyTakesCallersOnceItKnowsServers connects before there is a table.
func TestNewProxyTakesCallersOnceItKnowsServers(t *testing.T) {
	c := qt.New(t)
	var asked atomic.Int64
	p := start(t, diary, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		return reply(200, "whole")
	}, func(p *dispatch.Proxy) {
		table := p.Table
		p.Start = guard
		p.Table = func() *dispatch.Table {
			if asked.Add(1) < 20 {
				return nil
			}
			return table()
		}
	})
	got, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
}

func TestNotReady(t *testing.T) {
	c := qt.New(t)
	p := start(t, diary, nil, func(p *dispatch.Proxy) { p.Start, p.Table = time.Millisecond, func() *dispatch.Table { return nil } })
	got, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "not-run")
	c.Check(p.Explain("bookings.example", "/diary", "GET").Reason, qt.Equals, "not_ready")
}
