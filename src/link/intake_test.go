package link

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const thinRate = 5e6 / 8 // bytes a second

// sender is a peer that sends a body as its credit allows.
type sender struct {
	b      *inbox
	credit atomic.Int64 // given beyond the initial window
	sent   int64
}

func newSender(in *intake) *sender {
	s := &sender{}
	s.b = &inbox{intake: in, grant: func(add uint32) { s.credit.Add(int64(add)) }}
	in.begin(s.b, initialWindow)
	return s
}

// send has up to n bytes arrive and returns how many did.
func (s *sender) send(in *intake, n int64) int64 {
	n = min(n, initialWindow+s.credit.Load()-s.sent)
	s.sent += n
	in.arrived(s.b, int(n))
	return n
}

// assertEmpty checks that no body is counted; a timer may still look at the intake.
func assertEmpty(t *testing.T, in *intake) {
	in.mu.Lock()
	defer in.mu.Unlock()
	qt.Assert(t, in.under, qt.Equals, 0)
	qt.Assert(t, in.waiting, qt.HasLen, 0)
	qt.Assert(t, in.bodies, qt.HasLen, 0)
}

// underway returns the bytes that all may send at once.
func underway(all []*sender) int64 {
	n := int64(0)
	for _, s := range all {
		n += initialWindow + s.credit.Load() - s.sent
	}
	return n
}

// Pattern: many uploads at once over a thin link. What is under way stays within what the link carries in a moment, and all get through.
func TestManyUploadsOverAThinLink(t *testing.T) {
	const body = 60 << 10
	in := newIntake(thinRate)
	var all []*sender
	for range 8 {
		s := newSender(in)
		in.request(s.b, body-initialWindow)
		all = append(all, s)
	}
	bound := int64(in.max)
	for range 10_000 {
		done := 0
		for _, s := range all {
			s.send(in, 1000)
			if s.sent == body {
				done++
				in.end(s.b)
			}
		}
		if underway(all) <= bound {
			bound = int64(in.max) // beyond the initial windows no more than this
		} else {
			qt.Assert(t, underway(all) <= int64(len(all))*initialWindow, qt.IsTrue, qt.Commentf("%d", underway(all)))
		}
		if done == len(all) {
			assertEmpty(t, in)
			return
		}
	}
	t.Fatal("some upload never got its credit")
}

// Pattern: senders that were given credit freeze. Those that wait for it are served after a moment, and one that wakes up goes on.
func TestFrozenSendersHoldNoCreditForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake(thinRate)
		frozen := []*sender{newSender(in), newSender(in)}
		for _, s := range frozen {
			s.send(in, initialWindow)
			in.request(s.b, 60<<10)
		}
		waits := newSender(in)
		waits.send(in, initialWindow)
		in.request(waits.b, 60<<10)
		qt.Assert(t, waits.credit.Load(), qt.Equals, int64(0))
		time.Sleep(2 * intakeUse)
		synctest.Wait()
		qt.Assert(t, waits.credit.Load() > 0, qt.IsTrue)
		qt.Assert(t, frozen[0].credit.Load() <= int64(in.max/2), qt.IsTrue, qt.Commentf("no more than one body may have"))
		qt.Assert(t, frozen[0].send(in, 1<<20) > 0, qt.IsTrue)
		for _, s := range append(frozen, waits) {
			in.end(s.b)
		}
		assertEmpty(t, in)
	})
}

// One body gets at most half of the room, so that a slow sender does not hold up the others.
func TestOneBodyLeavesRoomForOthers(t *testing.T) {
	in := newIntake(thinRate)
	s := newSender(in)
	s.send(in, initialWindow)
	in.request(s.b, 1<<20)
	qt.Assert(t, s.credit.Load(), qt.Equals, int64(in.max/2))
	qt.Assert(t, in.backlog() > time.Second, qt.IsTrue, qt.Commentf("a megabyte over 5 Mbit/s"))
}

func TestAWideLinkGivesCreditAtOnce(t *testing.T) {
	in := newIntake(0)
	s := newSender(in)
	in.request(s.b, 1<<20)
	qt.Assert(t, s.credit.Load(), qt.Equals, int64(1<<20))
}

// Pattern: uploads of callers on slow connections. Each trickles, and none holds the room that the others could use.
func TestTricklingUploadsLeaveTheRoomToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = 60 << 10
		in := newIntake(thinRate)
		trickles := []*sender{newSender(in), newSender(in)}
		for _, s := range trickles {
			in.request(s.b, body)
		}
		quick := newSender(in)
		in.request(quick.b, body-initialWindow)
		var took time.Duration
		for quick.sent < body {
			time.Sleep(5 * time.Millisecond)
			took += 5 * time.Millisecond
			for _, s := range trickles {
				s.send(in, 100)
			}
			quick.send(in, int64(5e-3*thinRate))
		}
		qt.Assert(t, took < 2*time.Duration(body/thinRate*float64(time.Second)), qt.IsTrue, qt.Commentf("%s", took))
		for _, s := range append(trickles, quick) {
			in.end(s.b)
		}
	})
}

// Found by reading: a reply that comes as its caller gives up was counted after its end, so that its credit was waited for without end.
func TestABodyThatIsOverIsNotCounted(t *testing.T) {
	over := map[string]func(b *inbox){
		"dropped": func(b *inbox) { b.drop(errAbandoned) },
		"cut":     func(b *inbox) { b.cut(errAbandoned) },
		"ended":   func(b *inbox) { b.finish() },
	}
	for name, end := range over {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: 1, Limits: Limits{Bandwidth: thinRate}}
			p.init()
			b := newInbox(p, func(uint32) { t.Error("credit for a body that is over") })
			end(b)
			b.expect(1 << 20)
			assertEmpty(t, p.intake)
			qt.Assert(t, p.InboundDelay(), qt.Equals, time.Duration(0))
		})
	}
}

// A body that fits into its first window needs no credit, and no room is kept for what it is not.
func TestAShortBodyIsNotCounted(t *testing.T) {
	p := &Pool{Self: 1, Limits: Limits{Bandwidth: thinRate}}
	p.init()
	b := newInbox(p, func(uint32) { t.Error("credit for a short body") })
	b.expect(initialWindow)
	assertEmpty(t, p.intake)
	qt.Assert(t, b.put(make([]byte, initialWindow)), qt.IsTrue)
	_, err := b.Read(make([]byte, initialWindow))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.InboundDelay(), qt.Equals, time.Duration(0))
}
