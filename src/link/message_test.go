package link

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
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
