package deposit

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// restoringStore may be copied and restored, and may lose the answer to a write, before and after
// each call.
type restoringStore struct {
	standin.Keyspace
	disturb func() (loseAnswer bool)
}

func (s *restoringStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.disturb()
	e, err := s.Keyspace.Get(ctx, key)
	s.disturb()
	return e, err
}

func (s *restoringStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.disturb()
	revision, err := s.Keyspace.Swap(ctx, key, expect, value)
	if s.disturb() {
		return 0, problem.New(problem.Unsure, key, "lost", "read it")
	}
	return revision, err
}

// restoredPayment is a payment that was granted.
type restoredPayment struct {
	holder  *Guard
	key     string
	claim   Claim
	ran     bool
	ended   bool
	era     uint64 // of the store when it was granted
	exposed bool   // it ran, its holder has since crashed or been frozen, and the store has forgotten it, so it may run again
}

// restoreModel runs payments of several holders while their store is restored from older copies.
type restoreModel struct {
	t        *rapid.T
	store    *restoringStore
	copies   []standin.KeyspaceCopy
	restores int // that may still be injected during store calls
	now      time.Time
	lastID   uint64
	holders  []*Guard
	crashed  map[*Guard]bool
	frozen   map[*Guard]bool
	checked  map[*Guard]uint64 // era in which the holder last finished a check
	payments []*restoredPayment
}

func (m *restoreModel) choose(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(m.t, label)
}

func (m *restoreModel) newHolder() *Guard {
	m.lastID++
	g := &Guard{Store: m.store, Holder: m.lastID, Now: func() time.Time { return m.now }, WritesPerSecond: -1, Rand: rand.New(rand.NewPCG(m.lastID, 0))}
	g.initialize()
	g.stopChecks() // the model makes the checks
	g.sleep = func(context.Context, time.Duration) bool { return true }
	return g
}

func (m *restoreModel) disturb() bool {
	if m.restores == 0 {
		return false
	}
	switch m.choose(12, "disturb") {
	case 1:
		m.copies = append(m.copies, m.store.Copy())
	case 2:
		m.restores--
		m.restore()
	case 3:
		m.restores--
		return true
	}
	return false
}

func (m *restoreModel) restore() {
	m.store.Restore(m.copies[m.choose(len(m.copies), "copy")])
	for _, p := range m.payments {
		p.exposed = p.exposed || (p.ran && (m.crashed[p.holder] || m.frozen[p.holder]))
	}
}

// crash replaces a holder.
func (m *restoreModel) crash(i int) {
	g := m.holders[i]
	m.crashed[g] = true
	m.leave(g)
	m.holders[i] = m.newHolder()
}

// leave marks the payments of a holder that crashes or freezes. The store may lack them if it was
// restored since they were
// granted and the holder has not checked them since.
func (m *restoreModel) leave(g *Guard) {
	for _, p := range m.payments {
		if era := m.store.Era(); p.ran && p.holder == g && p.era < era && m.checked[g] < era {
			p.exposed = true
		}
	}
}

// begin asks for a payment; a background release is executed at once.
func (m *restoreModel) begin(g *Guard, key string) {
	var e Event = Arrived{Call: g.nextCall(), Service: "s", Key: key, Fingerprint: 7}
	for e != nil {
		answer, call := splitActions(g.step(e))
		if d, ok := answer.(Decide); ok {
			if granted, ok := d.Decision.(Granted); ok {
				m.payments = append(m.payments, &restoredPayment{holder: g, key: key, claim: granted.Claim, era: g.core.openClaims[granted.Claim.ID.Sequence].era})
			}
		}
		e = nil
		if call != nil {
			e = g.execute(context.Background(), call)
		}
	}
}

// send runs a payment if its holder may still send it, and checks that no other payment of the key ran.
func (m *restoreModel) send(p *restoredPayment) {
	if _, err := p.holder.Confirm(context.Background(), p.claim); err != nil {
		return
	}
	p.ran = true
	for _, other := range m.payments {
		if other != p && other.ran && other.key == p.key && !other.exposed {
			m.t.Fatalf("key %s ran through holder %d and holder %d", p.key, other.holder.Holder, p.holder.Holder)
		}
	}
}

