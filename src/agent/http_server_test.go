package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// A stop, after which the process exits: a request in progress is answered before, unless that takes too long.
func TestServeHTTPFinishesRequests(t *testing.T) {
	tests := map[string]struct {
		takes    time.Duration
		answered bool
	}{
		"in time":  {100 * time.Millisecond, true},
		"too long": {20 * httpCloseTimeout, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			ctx, stop := context.WithCancel(context.Background())
			arrived, answered, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			go func() {
				ended <- serveHTTP(ctx, l, func(*fasthttp.RequestCtx) {
					close(arrived)
					time.Sleep(tc.takes)
				})
			}()
			go func() {
				resp, err := http.Get("http://" + l.Addr().String())
				if err == nil {
					_ = resp.Body.Close()
				}
				close(answered)
			}()
			<-arrived
			start := time.Now()
			stop()
			c.Assert(<-ended, qt.IsNil)
			c.Check(time.Since(start) < 10*httpCloseTimeout, qt.IsTrue)
			select {
			case <-answered:
				c.Check(tc.answered, qt.IsTrue)
			case <-time.After(50 * time.Millisecond):
				c.Check(tc.answered, qt.IsFalse)
			}
		})
	}
}
