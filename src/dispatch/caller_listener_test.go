package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// lateListener returns a connection once it has been closed, as a listener may that is closed while
// it accepts one.
type lateListener struct {
	net.Listener
	closed chan struct{}
	late   chan net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	time.Sleep(2 * pollInterval)
	if c, ok := <-l.late; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// A connection that is accepted while the listener is closed must be ended by the stop: it would hold
// the stop until the kill, and what it carries then would be cut.
func TestStopEndsConnectionAcceptedLate(t *testing.T) {
	c := qt.New(t)
	caller, nc := net.Pipe()
	defer func() { _ = caller.Close() }()
	late := &lateListener{closed: make(chan struct{}), late: make(chan net.Conn, 1)}
	late.late <- nc
	close(late.late)
	limits := func() Limits { return Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute} }
	l := newCallerListener(late, time.Minute, limits, func() int { return 10 })
	served := make(chan error, 1)
	go func() { served <- l.serve(func() *fasthttp.Server { return &fasthttp.Server{} }) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l.stop(ctx, never)
	c.Check(ctx.Err(), qt.IsNil)
	select {
	case err := <-served:
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	case <-time.After(time.Second):
		l.abort()
		c.Error("the connection was not ended")
	}
}
