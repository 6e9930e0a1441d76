package booking

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ReleaseCancelled ends the wait for a backend server that never ends a cancelled call.
func TestServerReleaseCancelled(t *testing.T) {
	c := qt.New(t)
	raw := startRawBackend(t)
	s := startServer(t, raw.listener, 4, 8)
	started, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	raw.answer = func(string) string {
		close(started)
		<-end
		return ""
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := newInbound("GET", "/diary", "t", nil, 0)
	in.head.TimeoutMS = time.Hour.Milliseconds()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ServeCall(ctx, in)
	}()
	<-started
	cancel()
	s.ReleaseCancelled()
	select {
	case <-done:
	case <-time.After(testTimeout):
		c.Fatal("ServeCall still waits for the cancelled call")
	}
}
