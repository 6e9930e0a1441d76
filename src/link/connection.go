package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const abandonedAfter = 5 // idle times after which an accepted link is closed, should its other end not do it

// connection is one link after both hellos; only the end that dialled opens calls and messages on it.
type connection struct {
	pool   *Pool
	nc     net.Conn
	dialed bool
	peer   Peer
	ctx    context.Context // ends with the link
	cancel context.CancelFunc
	frames frameReader
	out    outbox

	mu       sync.Mutex
	lastID   uint64                // last id opened on this link
	outgoing map[uint64]*outgoing  // calls of the dialling end
	asked    map[uint64]*question  // messages of the dialling end
	inbound  map[uint64]*inbound   // calls at the accepting end
	partial  map[uint64]*statement // messages at the accepting end
	serving  int                   // messages being served
	closing  bool                  // no new calls or messages
	usedAt   time.Time
	err      error

	received   uint64 // bytes, read only by the reader
	seen       uint64
	silent     int // ping periods without a byte
	nonce      uint64
	writerDone chan struct{}
}

func newConnection(p *Pool, nc net.Conn, fr frameReader, peer Peer, dialed bool) *connection {
	c := &connection{pool: p, nc: nc, dialed: dialed, peer: peer, frames: fr, usedAt: time.Now(), writerDone: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(p.base)
	c.out.init()
	c.outgoing = map[uint64]*outgoing{}
	c.asked = map[uint64]*question{}
	c.inbound = map[uint64]*inbound{}
	c.partial = map[uint64]*statement{}
	return c
}

// run carries frames until the link is closed, then ends everything that was under way on it.
func (c *connection) run() {
	go c.write()
	err := c.read()
	c.fail(err)
	<-c.writerDone
	c.finish()
}

// fail closes the link; the first reason stands.
func (c *connection) fail(err error) {
	c.mu.Lock()
	first := c.err == nil
	if first {
		c.err = err
		c.closing = true
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.out.fail(err)
	c.cancel()
	_ = c.nc.Close()
}

// finish ends the calls and messages that the lost link carried.
func (c *connection) finish() {
	c.mu.Lock()
	outgoing, asked, inbound, partial := c.outgoing, c.asked, c.inbound, c.partial
	c.outgoing, c.asked, c.inbound, c.partial = nil, nil, nil, nil
	err := c.err
	c.mu.Unlock()
	for _, o := range outgoing {
		o.lost(err)
	}
	for _, q := range asked {
		q.fail(err)
	}
	for _, in := range inbound {
		in.abandon(err)
	}
	for _, s := range partial {
		s.drop()
	}
	c.logEnd(err, len(outgoing)+len(asked)+len(inbound)+len(partial))
}

// logEnd tells why the link ended; one that carried nothing and was closed in good order is no event.
func (c *connection) logEnd(err error, carried int) {
	log := c.pool.Log.WithValues("peer", c.peer.ID, "addr", c.peer.Addr.String(), "dialed", c.dialed, "carried", carried)
	switch {
	case errors.Is(err, io.EOF) && carried == 0, errors.Is(err, errIdle), errors.Is(err, errLeft), errors.Is(err, errStopped):
		log.V(1).Info("link closed", "reason", err.Error())
	default:
		log.Info("link closed", "reason", err.Error())
	}
}

// write hands the queued frames to the socket, several at once where they wait together.
func (c *connection) write() {
	defer close(c.writerDone)
	var batch []byte
	for {
		batch = c.out.take(shrink(batch))
		if len(batch) == 0 {
			return
		}
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(batch); err != nil {
			c.fail(err)
			return
		}
	}
}

// read takes frames until the link ends and returns why it did.
func (c *connection) read() error {
	c.schedule()
	for {
		kind, body, err := c.frames.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.tick(); err != nil {
				return err
			}
			c.schedule()
			continue
		}
		if err != nil {
			return err
		}
		c.received += uint64(len(body) + headerSize)
		if err := c.receive(kind, body); err != nil {
			return err
		}
	}
}

func (c *connection) schedule() { _ = c.nc.SetReadDeadline(time.Now().Add(c.pool.limits.PingInterval)) }

// tick runs once a ping period: it looks for a silent peer and for a link that nobody uses.
func (c *connection) tick() error {
	busy, idle := c.usage()
	if c.received != c.seen {
		c.seen, c.silent = c.received, 0
	} else {
		c.silent++
	}
	c.frames.release()
	switch {
	case !busy && c.dialed && idle > c.pool.limits.IdleTimeout:
		return errIdle
	case !busy && idle > abandonedAfter*c.pool.limits.IdleTimeout:
		return errIdle
	case !busy && idle > (abandonedAfter-1)*c.pool.limits.IdleTimeout:
		c.leave()
	case !busy:
		c.silent = 0
	case c.silent > silentLimit:
		return errSilent
	case c.silent > 0:
		c.nonce++
		c.control(wire.FramePing, &wire.PingFrame{Nonce: c.nonce})
	}
	return nil
}

// usage tells whether something is under way, and for how long nothing was.
func (c *connection) usage() (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.outgoing)+len(c.asked)+len(c.inbound)+c.serving > 0 {
		c.usedAt = now
		return true, 0
	}
	return false, now.Sub(c.usedAt)
}

// leave stops new calls on the link; the accepting end tells the other, which closes it when its calls have ended.
func (c *connection) leave() {
	c.mu.Lock()
	c.closing = true
	last := c.lastID
	c.mu.Unlock()
	if c.dialed {
		c.closeIfDone()
		return
	}
	c.control(wire.FrameGoaway, &wire.GoawayFrame{Last: last})
}

// closeIfDone closes a dialled link that is closing and carries nothing.
func (c *connection) closeIfDone() {
	c.mu.Lock()
	done := c.dialed && c.closing && len(c.outgoing)+len(c.asked) == 0
	c.mu.Unlock()
	if done {
		c.fail(errLeft)
	}
}
