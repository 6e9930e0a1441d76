package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	stopPoll   = 10 * time.Millisecond
	stopLinger = 200 * time.Millisecond // a request sent just before the stop still arrives within it
)

// callerListener keeps the connections it has accepted, so that a planned stop can end the idle ones.
type callerListener struct {
	net.Listener
	stall  time.Duration
	limits func() Limits

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, stall time.Duration, limits func() Limits) *callerListener {
	return &callerListener{Listener: l, stall: stall, limits: limits, conns: map[*callerConn]struct{}{}}
}

// serve serves connections, each in a goroutine, until the listener is closed and they have ended.
func (l *callerListener) serve(server func() *fasthttp.Server) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConns)
	for {
		slots <- struct{}{}
		c, err := l.accept()
		if err != nil {
			return err
		}
		srv := server()
		wg.Go(func() {
			_ = srv.ServeConn(c)
			_ = c.Close()
			<-slots
		})
	}
}

// accept waits for a caller's connection; a passing shortage of descriptors is waited out.
func (l *callerListener) accept() (*callerConn, error) {
	c, err := l.Accept()
	for errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		time.Sleep(stopPoll)
		c, err = l.Accept()
	}
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c, stall: l.stall, limits: l.limits, closed: l.forget}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[cc] = struct{}{}
	return cc, nil
}

func (l *callerListener) forget(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *callerListener) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// stop stops accepting, ends idle connections and waits for the others until ctx is over.
func (l *callerListener) stop(ctx context.Context) {
	_ = l.Close()
	idleEnd := time.Now().Add(stopLinger)
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for {
		open := l.open()
		if len(open) == 0 {
			return
		}
		for _, c := range open {
			c.stop(idleEnd)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// abort closes every connection at once.
func (l *callerListener) abort() {
	_ = l.Close()
	for _, c := range l.open() {
		c.abort()
	}
}
