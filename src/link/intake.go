package link

import (
	"slices"
	"sync"
	"time"
)

const (
	intakeTime  = 25 * time.Millisecond // that small frames may wait on this VM's link behind the bodies of all peers
	intakeMin   = 8 << 10               // bytes, so that a round trip between failure domains does not leave the link idle
	intakeGrant = 2 << 10               // bytes; a smaller grant would cost two frames for little
	intakeUse   = 40 * time.Millisecond // after which a body's credit no longer counts: a sender that has bytes at hand uses it in intakeTime and a round trip
)

// intake bounds the body bytes that peers may have on their way here together; a thin link would else hold small frames up behind them.
type intake struct {
	rate float64 // bytes a second that the link carries
	max  int     // bytes, 0 for no bound

	mu      sync.Mutex
	bodies  map[*inbox]*coming
	waiting []*inbox // bodies that want more credit, the longest waiting first
	under   int      // bytes on their way
	sweep   *time.Timer
}

// coming is what an intake knows of one body.
type coming struct {
	under int       // bytes taken to be on their way
	idle  int       // bytes of credit that its sender has not used: it waits for its caller, or is away
	want  int       // credit that the body may have and has not been given
	given time.Time // when it was last given credit
}

// newIntake returns the intake of a VM whose link carries rate bytes a second, 0 for a link without bound.
func newIntake(rate float64) *intake {
	in := &intake{rate: rate, bodies: map[*inbox]*coming{}}
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
	in.bodies[b] = &coming{under: n, given: time.Now()}
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
		counted := min(n, c.under)
		c.under -= counted
		in.under -= counted
		c.idle -= min(n-counted, c.idle)
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

// backlog returns how long the bodies that peers are sending here take to arrive.
func (in *intake) backlog() time.Duration {
	if in.max == 0 {
		return 0
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	n := in.under
	for _, b := range in.waiting {
		n += in.bodies[b].want
	}
	return time.Duration(float64(n) / in.rate * float64(time.Second))
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
		if n := min(c.want, in.max-in.under, in.max/2-c.under-c.idle); n >= min(c.want, intakeGrant) {
			c.want -= n
			c.under += n
			in.under += n
			c.given = time.Now()
			out = append(out, given{b, n})
		}
		if c.want > 0 {
			keep = append(keep, b)
		}
	}
	clear(in.waiting[len(keep):])
	in.waiting = keep
	if len(in.waiting) > 0 && in.sweep == nil {
		in.sweep = time.AfterFunc(intakeUse, in.forgetUnused)
	}
	in.mu.Unlock()
	for _, g := range out { // outside the lock: a link that is closed here ends its bodies
		g.b.grant(uint32(g.n))
	}
}

// forgetUnused no longer counts the credit that senders have not used in time.
func (in *intake) forgetUnused() {
	in.mu.Lock()
	in.sweep = nil
	for _, c := range in.bodies {
		if c.under > 0 && time.Since(c.given) >= intakeUse {
			in.under -= c.under
			c.under, c.idle = 0, c.idle+c.under
		}
	}
	in.release()
}
