package platform

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxAnswerSize = MaxValueSize + 64<<10 // bytes
	maxCalls      = 128                   // at once, watches included
	maxIdle       = 16                    // connections kept for later calls
	maxIdleTime   = 5 * time.Second       // shorter than the store's own
	laneBuffer    = 4 << 10               // bytes
)

// lane is one connection to the store, used by one call at a time.
type lane struct {
	conn  net.Conn
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // when it became idle
}

// take returns an idle connection that is still open, or a new one.
func (r *Remote) take(ctx context.Context) (*lane, error) {
	for {
		l := r.pop()
		if l == nil {
			break
		}
		if time.Since(l.since) < maxIdleTime && open(l.conn) {
			return l, nil
		}
		_ = l.conn.Close()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", r.Addr.String())
	if err != nil {
		return nil, err
	}
	return &lane{conn: conn, r: bufio.NewReaderSize(conn, laneBuffer), w: bufio.NewWriterSize(conn, laneBuffer)}, nil
}

func (r *Remote) pop() *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.idle)
	if n == 0 {
		return nil
	}
	l := r.idle[n-1]
	r.idle = r.idle[:n-1]
	return l
}

func (r *Remote) give(l *lane) {
	l.since = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) >= maxIdle {
		_ = l.conn.Close()
		return
	}
	r.idle = append(r.idle, l)
}

// Close closes the idle connections; later calls open new ones.
func (r *Remote) Close() error {
	for l := r.pop(); l != nil; l = r.pop() {
		_ = l.conn.Close()
	}
	return nil
}

// exchange sends a request and reads its answer; the end of ctx breaks it off.
func (l *lane) exchange(ctx context.Context, req *fasthttp.Request) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, notSent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	if err := req.Write(l.w); err != nil {
		return answer{}, err
	}
	if err := l.w.Flush(); err != nil {
		return answer{}, err
	}
	a, err := readAnswer(l.r)
	if err != nil {
		return answer{}, err
	}
	a.close = a.close || !stop()
	return a, nil
}
