package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// pollInterval is the time between two checks for connections still open during a shutdown, and between two attempts to accept without a free descriptor.
	pollInterval = 10 * time.Millisecond
	idleGrace    = 200 * time.Millisecond // after the start of a graceful shutdown, in which requests sent before it still arrive
)

// callerListener tracks the connections that it has accepted, so that a graceful shutdown can end the idle ones.
type callerListener struct {
	net.Listener
	stallTimeout time.Duration
	limits       func() Limits
	heldBytes    atomic.Int64 // of further requests, by all connections
	cuts         *cuts
	memory       *memory    // of their requests; nil for no bound
	maxConns     func() int // beyond which requests are refused

	serving chan struct{} // closed when serve accepts no more connections

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, stallTimeout time.Duration, limits func() Limits, maxConns func() int) *callerListener {
	return &callerListener{Listener: l, stallTimeout: stallTimeout, limits: limits, maxConns: maxConns, serving: make(chan struct{}), conns: map[*callerConn]struct{}{}}
}

// serve serves each connection in a goroutine of its own until the listener is closed and all connections have ended.
func (l *callerListener) serve(server func() *fasthttp.Server) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(l.serving)
	for {
		l.awaitSurplus()
		c, err := l.accept()
		if err != nil {
			return err
		}
		c.surplus = !l.makeRoom()
		srv := server()
		wg.Go(func() {
			_ = srv.ServeConn(c)
			_ = c.Close()
		})
	}
}

// accept waits for a caller's connection; it retries while the process or the system has no free descriptors.
func (l *callerListener) accept() (*callerConn, error) {
	c, err := l.Accept()
	for errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		time.Sleep(pollInterval)
		c, err = l.Accept()
	}
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c, stallTimeout: l.stallTimeout, limits: l.limits, onClose: l.remove, heldBytes: &l.heldBytes, cuts: l.cuts, memory: l.memory, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[cc] = struct{}{}
	return cc, nil
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *callerListener) openConns() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// stop stops accepting once holdOpen reports false, ends idle connections and waits until the others have ended or ctx is done. serve may have accepted a connection when the listener was closed, so that its end is awaited first.
func (l *callerListener) stop(ctx context.Context, holdOpen func() bool) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		open := holdOpen()
		if !open {
			_ = l.Close()
		}
		ended := l.hasEnded()
		conns := l.openConns()
		if len(conns) == 0 && ended {
			return
		}
		for _, c := range conns {
			c.stop(time.Now().Add(idleGrace))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// hasEnded reports whether serve accepts no more connections.
func (l *callerListener) hasEnded() bool {
	select {
	case <-l.serving:
		return true
	default:
		return false
	}
}

// abort resets every connection at once.
func (l *callerListener) abort() {
	_ = l.Close()
	for _, c := range l.openConns() {
		c.abort()
	}
}
