package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Callers that go on sending while they read the last answer slowly. They receive all of it, and the
// connection ends without a reset.
func TestCloseLosesNoAnswer(t *testing.T) {
	const size = 1 << 20
	upload := "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 4000000\r\n\r\nx"
	tests := map[string]struct {
		request, further string
		stops            bool // the proxy is stopped before its server answers
		status           int
		answers          int // to all requests
	}{
		"stop":             {firstRequest, pipelined(1), true, 200, 2},
		"stop, half a one": {firstRequest, pipelined(1)[:20], true, 200, 2},
		"asked for":        {"GET /diary HTTP/1.1\r\nHost: bookings.example\r\nConnection: close\r\n\r\n", pipelined(1), false, 200, 1},
		"HTTP/1.0":         {"GET /diary HTTP/1.0\r\nHost: bookings.example\r\n\r\n", pipelined(1), false, 200, 1},
		"unreadable":       {"GET /diary HTTP/1.1\r\nHost bookings.example\r\n\r\n", pipelined(1), false, 400, 1},
		"body too large":   {upload, pipelined(1), false, 413, 1},
		"header too large": {"GET /diary HTTP/1.1\r\nX: " + strings.Repeat("x", 100_000), "x", false, 431, 1},
		"header too slow":  {"GET /diary HTTP/1.1\r\n", "", false, 408, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, stopped := make(chan struct{}), make(chan struct{})
			arrive := sync.OnceFunc(func() { close(arrived) })
			p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
				if tc.stops {
					arrive()
					<-stopped
				}
				return newReply(200, strings.Repeat("a", size))
			}, func(p *dispatch.Proxy) {
				p.Limits = func() dispatch.Limits { return dispatch.Limits{BodyBytes: 1000, HeaderTimeout: 100 * time.Millisecond} }
			})
			conn := p.dialSlowReader(c)
			_, err := io.WriteString(conn, tc.request)
			c.Assert(err, qt.IsNil)
			if tc.stops {
				<-arrived
				p.cancel()
				time.Sleep(50 * time.Millisecond)
				close(stopped)
			}
			r := bufio.NewReader(conn)
			_, err = r.Peek(1) // the head is written
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, tc.further)
			c.Assert(err, qt.IsNil)
			ended := make(chan struct{})
			go func() { // bytes that belong to no request
				defer close(ended)
				for err := error(nil); err == nil && tc.answers == 1; time.Sleep(20 * time.Millisecond) {
					_, err = io.WriteString(conn, "x")
				}
			}()
			time.Sleep(200 * time.Millisecond)
			for i := range tc.answers {
				resp, err := http.ReadResponse(r, nil)
				c.Assert(err, qt.IsNil)
				n, err := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				c.Check(err, qt.IsNil)
				c.Check(i > 0 || resp.StatusCode == tc.status, qt.IsTrue, qt.Commentf("status %d", resp.StatusCode))
				c.Check(resp.StatusCode != 200 || n == size, qt.IsTrue, qt.Commentf("%d bytes", n))
			}
			_, err = r.ReadByte()
			c.Check(err, qt.Equals, io.EOF)
			_ = conn.Close()
			<-ended
		})
	}
}

// A caller that receives nothing more of its answer holds neither its connection for ever nor, once
// it has received everything without closing its side, a stop.
func TestLingerIsBounded(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return newReply(200, "whole") })
	conn := p.sendRaw(c, firstRequest)
	c.Assert(readAnswers(conn, 1), qt.HasLen, 1)
	start := time.Now()
	p.cancel()
	err := <-p.done
	p.done <- err
	c.Check(err, qt.IsNil)
	c.Check(time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
}

// dialSlowReader connects with a small receive buffer, so that most of an answer waits at the proxy.
func (p *testProxy) dialSlowReader(c *qt.C) net.Conn {
	conn := p.sendRaw(c, "")
	c.Assert(conn.(*net.TCPConn).SetReadBuffer(32<<10), qt.IsNil)
	return conn
}