func (m *restoreModel) end(p *restoredPayment) {
	p.ended = true
	switch {
	case !p.ran:
		_ = p.holder.Release(context.Background(), p.claim)
	case m.choose(2, "abandon") == 1:
		_ = p.holder.Abandon(context.Background(), p.claim)
	default:
		_ = p.holder.Finish(context.Background(), p.claim, Record{Status: 201})
	}
}

// pass lets time pass, in which each holder checks the era at its intervals.
func (m *restoreModel) pass(intervals int) {
	for range intervals {
		m.now = m.now.Add(DefaultTimeout / eraCheckFraction)
		for _, g := range m.holders {
			if m.frozen[g] {
				continue
			}
			g.checkEra(context.Background())
			if g.core.memory.nextUnfound(m.store.Era()) == nil {
				m.checked[g] = m.store.Era()
			}
		}
	}
}

func (m *restoreModel) step() {
	action := m.choose(11, "action")
	open := m.openPayment()
	g := m.holders[m.choose(len(m.holders), "holder")]
	switch {
	case action < 3 && !m.frozen[g]:
		m.begin(g, sharedSlotKeys[m.choose(len(sharedSlotKeys), "key")])
	case action < 5 && open != nil:
		m.send(open)
	case action == 5 && open != nil:
		m.end(open)
	case action == 6:
		m.copies = append(m.copies, m.store.Copy())
	case action == 7:
		m.restore()
	case action == 8:
		m.pass(1 + m.choose(eraCheckFraction+1, "intervals"))
	case action == 9 && m.choose(3, "crash") == 1:
		m.crash(m.choose(len(m.holders), "holder"))
	case action == 10 && m.frozen[g]:
		m.frozen[g] = false
	case action == 10:
		m.frozen[g] = true
		m.leave(g)
	}
}

// openPayment returns a payment of a running holder that has not ended, or nil.
func (m *restoreModel) openPayment() *restoredPayment {
	var open []*restoredPayment
	for _, p := range m.payments {
		if !p.ended && !m.crashed[p.holder] && !m.frozen[p.holder] {
			open = append(open, p)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[m.choose(len(open), "payment")]
}

// TestRestoredStore checks that a payment runs at most once while the store comes back from older
// copies at random moments,
// also several times in a row and during store calls, unless its holder has crashed or was frozen
// and the store has forgotten its claim.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restoreModel{t: t, now: time.Unix(1000, 0), crashed: map[*Guard]bool{}, frozen: map[*Guard]bool{}, checked: map[*Guard]uint64{}, store: &restoringStore{}, restores: rapid.IntRange(0, 3).Draw(t, "disturbances")}
		m.store.disturb = m.disturb
		m.copies = []standin.KeyspaceCopy{m.store.Copy()}
		for range rapid.IntRange(2, 3).Draw(t, "holders") {
			m.holders = append(m.holders, m.newHolder())
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.step()
		}
	})
}

// After a restore a key that nobody claimed must be refused for no longer than Timeout, and by a
// daemon that starts later not
// at all; a claim that its holder wrote again must not be granted by another holder.
func TestSettledEra(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := &restoreModel{frozen: map[*Guard]bool{}, checked: map[*Guard]uint64{}, now: time.Unix(1000, 0), store: &restoringStore{disturb: func() bool { return false }}}
	first, second := m.newHolder(), m.newHolder()
	m.holders = []*Guard{first, second}
	older := m.store.Copy()
	m.begin(first, "k")
	record := Record{Status: 201, Body: []byte("paid")}
	c.Assert(first.Finish(ctx, m.payments[0].claim, record), qt.IsNil)
	m.store.Restore(older)
	_, err := second.Begin(ctx, "s", "other", 7)
	c.Assert(err, qt.ErrorIs, problem.NotRun)
	c.Assert(RetryAfter(err) > DefaultTimeout-time.Second && RetryAfter(err) <= DefaultTimeout+defaultRetryAfter, qt.IsTrue)
	m.pass(eraCheckFraction)
	d, err := second.Begin(ctx, "s", "k", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, Decision(Replay{Record: record}))
	late := m.newHolder()
	late.checkEra(ctx)
	for _, g := range []*Guard{second, late} {
		d, err = g.Begin(ctx, "s", "new", 7)
		c.Assert(err, qt.IsNil)
		granted, ok := d.(Granted)
		c.Assert(ok, qt.IsTrue)
		c.Assert(g.Release(ctx, granted.Claim), qt.IsNil)
	}
	for _, g := range []*Guard{first, second, late} {
		c.Assert(g.Close(), qt.IsNil)
	}
}

