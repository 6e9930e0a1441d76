package link

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

func TestExchange(t *testing.T) {
	handler := messageHandlerFunc(func(from Peer, kind MessageKind, payload []byte) ([]byte, error) {
		switch kind {
		case KindPull:
			return payload, nil
		case KindPush:
			return nil, problem.New(problem.Busy, "here", "busy", "wait")
		}
		return nil, errors.New("no such kind")
	})
	to, _ := startPool(t, &Pool{Self: 2, Messages: handler})
	p := startClient(t)
	tests := map[string]struct {
		to   Peer
		kind MessageKind
		size int
		want problem.Kind
	}{
		"empty":         {to: to, kind: KindPull},
		"short":         {to: to, kind: KindPull, size: 100},
		"in fragments":  {to: to, kind: KindPull, size: 1 << 20},
		"to any member": {to: Peer{Addr: to.Addr}, kind: KindPull, size: 10},
		"busy":          {to: to, kind: KindPush, want: problem.Busy},
		"failed":        {to: to, kind: KindStatus, want: problem.Unavailable},
		"too large":     {to: to, kind: KindPull, size: maxMessageSize + 1, want: problem.Protocol},
		"no listener":   {to: Peer{ID: 9, Addr: loopbackAddr(1)}, kind: KindPull, want: problem.Unavailable},
		"wrong member":  {to: Peer{ID: 9, Addr: to.Addr}, kind: KindPull, want: problem.Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			payload := bytes.Repeat([]byte("x"), test.size)
			got, err := p.Exchange(testContext(t), test.to, test.kind, payload)
			if test.want != "" {
				qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(got, payload), qt.IsTrue)
		})
	}
}

// Guards against messages that are lost without an answer since a message or a call that was begun
// later has overtaken them on their link: their senders wait until their time is over.
func TestNoMessageIsLostWhenOvertaken(t *testing.T) {
	const senders, rounds = 32, 40
	handler := messageHandlerFunc(func(_ Peer, _ MessageKind, payload []byte) ([]byte, error) { return payload, nil })
	tests := map[string]struct{ size, calls int }{ // calls of so many callers meanwhile
		"short":                   {10, 0},
		"short, beside calls":     {10, 16},
		"in fragments, and calls": {3 * chunkSize, 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			to, _ := startPool(t, &Pool{Self: 2, Messages: handler, Calls: callHandlerFunc(echo)})
			p := startClient(t)
			stop, callers := make(chan struct{}), sync.WaitGroup{}
			for range tc.calls {
				callers.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							p.Call(testContext(t), to, wire.CallHead{Target: to.ID}, nil)
						}
					}
				})
			}
			var wg sync.WaitGroup
			var lost atomic.Int64
			for range senders {
				wg.Go(func() {
					for range rounds {
						ctx, cancel := context.WithTimeout(context.Background(), testTimeout/4)
						got, err := p.Exchange(ctx, to, KindPull, make([]byte, tc.size))
						cancel()
						if err != nil && !errors.Is(err, problem.Busy) || err == nil && len(got) != tc.size {
							lost.Add(1)
							return
						}
					}
				})
			}
			wg.Wait()
			close(stop)
			callers.Wait()
			qt.Check(t, lost.Load(), qt.Equals, int64(0))
		})
	}
}
