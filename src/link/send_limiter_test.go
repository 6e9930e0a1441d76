package link

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

const downloadSize = 90_000 // bytes

// sendBodies lets each flow send a body of the given size and returns the order in which they ended and when each did.
func sendBodies(l *sendLimiter, size int, flows map[string]*sendFlow) ([]string, map[string]time.Duration) {
	start := time.Now()
	var mu sync.Mutex
	var order []string
	took := map[string]time.Duration{}
	var wg sync.WaitGroup
	for name, f := range flows {
		l.announce(f, int64(size))
		wg.Go(func() {
			for sent := 0; sent < size; {
				n := min(l.chunk(), size-sent)
				l.acquire(f, n)
				sent += n
			}
			mu.Lock()
			defer mu.Unlock()
			order = append(order, name)
			took[name] = time.Since(start)
		})
	}
	wg.Wait()
	return order, took
}

// Many downloads that leave a VM on a thin link at once pass one after the other, at the rate of the link,
// those that can still be in time before those that cannot, then by priority, then by objective.
func TestSendLimiterOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newSendLimiter(lowBandwidth)
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		flows := map[string]*sendFlow{
			"urgent":       {priority: 1, objective: in(5 * time.Second)},
			"soon":         {priority: 2, objective: in(2 * time.Second)},
			"later":        {priority: 2, objective: in(3 * time.Second)},
			"no objective": {priority: 2},
			"late":         {priority: 0, objective: in(-time.Millisecond)},
		}
		order, took := sendBodies(l, downloadSize, flows)
		c.Assert(order[1:], qt.DeepEquals, []string{"soon", "later", "no objective", "late"}) // "urgent" may be overtaken by the first chunk of another
		c.Assert(order[0], qt.Equals, "urgent")
		duration := func(n float64) time.Duration { return time.Duration(n / l.rate * float64(time.Second)) }
		all := float64(len(flows) * downloadSize)
		c.Assert(took["late"] <= duration(all), qt.IsTrue)
		c.Assert(took["late"] >= duration(all-l.burst-float64(l.chunk())), qt.IsTrue)
		_, delay := l.delay()
		c.Assert(delay, qt.Equals, time.Duration(0))
		c.Assert(l.waiting, qt.HasLen, 0)
	})
}

// While downloads use the whole link, what has been granted but cannot have left yet stays within sendBurst and a chunk, so that a small frame waits no longer.
func TestSendLimiterBoundsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSendLimiter(lowBandwidth)
		f := &sendFlow{}
		start := time.Now()
		sent := 0
		for sent < 20*downloadSize {
			n := l.chunk()
			l.acquire(f, n)
			sent += n
			left := time.Since(start).Seconds() * lowBandwidth
			queued := time.Duration((float64(sent) - left) / lowBandwidth * float64(time.Second))
			qt.Assert(t, queued <= sendBurst+2*sendChunkTime, qt.IsTrue, qt.Commentf("%v after %d bytes", queued, sent))
		}
	})
}

// Small frames are sent at once; the bodies give way for them, but are not stopped for good.
func TestSendLimiterSmallFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newSendLimiter(lowBandwidth)
		for range 1000 {
			l.charge(maxUrgentPayload)
		}
		start := time.Now()
		l.acquire(&sendFlow{}, 1000)
		c.Assert(time.Since(start) <= maxSendDebt+time.Millisecond, qt.IsTrue)
		c.Assert(time.Since(start) >= maxSendDebt/2, qt.IsTrue)
	})
}

// A call that ends while its answer waits for the link no longer delays the others.
func TestSendLimiterFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := newSendLimiter(lowBandwidth)
		l.charge(1 << 20)
		f := &sendFlow{}
		l.announce(f, downloadSize)
		late := &sendFlow{objective: time.Now().Add(-time.Second)}
		l.announce(late, downloadSize)
		inTime, all := l.delay()
		c.Assert(inTime, qt.Equals, l.duration(downloadSize))
		c.Assert(all, qt.Equals, l.duration(2*downloadSize))
		l.finish(late)
		ended := make(chan struct{})
		go func() {
			l.acquire(f, l.chunk())
			close(ended)
		}()
		synctest.Wait()
		l.finish(f)
		<-ended
		l.finish(f)
		l.acquire(f, l.chunk()) // returns at once
		l.announce(f, downloadSize)
		_, delay := l.delay()
		c.Assert(delay, qt.Equals, time.Duration(0))
		c.Assert(l.waiting, qt.HasLen, 0)
	})
}

// Small reads beside downloads on a thin link: the downloads pass at the rate of the link, and no limit applies to what a VM sends to itself.
func TestDownloadsOnThinLink(t *testing.T) {
	const size, calls = 60_000, 4
	tests := map[string]struct {
		self    uint64 // of the caller
		limited bool
	}{
		"other VM": {self: 1, limited: true},
		"own VM":   {self: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &Pool{Self: 2, Limits: Limits{Bandwidth: lowBandwidth}, Calls: callHandlerFunc(func(_ context.Context, in InboundCall) {
				c.Check(in.Peer().ID, qt.Equals, tc.self)
				n := 10
				if in.Head().URI == "/download" {
					n = size
				}
				w, err := in.Reply(wire.ReplyHead{Status: 200, BodyLength: int64(n)})
				if err == nil {
					_, _ = w.Write(make([]byte, n))
					_ = w.Close()
				}
			})}
			peer, _ := startPool(t, server)
			client := &Pool{Self: tc.self}
			t.Cleanup(client.Kill)
			get := func(uri string) time.Duration {
				start := time.Now()
				r, ok := client.Call(testContext(t), peer, wire.CallHead{Target: 2, Method: "GET", URI: uri, ObjectiveMS: 60_000}, nil).(Reply)
				if !c.Check(ok, qt.IsTrue) {
					return 0
				}
				defer func() { _ = r.Body.Close() }()
				_, err := io.Copy(io.Discard, r.Body)
				c.Check(err, qt.IsNil)
				return time.Since(start)
			}
			get("/small") // opens the link
			var wg sync.WaitGroup
			took := make([]time.Duration, calls)
			for i := range calls {
				wg.Go(func() { took[i] = get("/download") })
			}
			small := get("/small")
			wg.Wait()
			least := time.Duration((calls*size - lowBandwidth*sendBurst.Seconds()) / lowBandwidth * float64(time.Second))
			c.Check(slices.Max(took) >= least, qt.Equals, tc.limited, qt.Commentf("%v", took))
			c.Check(small < least/2, qt.IsTrue, qt.Commentf("%v", small))
			_, delay := server.OutboundDelay()
			c.Check(delay, qt.Equals, time.Duration(0))
		})
	}
}
