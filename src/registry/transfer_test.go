package registry_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// An agent that was cut off for longer than its peers keep versions fetches the newest one whole, in
// parts. It must not finish an older one when a newer one appears meanwhile, must not put a damaged
// one in force, and must read it again.
func TestTransferInParts(t *testing.T) {
	tests := map[string]struct {
		disturb func(p *propagation, req wire.RegistryRequest, r *wire.RegistryReply) bool // called until it returns true
		want    uint64
		limit   time.Duration // of the newest version, after the agent is no longer cut off
		skipped uint64        // version that must not be put in force
	}{
		"undisturbed": {func(*propagation, wire.RegistryRequest, *wire.RegistryReply) bool { return true }, 9, time.Second, 0},
		"newer version after the first part": {func(p *propagation, req wire.RegistryRequest, _ *wire.RegistryReply) bool {
			p.store.Put(testKeys.Config, newDocument(10))
			time.Sleep(600 * time.Millisecond) // until the peers have it
			return true
		}, 10, 2 * time.Second, 9},
		"damaged part": {func(_ *propagation, req wire.RegistryRequest, r *wire.RegistryReply) bool {
			r.Value[len(r.Value)/2] ^= 0xff
			return req.Want != 0
		}, 9, 2 * time.Second, 0},
		"another digest": {func(_ *propagation, req wire.RegistryRequest, r *wire.RegistryReply) bool {
			r.Digest++
			return req.Want != 0
		}, 9, 2 * time.Second, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const agents, self = 6, 5
				c := qt.New(t)
				p := startPropagation(agents, 1)
				defer p.stop()
				p.cutOff.Store(self)
				p.views[self].Set(func() { p.views[self].Fail = problem.New(problem.Unavailable, "store", "refused", "wait") })
				for v := uint64(2); v <= 9; v++ {
					p.store.Put(testKeys.Config, newDocument(v))
					time.Sleep(time.Second)
				}
				var mu sync.Mutex
				done, parts := false, 0
				onReply := func(asker int, req wire.RegistryRequest, r *wire.RegistryReply) {
					if asker != self || len(r.Value) == 0 {
						return
					}
					mu.Lock()
					if req.Want != 0 {
						parts++
					}
					call := !done
					mu.Unlock()
					if call && tc.disturb(p, req, r) {
						mu.Lock()
						done = true
						mu.Unlock()
					}
				}
				p.onReply.Store(&onReply)
				p.cutOff.Store(0)
				began := time.Now()
				time.Sleep(5 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				c.Assert(p.highest[self], qt.Equals, tc.want)
				mu.Lock()
				c.Check(parts > 0, qt.IsTrue)
				mu.Unlock()
				c.Check(p.backward, qt.Equals, 0)
				took := p.inForce[self][tc.want].Sub(began)
				c.Check(took <= tc.limit, qt.IsTrue, qt.Commentf("%s", took))
				c.Check(slices.Contains(p.delivered[self], tc.skipped), qt.IsFalse)
			})
		})
	}
}
