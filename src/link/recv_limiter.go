package link

import (
	"slices"
	"sync"
	"time"
)

const (
	targetFrameDelay    = 25 * time.Millisecond // wait of small frames behind the bodies of all peers, on the network connection of this VM, at which the limit aims; minInFlightLimit and initial windows may make it longer
	minInFlightLimit    = 8 << 10               // bytes, the lowest limit; keeps the connection busy during a round trip between failure domains
	minCreditGrant      = 2 << 10               // bytes; a smaller grant costs two frames for little gain
	unusedCreditTimeout = 40 * time.Millisecond // after which granted credit no longer counts as in flight; a sender that has bytes ready uses it within targetFrameDelay and a round trip
)

// recvLimiter bounds the body bytes that all peers together have in flight to this VM. Over a slow network connection, small frames would otherwise be delayed behind them. Initial windows count as in flight but are not held back; a body known to fit into its initial window is not counted.
type recvLimiter struct {
	bandwidth float64 // bytes per second
	max       int     // bytes in flight, 0 for no limit

	mu                sync.Mutex
	bodies            map[*recvBuffer]*bodyCredit
	waiting           []*recvBuffer // bodies with requested credit, longest wait first
	inFlight          int           // bytes, the sum over bodies
	unusedCreditTimer *time.Timer   // runs discountUnusedCredit; nil if not set
}

// bodyCredit is the credit of one body that is being received.
type bodyCredit struct {
	inFlight  int       // granted bytes assumed to be on their way
	unused    int       // granted bytes no longer counted as in flight: the sender, which waits for its caller or is unresponsive, has not used them in time, but still may
	requested int       // bytes of credit not yet granted
	grantedAt time.Time // time of the last grant
}

// newRecvLimiter returns the limiter for a network connection of bandwidth bytes per second, 0 for no limit.
func newRecvLimiter(bandwidth float64) *recvLimiter {
	l := &recvLimiter{bandwidth: bandwidth, bodies: map[*recvBuffer]*bodyCredit{}}
	if bandwidth > 0 {
		l.max = max(minInFlightLimit, int(bandwidth*targetFrameDelay.Seconds()))
	}
	return l
}

// track adds a body whose sender has an initial credit of n bytes.
func (l *recvLimiter) track(b *recvBuffer, n int) {
	if l.max == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies[b] = &bodyCredit{inFlight: n, grantedAt: time.Now()}
	l.inFlight += n
}

// requestCredit grants n bytes of credit to a body as soon as the limit allows.
func (l *recvLimiter) requestCredit(b *recvBuffer, n int) {
	if l.max == 0 {
		b.sendCredit(uint32(n))
		return
	}
	l.mu.Lock()
	if c, ok := l.bodies[b]; ok {
		if c.requested == 0 {
			l.waiting = append(l.waiting, b)
		}
		c.requested += n
	}
	l.grantAndUnlock()
}

// recordReceived records that n bytes of a body have arrived.
func (l *recvLimiter) recordReceived(b *recvBuffer, n int) {
	if l.max == 0 {
		return
	}
	l.mu.Lock()
	if c, ok := l.bodies[b]; ok {
		expected := min(n, c.inFlight)
		c.inFlight -= expected
		l.inFlight -= expected
		c.unused -= min(n-expected, c.unused)
	}
	l.grantAndUnlock()
}

// untrack removes a body.
func (l *recvLimiter) untrack(b *recvBuffer) {
	if l.max == 0 {
		return
	}
	l.mu.Lock()
	if c, ok := l.bodies[b]; ok {
		l.inFlight -= c.inFlight
		delete(l.bodies, b)
		l.waiting = slices.DeleteFunc(l.waiting, func(x *recvBuffer) bool { return x == b })
	}
	l.grantAndUnlock()
}

// inboundDelay returns the time that the bytes in flight and the requested credit need to arrive.
func (l *recvLimiter) inboundDelay() time.Duration {
	if l.max == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.inFlight
	for _, b := range l.waiting {
		n += l.bodies[b].requested
	}
	return time.Duration(float64(n) / l.bandwidth * float64(time.Second))
}

// grantAndUnlock grants the requested credit that the limit allows, at most half of the limit to one body, and unlocks l.mu, which must be held.
func (l *recvLimiter) grantAndUnlock() {
	type grant struct {
		b *recvBuffer
		n int
	}
	var grants []grant
	remaining := l.waiting[:0]
	for _, b := range l.waiting {
		c := l.bodies[b]
		if n := min(c.requested, l.max-l.inFlight, l.max/2-c.inFlight-c.unused); n >= min(c.requested, minCreditGrant) {
			c.requested -= n
			c.inFlight += n
			l.inFlight += n
			c.grantedAt = time.Now()
			grants = append(grants, grant{b, n})
		}
		if c.requested > 0 {
			remaining = append(remaining, b)
		}
	}
	clear(l.waiting[len(remaining):])
	l.waiting = remaining
	if len(l.waiting) > 0 && l.unusedCreditTimer == nil {
		l.unusedCreditTimer = time.AfterFunc(unusedCreditTimeout, l.discountUnusedCredit)
	}
	l.mu.Unlock()
	for _, g := range grants { // without l.mu: sendCredit may close a link, which untracks its bodies
		g.b.sendCredit(uint32(g.n))
	}
}

// discountUnusedCredit stops counting credit that senders have not used within unusedCreditTimeout.
func (l *recvLimiter) discountUnusedCredit() {
	l.mu.Lock()
	l.unusedCreditTimer = nil
	for _, c := range l.bodies {
		if c.inFlight > 0 && time.Since(c.grantedAt) >= unusedCreditTimeout {
			l.inFlight -= c.inFlight
			c.inFlight, c.unused = 0, c.unused+c.inFlight
		}
	}
	l.grantAndUnlock()
}
