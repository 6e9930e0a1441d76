package kv_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
)

// short is a timeout that a test waits out.
const short = 50 * time.Millisecond

func TestRemoteUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults      standin.Faults
		read, write problem.Kind // "" for none
		took        bool         // the write took effect
	}{
		"none":        {standin.Faults{}, "", "", true},
		"down":        {standin.Faults{Down: true}, problem.Unavailable, problem.Unavailable, false},
		"slow":        {standin.Faults{Slow: time.Minute}, problem.Unavailable, problem.Unsure, false},
		"lost answer": {standin.Faults{LoseAnswers: 1}, "", problem.Unsure, true},
		"stale read":  {standin.Faults{StaleReads: 1}, problem.NotFound, "", true},
		"crossed":     {standin.Faults{Reorder: true}, "", "", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := &standin.Keyspace{}
			r := remote(c, k)
			ctx := context.Background()
			first, err := r.Swap(ctx, "k", 0, []byte("one"))
			c.Assert(err, qt.IsNil)
			k.SetFaults(tc.faults)
			if tc.faults.Slow > 0 {
				r.Timeout = short
			}
			_, err = r.Get(ctx, "k")
			checkKind(c, err, tc.read)
			_, err = r.Swap(ctx, "k", first, []byte("two"))
			checkKind(c, err, tc.write)
			r.Timeout = guard
			k.SetFaults(standin.Faults{})
			e, err := r.Get(ctx, "k")
			c.Assert(err, qt.IsNil)
			c.Check(e.Revision > first, qt.Equals, tc.took)
		})
	}
}

func checkKind(c *qt.C, err error, want problem.Kind) {
	if want == "" {
		c.Check(err, qt.IsNil)
		return
	}
	c.Check(err, qt.ErrorIs, want)
	c.Check(errors.Is(err, problem.Unsure), qt.Equals, want == problem.Unsure)
}

func TestRemoteOverRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := remote(c, &standin.Keyspace{ReadsPerSecond: 3, WritesPerSecond: 2, Now: func() time.Time { return now }})
	ctx := context.Background()
	for i := range 3 {
		_, err := r.Swap(ctx, "k", uint64(i), nil)
		checkKind(c, err, []problem.Kind{"", "", problem.Unavailable}[i])
	}
	now = now.Add(time.Second)
	_, err := r.Swap(ctx, "k", 2, nil)
	c.Check(err, qt.IsNil)
}

func TestRemoteSilentWatch(t *testing.T) {
	c := qt.New(t)
	k := &standin.Keyspace{}
	k.SetFaults(standin.Faults{SilentWatch: true})
	r := remote(c, k)
	r.Timeout = short
	_, err := r.Watch(context.Background(), "k", 0, time.Millisecond)
	c.Check(err, qt.ErrorIs, problem.Unavailable)
	k.SetFaults(standin.Faults{}) // lets the store's own side of the watch end
}

func TestRemoteRefusedConnection(t *testing.T) {
	c := qt.New(t)
	ln := listen(c)
	r := &kv.Remote{Addr: addrOf(ln)}
	c.Assert(ln.Close(), qt.IsNil)
	_, err := r.Swap(context.Background(), "k", 0, nil)
	c.Check(err, qt.ErrorIs, problem.Unavailable)
}

// TestRemoteIdleConnectionClosed writes after the store has closed the connection of the call before.
func TestRemoteIdleConnectionClosed(t *testing.T) {
	c := qt.New(t)
	c.Cleanup(func() { goleak.VerifyNone(c, fasthttpSleepers...) })
	ln := listen(c)
	closed := make(chan error, 2)
	go func() {
		for range 2 {
			conn, err := ln.Accept()
			if err == nil {
				err = answerOnce(conn)
			}
			closed <- err
		}
	}()
	r := &kv.Remote{Addr: addrOf(ln), Timeout: guard}
	for range 2 {
		revision, err := r.Swap(context.Background(), "k", 0, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(revision, qt.Equals, uint64(5))
		c.Assert(<-closed, qt.IsNil)
	}
	c.Assert(r.Close(), qt.IsNil)
	c.Assert(ln.Close(), qt.IsNil)
}

// answerOnce answers one request as if the connection were kept, and closes it.
func answerOnce(conn net.Conn) error {
	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(conn)); err != nil {
		return err
	}
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Revision: 5\r\nContent-Length: 0\r\n\r\n"))
	if err != nil {
		return err
	}
	return conn.Close()
}
