package link

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestCutCalls checks the lines on a call whose link the stopping server closes, at both ends.
func TestCutCalls(t *testing.T) {
	tests := map[string]struct {
		bodyLength, answerLength int64
		kill                     bool
		server, client           string
	}{
		"body arriving":    {bodyLength: 9, server: "body link_grace", client: "sent link_closed"},
		"running":          {server: "running link_grace", client: "sent link_closed"},
		"running, killed":  {kill: true, server: "running kill_timer", client: "sent link_closed"},
		"answer streaming": {answerLength: 9, server: "answer_streaming link_grace", client: "answer_arriving link_closed"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			started := make(chan struct{})
			server := &Pool{Self: 2, Grace: 50 * time.Millisecond, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
				if tc.answerLength > 0 {
					w, err := in.Reply(wire.ReplyHead{Status: 200, BodyLength: tc.answerLength})
					c.Check(err, qt.IsNil)
					_, err = w.Write([]byte("part"))
					c.Check(err, qt.IsNil)
				}
				close(started)
				<-ctx.Done()
				c.Check(tc.server, qt.Contains, EnderOfCall(context.Cause(ctx)).String())
			})}
			client := startClient(t)
			serverCuts, clientCuts := make(chan string, 1), make(chan string, 1)
			server.Log, client.Log = cutLog(serverCuts), cutLog(clientCuts)
			to, stop := startPool(t, server)
			body, w := io.Pipe()
			defer func() { _ = w.Close() }()
			go client.Call(testContext(t), to, wire.CallHead{Target: 2, TraceID: "r1", BodyLength: tc.bodyLength}, body)
			<-started
			server.StopBegan(time.Now())
			if tc.kill {
				server.Kill()
			} else {
				stop()
			}
			c.Check(<-serverCuts, qt.Equals, tc.server)
			c.Check(<-clientCuts, qt.Equals, tc.client)
		})
	}
}

// TestEnderOfCall checks who is said to have ended a call whose link goes on.
func TestEnderOfCall(t *testing.T) {
	tests := map[string]struct {
		timeoutMS int64
		want      cut.Ender
	}{
		"cancelled": {want: cut.Caller},
		"timeout":   {timeoutMS: 20, want: cut.Timeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(testContext(t))
			got := make(chan cut.Ender, 1)
			to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(func(ctx context.Context, _ InboundCall) {
				if tc.timeoutMS == 0 {
					cancel()
				}
				<-ctx.Done()
				got <- EnderOfCall(context.Cause(ctx))
			})})
			startClient(t).Call(ctx, to, wire.CallHead{Target: 2, TimeoutMS: tc.timeoutMS}, nil)
			qt.Check(t, <-got, qt.Equals, tc.want)
			cancel()
		})
	}
}

// cutLog returns a logger that passes on the state and ender of each call that is cut.
func cutLog(cuts chan<- string) logr.Logger {
	return funcr.NewJSON(func(text string) {
		var l struct {
			Message string `json:"msg"`
			ID      string `json:"request_id"`
			State   string `json:"state"`
			EndedBy string `json:"ended_by"`
		}
		if json.Unmarshal([]byte(text), &l) == nil && l.Message == "request cut" && l.ID == "r1" {
			cuts <- l.State + " " + l.EndedBy
		}
	}, funcr.Options{})
}
