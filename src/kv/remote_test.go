package kv_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
)

// guard bounds the calls of a test that would otherwise hang.
const guard = 20 * time.Second

// fasthttpSleepers are goroutines that a fasthttp server leaves behind for a few seconds.
var fasthttpSleepers = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
}

func listen(c *qt.C) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return ln
}

func addrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// remote returns a Remote whose store runs until the test ends.
func remote(c *qt.C, k *standin.Keyspace) *kv.Remote {
	c.Cleanup(func() { goleak.VerifyNone(c, fasthttpSleepers...) })
	ln := listen(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := &standin.StoreServer{Listener: ln, Keyspace: k, Log: logr.Discard()}
	go func() { done <- s.Run(ctx) }()
	r := &kv.Remote{Addr: addrOf(ln), Prefix: "p/", Timeout: guard}
	c.Cleanup(func() {
		c.Check(r.Close(), qt.IsNil)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return r
}

func TestRemoteKeepsWhatItIsGiven(t *testing.T) {
	c := qt.New(t)
	r := remote(c, &standin.Keyspace{})
	ctx := context.Background()
	_, err := r.Get(ctx, "a b/ü&=")
	c.Assert(err, qt.ErrorIs, problem.NotFound)
	first, err := r.Swap(ctx, "a b/ü&=", 0, []byte("one"))
	c.Assert(err, qt.IsNil)
	_, err = r.Swap(ctx, "a b/ü&=", 0, []byte("two"))
	c.Assert(err, qt.ErrorIs, problem.Conflict)
	big := make([]byte, kv.MaxValueSize)
	second, err := r.Swap(ctx, "a b/ü&=", first, big)
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	_, err = r.Swap(ctx, "a b/ü&=", second, append(big, 0))
	c.Assert(err, qt.ErrorIs, problem.Usage)
	e, err := r.Get(ctx, "a b/ü&=")
	c.Assert(err, qt.IsNil)
	c.Assert(len(e.Value), qt.Equals, len(big))
	c.Assert(e.Revision, qt.Equals, second)
	c.Assert(r.Delete(ctx, "a b/ü&=", first), qt.ErrorIs, problem.Conflict)
	c.Assert(r.Delete(ctx, "a b/ü&=", second), qt.IsNil)
	_, err = r.Get(ctx, "a b/ü&=")
	c.Assert(err, qt.ErrorIs, problem.NotFound)
}

func TestRemoteLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := remote(c, &standin.Keyspace{Now: func() time.Time { return now }})
	ctx := context.Background()
	l, err := r.Grant(ctx, "l", "a", time.Second)
	c.Assert(err, qt.IsNil)
	_, err = r.Grant(ctx, "l", "b", time.Second)
	c.Assert(err, qt.ErrorIs, problem.Conflict)
	c.Assert(r.Renew(ctx, l), qt.IsNil)
	now = now.Add(2 * time.Second)
	c.Assert(r.Renew(ctx, l), qt.ErrorIs, problem.Conflict)
	other, err := r.Grant(ctx, "l", "b", time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(other.Token > l.Token, qt.IsTrue)
	c.Assert(r.Release(ctx, l), qt.IsNil)
	c.Assert(r.Renew(ctx, other), qt.IsNil)
}

func TestRemoteWatch(t *testing.T) {
	c := qt.New(t)
	k := &standin.Keyspace{}
	r := remote(c, k)
	ctx := context.Background()
	e, err := r.Watch(ctx, "k", 0, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, uint64(0))
	got := make(chan kv.Entry, 1)
	go func() {
		e, _ := r.Watch(ctx, "k", 0, guard)
		got <- e
	}()
	for k.Calls().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err = r.Swap(ctx, "k", 0, []byte("v"))
	c.Assert(err, qt.IsNil)
	c.Assert(string((<-got).Value), qt.Equals, "v")

	ended, cancel := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		_, err := r.Watch(ended, "k", 99, guard)
		failed <- err
	}()
	for k.Calls().Watches < 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	c.Assert(<-failed, qt.ErrorIs, problem.Unavailable)
}
