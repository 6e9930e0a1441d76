package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// slowReader reads a few bytes at a time.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.r.Read(p[:min(len(p), 2<<10)])
}

// When a member stops and another one takes its address, each call is either answered whole or
// refused as not run, and none runs on the other member.
func TestStopAndReplacement(t *testing.T) {
	tests := map[string]struct {
		mbps           float64
		upload, answer int
		slow           bool // the callers read slowly
		kill           bool // the stop is cut short; calls may then have run
	}{
		"downloads over 25 Mbit/s": {mbps: 25, answer: 64 << 10},
		"downloads over 5 Mbit/s":  {mbps: 5, answer: 32 << 10},
		"uploads over 25 Mbit/s":   {mbps: 25, upload: 64 << 10},
		"uploads over 5 Mbit/s":    {mbps: 5, upload: 32 << 10},
		"both over 5 Mbit/s":       {mbps: 5, upload: 16 << 10, answer: 16 << 10},
		"slow readers":             {mbps: 1000, answer: 128 << 10, slow: true},
		"short calls":              {answer: 10},
		"killed":                   {mbps: 25, answer: 64 << 10, kill: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := Limits{Bandwidth: test.mbps * 1e6 / 8}
			var ran atomic.Int64
			server := &Pool{Self: 2, Limits: limits, Calls: callHandlerFunc(func(_ context.Context, in InboundCall) {
				ran.Add(1)
				if n, err := io.Copy(io.Discard, in.Body()); err != nil || n != int64(test.upload) {
					return
				}
				if w, err := in.Reply(wire.ReplyHead{BodyLength: int64(test.answer)}); err == nil {
					if _, err := w.Write(make([]byte, test.answer)); err == nil {
						_ = w.Close()
					}
				}
			})}
			to, stop := startPool(t, server)
			p := &Pool{Self: 1, Limits: limits}
			t.Cleanup(p.Kill)
			var callers sync.WaitGroup
			var answered, notRun, mayHaveRun atomic.Int64
			ctx, cancel := context.WithCancel(testContext(t))
			for range 4 {
				callers.Go(func() {
					for ctx.Err() == nil {
						switch out := p.Call(testContext(t), to, wire.CallHead{BodyLength: int64(test.upload)}, bytes.NewReader(make([]byte, test.upload))).(type) {
						case Reply:
							r := io.Reader(out.Body)
							if test.slow {
								r = slowReader{r}
							}
							n, err := io.Copy(io.Discard, r)
							_ = out.Body.Close()
							if err != nil || n != int64(test.answer) {
								mayHaveRun.Add(1)
								break
							}
							answered.Add(1)
						case Refused:
							if out.Refusal.MayHaveRun {
								mayHaveRun.Add(1)
								break
							}
							notRun.Add(1)
							time.Sleep(time.Millisecond)
						}
					}
				})
			}
			eventually(t, "calls are answered", func() bool { return answered.Load() >= 4 })
			if test.kill {
				server.Kill()
			}
			stop()
			ranByStop := ran.Load()
			l, err := net.Listen("tcp", to.Addr.String())
			qt.Assert(t, err, qt.IsNil)
			replacement := &Pool{Self: 3, Listener: l, Calls: callHandlerFunc(func(context.Context, InboundCall) { t.Error("call for another member was served") })}
			done := make(chan error, 1)
			go func() { done <- replacement.Run(context.Background()) }()
			refused := notRun.Load()
			eventually(t, "calls are refused", func() bool { return notRun.Load() >= refused+20 })
			cancel()
			callers.Wait()
			replacement.Kill()
			qt.Check(t, <-done, qt.IsNil)
			qt.Check(t, ran.Load(), qt.Equals, ranByStop)
			if test.kill {
				qt.Check(t, mayHaveRun.Load() <= 4, qt.IsTrue)
				qt.Check(t, answered.Load()+mayHaveRun.Load() >= ran.Load(), qt.IsTrue)
				return
			}
			qt.Check(t, mayHaveRun.Load(), qt.Equals, int64(0))
			qt.Check(t, answered.Load(), qt.Equals, ran.Load())
		})
	}
}
