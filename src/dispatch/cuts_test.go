package dispatch_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// endingBody is a body of which a part arrives before its Read fails with err or, if that is nil, with that of ctx.
type endingBody struct {
	ctx  context.Context
	part io.Reader
	err  error
}

func (b *endingBody) Read(p []byte) (int, error) {
	if n, _ := b.part.Read(p); n > 0 {
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *endingBody) Close() error { return nil }

// TestProxyCuts checks the lines on requests that are cut, or refused, in each state.
func TestProxyCuts(t *testing.T) {
	const request, further = "GET /diary HTTP/1.1\r\nHost: bookings.example\r\nX-Trace-Id: r1\r\n\r\n", "GET /diary HTTP/1.1\r\nHost: bookings.example\r\nX-Trace-Id: r2\r\n\r\n"
	part := strings.Repeat("part", 4<<10)
	closed := &link.LostError{By: cut.LinkClosed, Cause: io.EOF}
	tests := map[string]struct {
		sent   string
		length int64 // of the answer, 0 for none
		part   string
		err    error // after the part; nil for none before the stop
		kill   bool
		want   []string
	}{
		"header":                    {sent: request[:30], want: []string{" header proxy_grace 0"}},
		"body":                      {sent: "POST" + strings.TrimSuffix(request[3:], "\r\n") + "Content-Length: 9\r\n\r\npart", want: []string{"r1 body proxy_grace 0"}},
		"sent":                      {sent: request, want: []string{"r1 sent proxy_grace 502"}},
		"sent and held, killed":     {sent: request + further, kill: true, want: []string{"r1 sent kill_timer 0", "r2 held kill_timer 0"}},
		"answer arriving":           {sent: request, length: 9, part: "part", want: []string{"r1 answer_arriving proxy_grace 502"}},
		"answer streaming":          {sent: request, length: 1 << 20, part: part, want: []string{"r1 answer_streaming proxy_grace 200"}},
		"answer streaming, killed":  {sent: request, length: 1 << 20, part: part, kill: true, want: []string{"r1 answer_streaming kill_timer 200"}},
		"link closed in the answer": {sent: request, length: 1 << 20, part: part, err: closed, want: []string{"r1 answer_streaming link_closed 200"}},
		"link closed, no length":    {sent: request, length: -1, part: part, err: closed, want: []string{"r1 answer_streaming link_closed 200"}},
		"whole answer":              {sent: request, length: -1, part: strings.Repeat("whole", 100), err: io.EOF, want: []string{"r1   200"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			var got []string
			started := make(chan struct{}, 2)
			p := startProxy(t, document.Route{Name: "diary", Prefix: "/diary"}, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
				started <- struct{}{}
				if tc.length == 0 {
					<-ctx.Done()
					return newRefusal(wire.ReasonCancelled, true)
				}
				return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: tc.length}, Body: &endingBody{ctx, strings.NewReader(tc.part), tc.err}}
			}, func(p *dispatch.Proxy) {
				p.Grace, p.Headers = 300*time.Millisecond, header.Names{RequestID: "X-Trace-Id"}
				p.Log = funcr.NewJSON(func(text string) {
					var l struct {
						Message string `json:"msg"`
						ID      string `json:"request_id"`
						State   string `json:"state"`
						EndedBy string `json:"ended_by"`
						Status  int    `json:"status"`
					}
					if json.Unmarshal([]byte(text), &l) != nil || l.Message != "request cut" && l.Message != "answer ended" {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					got = append(got, fmt.Sprint(l.ID, " ", l.State, " ", l.EndedBy, " ", l.Status))
				}, funcr.Options{})
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET /other HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
			c.Assert(err, qt.IsNil)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil) // now the connection has been accepted
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, tc.sent)
			c.Assert(err, qt.IsNil)
			if !strings.HasPrefix(tc.want[0], " header") && !strings.HasPrefix(tc.want[0], "r1 body") {
				<-started
			}
			if strings.HasPrefix(tc.want[0], "r1 body") { // else the stop may refuse it before its body
				calls := p.Metrics.GetOrCreateCounter("yuccaport_dispatch_calls_total")
				for calls.Get() < 2 {
					time.Sleep(time.Millisecond)
				}
			}
			if tc.length != 0 && !strings.Contains(tc.want[0], "arriving") {
				_, err = io.ReadFull(br, make([]byte, 200)) // the answer has begun
				c.Check(err, qt.IsNil)
			}
			p.StopBegan(time.Now())
			if tc.kill {
				p.Kill()
			}
			p.cancel()
			p.done <- <-p.done
			mu.Lock()
			defer mu.Unlock()
			slices.Sort(got)
			c.Check(got, qt.DeepEquals, tc.want)
		})
	}
}
