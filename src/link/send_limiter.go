package link

import (
	"slices"
	"sync"
	"time"
)

const (
	sendBurst       = 10 * time.Millisecond  // of the network connection's rate; longest wait of a small frame behind bodies, apart from one chunk of them
	sendChunkTime   = 5 * time.Millisecond   // in which a chunk of a body passes the network connection
	maxSendDebt     = 100 * time.Millisecond // of the rate; small frames beyond it no longer delay bodies
	usableBandwidth = 0.95                   // share of the bandwidth for frames; the rest is for packet headers and traffic outside links
)

// sendLimiter shares the network connection of this VM between the bodies that are sent on all links, which compete for it but do not see each other.
// It grants one chunk at a time at the rate of the connection, so that small frames never wait behind more than sendBurst and one chunk.
// Bodies that can still meet the objective of their call precede those that cannot; then the more urgent call precedes, then the one with the earliest objective.
//
// A nil limiter grants everything at once.
type sendLimiter struct {
	rate  float64 // bytes per second
	burst float64 // bytes

	mu         sync.Mutex
	available  float64 // bytes that may be sent now, negative after a chunk or small frames in excess of it
	updatedAt  time.Time
	waiting    []*sendRequest
	flows      map[*sendFlow]struct{} // with announced bytes that have not been granted
	grantTimer *time.Timer            // runs grantWaiting; nil if not set
}

// sendRequest is a chunk that waits for the network connection.
type sendRequest struct {
	flow    *sendFlow
	n       int // bytes
	granted chan struct{}
}

// newSendLimiter returns a limiter for a network connection of bandwidth bytes per second, nil for no limit.
func newSendLimiter(bandwidth float64) *sendLimiter {
	if bandwidth <= 0 {
		return nil
	}
	rate := bandwidth * usableBandwidth
	burst := rate * sendBurst.Seconds()
	return &sendLimiter{rate: rate, burst: burst, available: burst, updatedAt: time.Now(), flows: map[*sendFlow]struct{}{}}
}

// chunk returns the largest chunk of a body in bytes.
func (l *sendLimiter) chunk() int {
	if l == nil {
		return chunkSize
	}
	return min(chunkSize, max(maxUrgentPayload, int(l.rate*sendChunkTime.Seconds())))
}

// charge counts the bytes of a small frame, which is sent without waiting.
func (l *sendLimiter) charge(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.available = max(l.available-float64(n), -l.rate*maxSendDebt.Seconds())
}

// announce counts n bytes of a body that the flow is going to send.
func (l *sendLimiter) announce(f *sendFlow, n int64) {
	if l == nil || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !f.ended {
		f.unsent += n
		l.flows[f] = struct{}{}
	}
}

// finish ends the waiting of a flow and stops counting the rest of its body. Further calls have no effect.
func (l *sendLimiter) finish(f *sendFlow) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f.ended = true
	delete(l.flows, f)
	for i, r := range l.waiting {
		if r.flow == f {
			l.waiting = slices.Delete(l.waiting, i, i+1)
			close(r.granted)
			break
		}
	}
}

// acquire waits until n bytes of the flow's body may be sent or the flow has ended.
func (l *sendLimiter) acquire(f *sendFlow, n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if f.ended {
		l.mu.Unlock()
		return
	}
	r := &sendRequest{flow: f, n: n, granted: make(chan struct{})}
	l.waiting = append(l.waiting, r)
	l.grant()
	l.mu.Unlock()
	<-r.granted
}

// grant grants waiting requests while bytes are available, and sets the timer for the rest; l.mu must be held.
func (l *sendLimiter) grant() {
	l.refill()
	now := l.updatedAt
	for len(l.waiting) > 0 && l.available > 0 {
		best := 0
		for i, r := range l.waiting {
			if r.flow.precedes(l.waiting[best].flow, now) {
				best = i
			}
		}
		r := l.waiting[best]
		l.waiting = slices.Delete(l.waiting, best, best+1)
		l.available -= float64(r.n)
		if r.flow.unsent -= int64(r.n); r.flow.unsent <= 0 {
			delete(l.flows, r.flow)
		}
		close(r.granted)
	}
	if len(l.waiting) > 0 && l.grantTimer == nil {
		wait := time.Duration(-l.available / l.rate * float64(time.Second))
		l.grantTimer = time.AfterFunc(wait+time.Microsecond, l.grantWaiting)
	}
}

func (l *sendLimiter) grantWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantTimer = nil
	l.grant()
}

// refill adds the bytes that could be sent since the last call; l.mu must be held.
func (l *sendLimiter) refill() {
	now := time.Now()
	l.available = min(l.burst, l.available+l.rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
}

// delay returns the time that the network connection needs for the announced bodies: for those that are not late, and for all.
func (l *sendLimiter) delay() (inTime, all time.Duration) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var inTimeBytes, allBytes int64
	for f := range l.flows {
		allBytes += f.unsent
		if !f.isLate(now) {
			inTimeBytes += f.unsent
		}
	}
	return l.duration(inTimeBytes), l.duration(allBytes)
}

// duration returns the time that n bytes take.
func (l *sendLimiter) duration(n int64) time.Duration {
	return time.Duration(float64(n) / l.rate * float64(time.Second))
}
