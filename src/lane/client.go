package lane

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	maxCalls    = 128             // at once, watches included
	maxIdle     = 16              // connections kept for later calls
	maxIdleTime = 5 * time.Second // shorter than the store's own
	laneBuffer  = 4 << 10         // bytes
)

// silence ends a connection that has gone silent without a reset in about a second.
var silence = net.KeepAliveConfig{Enable: true, Idle: 400 * time.Millisecond, Interval: 300 * time.Millisecond, Count: 2}

// Client calls a store over plain HTTP.
type Client struct {
	Addr netip.AddrPort

	mu    sync.Mutex
	idle  []*lane
	calls atomic.Int64 // under way
}

// lane is one connection to the store, used by one call at a time.
type lane struct {
	conn  net.Conn
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // when it became idle
}

// Do sends a request; read takes the answer and tells whether the connection can carry another call. The end of ctx breaks the call off.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, read func(*bufio.Reader) (bool, error)) error {
	defer c.calls.Add(-1)
	if c.calls.Add(1) > maxCalls {
		return NotSent{problem.New(problem.Unavailable, "", "too many store calls at once", "try again later")}
	}
	l, err := c.take(ctx)
	if err != nil {
		return NotSent{err}
	}
	reusable, err := l.exchange(ctx, req, read)
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err) // it was broken off here, which a read error does not tell
	}
	if err != nil || !reusable {
		_ = l.conn.Close()
		return err
	}
	c.give(l)
	return nil
}

// Close closes the idle connections; later calls open new ones.
func (c *Client) Close() error {
	for l := c.pop(); l != nil; l = c.pop() {
		_ = l.conn.Close()
	}
	return nil
}

// take returns an idle connection that is still open, or a new one.
func (c *Client) take(ctx context.Context) (*lane, error) {
	for {
		l := c.pop()
		if l == nil {
			break
		}
		if time.Since(l.since) < maxIdleTime && open(l.conn) {
			return l, nil
		}
		_ = l.conn.Close()
	}
	d := net.Dialer{KeepAliveConfig: silence}
	conn, err := d.DialContext(ctx, "tcp", c.Addr.String())
	if err != nil {
		return nil, err
	}
	return &lane{conn: conn, r: bufio.NewReaderSize(conn, laneBuffer), w: bufio.NewWriterSize(conn, laneBuffer)}, nil
}

func (c *Client) pop() *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	l := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return l
}

func (c *Client) give(l *lane) {
	l.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		_ = l.conn.Close()
		return
	}
	c.idle = append(c.idle, l)
}

// exchange sends a request and reads its answer; the end of ctx breaks it off.
func (l *lane) exchange(ctx context.Context, req *fasthttp.Request, read func(*bufio.Reader) (bool, error)) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, NotSent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	if err := req.Write(l.w); err != nil {
		return false, err
	}
	if err := l.w.Flush(); err != nil {
		return false, err
	}
	reusable, err := read(l.r)
	return reusable && stop(), err
}
