package link

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const lowBandwidth = 5e6 / 8 // bytes per second

// bodySender is a peer that sends a body as its credit allows.
type bodySender struct {
	b       *recvBuffer
	granted atomic.Int64 // credit beyond the initial window
	sent    int64
}

func newBodySender(l *recvLimiter) *bodySender {
	s := &bodySender{}
	s.b = &recvBuffer{recvLimiter: l, sendCredit: func(add uint32) { s.granted.Add(int64(add)) }}
	l.track(s.b, initialWindow)
	return s
}

// send delivers up to n bytes, as credit allows, and returns how many.
func (s *bodySender) send(l *recvLimiter, n int64) int64 {
	n = min(n, initialWindow+s.granted.Load()-s.sent)
	s.sent += n
	l.recordReceived(s.b, int(n))
	return n
}

// assertEmpty checks that no body is tracked. It locks because a timer may still run.
func assertEmpty(t *testing.T, l *recvLimiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	qt.Assert(t, l.inFlight, qt.Equals, 0)
	qt.Assert(t, l.waiting, qt.HasLen, 0)
	qt.Assert(t, l.bodies, qt.HasLen, 0)
}

// remainingCredit returns the bytes that all senders may still send.
func remainingCredit(senders []*bodySender) int64 {
	n := int64(0)
	for _, s := range senders {
		n += initialWindow + s.granted.Load() - s.sent
	}
	return n
}

// With many concurrent uploads over a slow connection, the bytes in flight stay within the limit or the sum of the initial windows, whichever is larger, and all uploads complete.
func TestRecvLimiterManyUploads(t *testing.T) {
	const body = 60 << 10
	l := newRecvLimiter(lowBandwidth)
	var senders []*bodySender
	for range 8 {
		s := newBodySender(l)
		l.requestCredit(s.b, body-initialWindow)
		senders = append(senders, s)
	}
	bound := int64(l.max)
	for range 10_000 {
		done := 0
		for _, s := range senders {
			s.send(l, 1000)
			if s.sent == body {
				done++
				l.untrack(s.b)
			}
		}
		if remainingCredit(senders) <= bound {
			bound = int64(l.max) // only the initial windows may exceed this
		} else {
			qt.Assert(t, remainingCredit(senders) <= int64(len(senders))*initialWindow, qt.IsTrue, qt.Commentf("%d", remainingCredit(senders)))
		}
		if done == len(senders) {
			assertEmpty(t, l)
			return
		}
	}
	t.Fatal("an upload did not receive its credit")
}

// When senders stop using their credit, it no longer counts as in flight, and waiting senders receive credit. A stalled sender that resumes may still send.
func TestRecvLimiterStalledSenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRecvLimiter(lowBandwidth)
		stalled := []*bodySender{newBodySender(l), newBodySender(l)}
		for _, s := range stalled {
			s.send(l, initialWindow)
			l.requestCredit(s.b, 60<<10)
		}
		waiting := newBodySender(l)
		waiting.send(l, initialWindow)
		l.requestCredit(waiting.b, 60<<10)
		qt.Assert(t, waiting.granted.Load(), qt.Equals, int64(0))
		time.Sleep(2 * unusedCreditTimeout)
		synctest.Wait()
		qt.Assert(t, waiting.granted.Load() > 0, qt.IsTrue)
		qt.Assert(t, stalled[0].granted.Load() <= int64(l.max/2), qt.IsTrue, qt.Commentf("stalled sender has more credit than one body may have"))
		qt.Assert(t, stalled[0].send(l, 1<<20) > 0, qt.IsTrue)
		for _, s := range append(stalled, waiting) {
			l.untrack(s.b)
		}
		assertEmpty(t, l)
	})
}

// One body is granted at most half of the limit, so that a slow sender does not block the others.
func TestRecvLimiterSingleBody(t *testing.T) {
	l := newRecvLimiter(lowBandwidth)
	s := newBodySender(l)
	s.send(l, initialWindow)
	l.requestCredit(s.b, 1<<20)
	qt.Assert(t, s.granted.Load(), qt.Equals, int64(l.max/2))
	qt.Assert(t, l.inboundDelay() > time.Second, qt.IsTrue, qt.Commentf("1 MiB over 5 Mbit/s"))
}

// Without a limit, credit is granted immediately.
func TestRecvLimiterUnlimited(t *testing.T) {
	l := newRecvLimiter(0)
	s := newBodySender(l)
	l.requestCredit(s.b, 1<<20)
	qt.Assert(t, s.granted.Load(), qt.Equals, int64(1<<20))
}

// Uploads of callers on slow connections do not hold credit that a fast upload could use.
func TestRecvLimiterSlowSenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = 60 << 10
		l := newRecvLimiter(lowBandwidth)
		slow := []*bodySender{newBodySender(l), newBodySender(l)}
		for _, s := range slow {
			l.requestCredit(s.b, body)
		}
		fast := newBodySender(l)
		l.requestCredit(fast.b, body-initialWindow)
		var elapsed time.Duration
		for fast.sent < body {
			time.Sleep(5 * time.Millisecond)
			elapsed += 5 * time.Millisecond
			for _, s := range slow {
				s.send(l, 100)
			}
			fast.send(l, int64(5e-3*lowBandwidth))
		}
		qt.Assert(t, elapsed < 2*time.Duration(body/lowBandwidth*float64(time.Second)), qt.IsTrue, qt.Commentf("%s", elapsed))
		for _, s := range append(slow, fast) {
			l.untrack(s.b)
		}
	})
}

// A body that has ended is not tracked. A reply that arrived while its call was being cancelled was once tracked after its end, and its credit stayed in flight forever.
func TestRecvBufferEndedBeforeLength(t *testing.T) {
	endings := map[string]func(b *recvBuffer){
		"discarded": func(b *recvBuffer) { b.discard(errCallCancelled) },
		"failed":    func(b *recvBuffer) { b.fail(errCallCancelled) },
		"finished":  func(b *recvBuffer) { b.finish() },
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: 1, Limits: Limits{Bandwidth: lowBandwidth}}
			p.init()
			b := newRecvBuffer(p, p.recvLimiter, func(uint32) { t.Error("credit granted to an ended body") })
			end(b)
			b.expectBody(1 << 20)
			assertEmpty(t, p.recvLimiter)
			qt.Assert(t, p.InboundDelay(), qt.Equals, time.Duration(0))
		})
	}
}

// A body that fits into its initial window needs no credit and reserves none of the limit.
func TestRecvBufferShortBody(t *testing.T) {
	p := &Pool{Self: 1, Limits: Limits{Bandwidth: lowBandwidth}}
	p.init()
	b := newRecvBuffer(p, p.recvLimiter, func(uint32) { t.Error("credit granted to a short body") })
	b.expectBody(initialWindow)
	assertEmpty(t, p.recvLimiter)
	qt.Assert(t, b.put(make([]byte, initialWindow)), qt.IsTrue)
	_, err := b.Read(make([]byte, initialWindow))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.InboundDelay(), qt.Equals, time.Duration(0))
}
