package link

import (
	"slices"
	"sync"
	"time"
)

const (
	intakeTime    = 25 * time.Millisecond  // that small frames may wait on this VM's link behind the bodies of all peers
	intakeMin     = 8 << 10                // bytes, so that a round trip between failure domains does not leave the link idle
	intakeGrant   = 2 << 10                // bytes; a smaller grant would cost two frames for little
	intakeSilence = 200 * time.Millisecond // without a byte after which the credit of a body no longer counts: its sender is away or slow
)

// intake bounds the body bytes that peers may have on their way here together; a thin link would else hold small frames up behind them.
type intake struct {
	max int // bytes, 0 for no bound

	mu      sync.Mutex
	bodies  map[*inbox]*coming
	waiting []*inbox // bodies that want more credit, the longest waiting first
	under   int      // bytes on their way
	sweep   *time.Timer
}

// coming is what an intake knows of one body.
type coming struct {
	under int       // bytes on their way
	want  int       // credit that the body may have and has not been given
	moved time.Time // when it was given credit or a byte arrived
	away  bool      // its sender has credit and is silent, so that it gets no more
}

// newIntake returns the intake of a VM whose link carries rate bytes a second, 0 for a link without bound.
func newIntake(rate float64) *intake {
	in := &intake{bodies: map[*inbox]*coming{}}
	if rate > 0 {
		in.max = max(intakeMin, int(rate*intakeTime.Seconds()))
	}
	return in
}

// begin counts a body whose sender has n bytes of credit from the start.
func (in *intake) begin(b *inbox, n int) {
	if in.max == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.bodies[b] = &coming{under: n, moved: time.Now()}
	in.under += n
}

// request gives a body n bytes of credit, as soon as there is room for them.
func (in *intake) request(b *inbox, n int) {
	if in.max == 0 {
		b.grant(uint32(n))
		return
	}
	in.mu.Lock()
	if c, ok := in.bodies[b]; ok {
		if c.want == 0 {
			in.waiting = append(in.waiting, b)
		}
		c.want += n
	}
	in.release()
}

// arrived counts n bytes of a body that have come.
func (in *intake) arrived(b *inbox, n int) {
	if in.max == 0 {
		return
	}
	in.mu.Lock()
	if c, ok := in.bodies[b]; ok {
		n = min(n, c.under)
		c.under -= n
		in.under -= n
		c.moved, c.away = time.Now(), false
	}
	in.release()
}

// end forgets a body.
func (in *intake) end(b *inbox) {
	if in.max == 0 {
		return
	}
	in.mu.Lock()
	if c, ok := in.bodies[b]; ok {
		in.under -= c.under
		delete(in.bodies, b)
		in.waiting = slices.DeleteFunc(in.waiting, func(x *inbox) bool { return x == b })
	}
	in.release()
}

// release gives out the credit that there is room for, at most half of it to one body, and unlocks in.mu.
func (in *intake) release() {
	type given struct {
		b *inbox
		n int
	}
	var out []given
	keep := in.waiting[:0]
	for _, b := range in.waiting {
		c := in.bodies[b]
		if n := min(c.want, in.max-in.under, in.max/2-c.under); !c.away && n >= min(c.want, intakeGrant) {
			c.want -= n
			c.under += n
			in.under += n
			c.moved = time.Now()
			out = append(out, given{b, n})
		}
		if c.want > 0 {
			keep = append(keep, b)
		}
	}
	clear(in.waiting[len(keep):])
	in.waiting = keep
	if len(in.waiting) > 0 && in.sweep == nil {
		in.sweep = time.AfterFunc(intakeSilence, in.forgetSilent)
	}
	in.mu.Unlock()
	for _, g := range out { // outside the lock: a link that is closed here ends its bodies
		g.b.grant(uint32(g.n))
	}
}

// forgetSilent no longer counts what senders that have fallen silent may still send.
func (in *intake) forgetSilent() {
	in.mu.Lock()
	in.sweep = nil
	for _, c := range in.bodies {
		if c.under > 0 && time.Since(c.moved) >= intakeSilence {
			in.under -= c.under
			c.under, c.away = 0, true
		}
	}
	in.release()
}