// A claim whose write crosses a restore must not be granted: the key may have been claimed in
// between. It must be released, so
// that the key is free once the era is settled.
func TestClaimAcrossRestore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	calls := 0
	m := &restoreModel{checked: map[*Guard]uint64{}, now: time.Unix(1000, 0), store: &restoringStore{}}
	m.copies = []standin.KeyspaceCopy{m.store.Copy()}
	m.store.disturb = func() bool {
		if calls++; calls == 2 { // after the read
			m.store.Restore(m.copies[0])
		}
		return false
	}
	g := m.newHolder()
	_, err := g.Begin(ctx, "s", "k", 7)
	c.Assert(err, qt.ErrorIs, problem.NotRun)
	c.Assert(g.Close(), qt.IsNil)
	m.holders = []*Guard{m.newHolder()}
	m.pass(eraCheckFraction + 1)
	d, err := m.holders[0].Begin(ctx, "s", "k", 7)
	c.Assert(err, qt.IsNil)
	_, granted := d.(Granted)
	c.Assert(granted, qt.IsTrue)
	c.Assert(m.holders[0].Close(), qt.IsNil)
}

// A claim that the store still holds shows only that the claims acknowledged before its write, in
// the same era, are there too;
// any other must be checked, or a lost one would not be written again.
func TestMemorySetFound(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	tests := map[string]struct {
		other rememberedClaim
		found bool
	}{
		"acknowledged before":    {rememberedClaim{claim: wire.Claim{Era: 1}, ackAt: at(9)}, true},
		"acknowledged during":    {rememberedClaim{claim: wire.Claim{Era: 1}, ackAt: at(10)}, false},
		"of an earlier era":      {rememberedClaim{claim: wire.Claim{Era: 0}, ackAt: at(9)}, false},
		"written in a later era": {rememberedClaim{claim: wire.Claim{Era: 2}, ackAt: at(9)}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := &memory{}
			present := &rememberedClaim{claim: wire.Claim{Digest: []byte("a"), Era: 1}, sentAt: at(10), ackAt: at(11)}
			tc.other.claim.Digest = []byte("b")
			for _, r := range []*rememberedClaim{&tc.other, present} {
				m.put(r, func(wire.Claim) bool { return false })
			}
			m.setFound(present, 3)
			qt.Check(t, m.nextUnfound(3) == nil, qt.Equals, tc.found)
		})
	}
}

// A claim of an earlier era must not be confirmed once its stamp is old, even if the copy holds it:
// another holder may have been
// granted the key in an era that the store has lost too.
func TestConfirmAfterRestore(t *testing.T) {
	c := qt.New(t)
	m := &restoreModel{now: time.Unix(1000, 0), store: &restoringStore{disturb: func() bool { return false }}}
	g := m.newHolder()
	m.begin(g, "k")
	m.store.Restore(m.store.Copy())
	_, err := g.Confirm(context.Background(), m.payments[0].claim)
	c.Assert(err, qt.IsNil)
	m.now = m.now.Add(maxSendWindow)
	_, err = g.Confirm(context.Background(), m.payments[0].claim)
	c.Assert(err, qt.ErrorIs, problem.NotRun)
	c.Assert(g.Close(), qt.IsNil)
}
