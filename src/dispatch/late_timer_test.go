package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against an answer of our own in place of one that came in time, since the call's goroutine ran
// again only after its timer was due.
func TestAnswerBeforeLateTimer(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, document.Route{Name: "diary", Prefix: "/diary"}, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		link.ContextDoubt(ctx)(link.DoubtLost)
		time.Sleep(10 * time.Millisecond)
		return newReply(200, "whole")
	}, func(p *dispatch.Proxy) {
		p.Log = funcr.New(func(_, args string) {
			if strings.Contains(args, `"attempt doubted"`) {
				time.Sleep(200 * time.Millisecond)
			}
		}, funcr.Options{})
		p.Settings.Timeout = 100 * time.Millisecond
	})
	for range 10 {
		got, err := p.do("GET", "/diary", nil)
		c.Assert(err, qt.IsNil)
		c.Check(got.status, qt.Equals, 200)
	}
}

// Guards against a header that is given up although the rest of it came in time, since this process was late to read it.
func TestHeaderBeforeLateRead(t *testing.T) {
	c := qt.New(t)
	var late atomic.Bool
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return newReply(200, "ok") }, func(p *dispatch.Proxy) {
		p.Limits = func() dispatch.Limits {
			if late.Load() {
				time.Sleep(200 * time.Millisecond)
			}
			return dispatch.Limits{HeaderTimeout: 100 * time.Millisecond}
		}
	})
	conn := p.sendRaw(c, "")
	time.Sleep(20 * time.Millisecond)
	late.Store(true)
	for _, part := range []string{firstRequest[:20], firstRequest[20:]} {
		_, err := io.WriteString(conn, part)
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	late.Store(false)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, 200)
}
