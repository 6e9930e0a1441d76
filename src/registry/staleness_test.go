package registry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/standin"
)

// Guards against agents that the store serves and that act on an old configuration for longer than
// MaxStaleness because those through which they follow the store have lost it, one after the other.
func TestStalenessBound(t *testing.T) {
	silence := func(p *propagation, agents ...int) {
		for _, i := range agents {
			p.views[i].Set(func() { p.views[i].Hold, p.views[i].Stuck = make(chan struct{}), true })
		}
	}
	refuse := func(p *propagation, agents ...int) {
		for _, i := range agents {
			p.views[i].Set(func() { p.views[i].Fail = problem.New(problem.Unavailable, "store", "refused", "wait") })
		}
	}
	tests := map[string]struct {
		agents, zones int
		fault         func(p *propagation)
		affected      int // agents, the first ones, that the fault affects itself
	}{
		"store silent for two readers": {8, 1, func(p *propagation) { silence(p, 0, 1) }, 2},
		"store silent for a reader, the next one without power": {8, 1, func(p *propagation) {
			silence(p, 0)
			p.silent.Store(2)
		}, 2},
		"store silent for three readers in series": {10, 1, func(p *propagation) { silence(p, 0, 1, 2) }, 3},
		"store silent, then refuses": {10, 1, func(p *propagation) {
			silence(p, 0)
			refuse(p, 1, 2)
		}, 3},
		"readers of slow domains": {24, 3, func(p *propagation) { silence(p, 0, 1, 3) }, 4},
		"80 agents":               {80, 4, func(p *propagation) { silence(p, 0, 1, 2, 3) }, 4},
	}
	for name, tc := range tests {
		for phase := range 5 { // of the readers' watches
			t.Run(fmt.Sprintf("%s/%d", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := startPropagation(tc.agents, tc.zones, func(p *propagation) {
						p.linkMbps = func(agent int) uint32 {
							if agent < tc.affected+1 {
								return 200 - uint32(agent)
							}
							return 5
						}
					})
					defer p.stop()
					time.Sleep(time.Duration(phase) * registry.WatchWait / 5)
					tc.fault(p)
					p.store.Put(testKeys.Config, newDocument(2))
					written, before := time.Now(), p.calls()
					time.Sleep(registry.DefaultMaxStaleness)
					calls := p.calls() - before
					p.mu.Lock()
					defer p.mu.Unlock()
					for i := tc.affected; i < tc.agents; i++ {
						at, ok := p.inForce[i][2]
						qt.Check(t, ok, qt.IsTrue, qt.Commentf("agent %d", i))
						if ok {
							qt.Check(t, at.Sub(written) <= registry.DefaultMaxStaleness, qt.IsTrue, qt.Commentf("agent %d: %s", i, at.Sub(written)))
						}
					}
					t.Logf("%d calls to the store in %s", calls, registry.DefaultMaxStaleness)
					qt.Check(t, calls <= 5*tc.agents, qt.IsTrue, qt.Commentf("%d calls to the store", calls))
				})
			})
		}
	}
}

// Guards against agents that read the store although those through which they follow it are well, and
// against an age that grows with the number of agents in between.
func TestStalenessCalm(t *testing.T) {
	const runTime = 20 * time.Second
	tests := map[string]struct {
		agents, zones int
		change        time.Duration // between changes, 0 for none
		calls         float64       // to the store a second, at most
		age           time.Duration // of what any agent knows, at most
	}{
		"10 agents":                      {10, 3, 0, 4, registry.MinDirectReadAge},
		"80 agents":                      {80, 4, 0, 6, registry.MinDirectReadAge},
		"80 agents, a change each 0.5 s": {80, 4, 500 * time.Millisecond, 16, registry.DefaultMaxStaleness},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPropagation(tc.agents, tc.zones, func(p *propagation) {
					p.linkMbps = func(agent int) uint32 { return []uint32{200, 200, 5}[agent%tc.zones%3] } // one domain with slow links only
				})
				defer p.stop()
				calls, messages, oldest := p.calls(), p.messages.Load(), time.Duration(0)
				for end := time.Now().Add(runTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if tc.change > 0 && time.Now().UnixMilli()%tc.change.Milliseconds() < 10 {
						p.store.Put(testKeys.MemberPrefix+"other", []byte(time.Now().String()))
					}
					for _, f := range p.followers {
						oldest = max(oldest, f.Age())
					}
				}
				rate := float64(p.calls()-calls) / runTime.Seconds()
				t.Logf("%.1f calls to the store and %.1f messages a second, oldest knowledge %s", rate, float64(p.messages.Load()-messages)/runTime.Seconds(), oldest)
				qt.Check(t, rate <= tc.calls, qt.IsTrue)
				qt.Check(t, oldest <= tc.age, qt.IsTrue)
			})
		})
	}
}

// Guards against a large fleet that calls the store again and again while it is down for all, against
// agents that miss its return, and against knowledge of any age that counts as new since a reader or
// a peer told it that does not know what the store has acknowledged since.
func TestStalenessOutage(t *testing.T) {
	const outage = 10 * time.Second
	modes := map[string]func(v *standin.RegistryStore){
		"refuses": func(v *standin.RegistryStore) { v.Fail = problem.New(problem.Unavailable, "store", "down", "wait") },
		"silent":  func(v *standin.RegistryStore) { v.Hold, v.Stuck = make(chan struct{}), true },
	}
	for mode, fail := range modes {
		for _, agents := range []int{10, 80} {
			t.Run(fmt.Sprint(mode, "/", agents), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := startPropagation(agents, 3, func(p *propagation) {
						p.linkMbps = func(agent int) uint32 { return []uint32{200, 50, 5}[agent%3] }
					})
					defer p.stop()
					calls, began := p.calls(), time.Now()
					for _, v := range p.views {
						v.Set(func() { fail(v) })
					}
					for ; time.Since(began) < outage; time.Sleep(100 * time.Millisecond) { // agents without a source ask one another all the while
						lastAnswer := time.Since(began) - registry.WatchWait // a watch that began before may still answer
						for i, f := range p.followers {
							qt.Assert(t, f.Age() >= lastAnswer, qt.IsTrue, qt.Commentf("agent %d: %s after %s", i, f.Age(), time.Since(began)))
						}
					}
					rate := float64(p.calls()-calls) / outage.Seconds()
					t.Logf("%.1f calls to the store a second", rate)
					qt.Check(t, rate <= float64(agents), qt.IsTrue, qt.Commentf("%.1f calls a second", rate))
					for _, v := range p.views {
						v.Set(func() {
							if v.Hold != nil {
								close(v.Hold)
							}
							v.Fail, v.Hold, v.Stuck = nil, nil, false
						})
					}
					p.store.Put(testKeys.Config, newDocument(2))
					time.Sleep(registry.DefaultMaxStaleness)
					p.mu.Lock()
					defer p.mu.Unlock()
					for i, versions := range p.inForce {
						_, ok := versions[2]
						qt.Check(t, ok, qt.IsTrue, qt.Commentf("agent %d", i))
						qt.Check(t, p.followers[i].Age() <= registry.DefaultMaxStaleness, qt.IsTrue, qt.Commentf("agent %d: %s", i, p.followers[i].Age()))
					}
				})
			})
		}
	}
}
