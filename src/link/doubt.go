package link

import (
	"context"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Doubt is why the answer of a call may not come.
type Doubt uint8

// The reasons for a doubt.
const (
	DoubtLost   Doubt = iota + 1 // the member says that its backend server seems to have ended the call without an answer
	DoubtSilent                  // the member has sent nothing for several ping intervals
)

// doubtKey is the key of the function that WithDoubt adds to a context.
type doubtKey struct{}

// WithDoubt returns a context for Caller.Call that runs f, which must not block, when the answer may
// not come; the call goes on.
func WithDoubt(ctx context.Context, f func(Doubt)) context.Context {
	return context.WithValue(ctx, doubtKey{}, f)
}

// ContextDoubt returns the function that WithDoubt has added to ctx, nil if there is none.
func ContextDoubt(ctx context.Context) func(Doubt) {
	f, _ := ctx.Value(doubtKey{}).(func(Doubt))
	return f
}

// Doubt tells the caller's daemon that the backend server seems to have ended the call.
func (in *inboundCall) Doubt() bool {
	if in.head.TakesDoubt {
		in.c.sendControl(wire.FrameDoubt, &wire.DoubtFrame{Call: in.id})
	}
	return in.head.TakesDoubt
}

func (c *connection) receiveDoubt(f wire.DoubtFrame) error {
	c.mu.Lock()
	o, ok := c.outboundCalls[f.Call]
	opened := f.Call > 0 && f.Call <= c.lastID
	told := ok && !o.replied && o.doubt != nil
	c.mu.Unlock()
	if !opened {
		return protocolError(c.peer.Addr.String(), "doubt of a call that was not opened")
	}
	if told {
		o.doubt(DoubtLost)
	}
	return nil
}
