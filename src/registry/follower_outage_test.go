package registry_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/standin"
)

// While the store refuses all calls, the agents that watch a reader leave it to the reader to find out when the store is back: the calls of all agents of a large fleet would add up.
// A configuration written after the store's recovery, or seen by any agent meanwhile, is in force in time.
func TestFollowerStoreOutage(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	_, agents, views := startFollowers(c, 8, s)
	time.Sleep(2 * registry.WatchWait) // until all others watch the reader
	setFail := func(err error) {
		for _, v := range views {
			v.Set(func() { v.Fail = err })
		}
	}
	calls := func() int {
		n := 0
		for _, v := range views[1:] {
			v.Set(func() { n += v.Calls })
		}
		return n
	}
	before := calls()
	setFail(problem.New(problem.Unavailable, "store", "busy", "wait"))
	time.Sleep(6 * time.Second)
	c.Check(calls()-before <= 7*6, qt.IsTrue, qt.Commentf("%d calls of 7 agents in 6 s", calls()-before)) // one a second each
	views[3].Set(func() { views[3].Fail = nil })                                                          // the store serves one agent again, which is not a reader
	// An unstable store may stretch configDeadline by 5 s.
	inForce := func(version string) {
		s.Put(testKeys.Config, []byte(version))
		began := time.Now()
		for _, f := range agents {
			eventually(c, version+" in force", func() bool { return f.config() == version })
		}
		c.Check(time.Since(began) < configDeadline+5*time.Second, qt.IsTrue, qt.Commentf("%s: %s", version, time.Since(began)))
	}
	inForce("two")
	setFail(nil)
	time.Sleep(configDeadline)
	began := time.Now()
	inForce("three")
	c.Check(time.Since(began) < configDeadline, qt.IsTrue)
}

// An agent that starts while the store is away takes the configuration and the members from an agent that dials it. One that has a configuration, or whose store answers, makes no such query.
func TestFollowerStartDuringOutage(t *testing.T) {
	tests := map[string]struct {
		storeFails bool
		offered    uint64 // member ID
		configured bool
	}{
		"store away":               {true, 1, true},
		"store away, itself":       {true, 99, false},
		"store away, nobody dials": {true, 0, false},
		"store answers":            {false, 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			network, _, _ := startFollowers(c, 3, s)
			view := s.View()
			if tc.storeFails {
				view.Fail = problem.New(problem.Unavailable, "store", "busy", "wait")
			}
			config := make(chan string, 10)
			f := &registry.Follower{
				Store: view, Keys: testKeys, EntryKey: memberKey(addr(99)), ID: 99, Domain: "mid-a", Exchanger: network, Log: logr.Discard(),
				OnMembers: func() {}, OnEntryMissing: func() {}, OnConfig: func(b []byte) { config <- string(b) },
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- f.Run(ctx) }()
			defer func() {
				cancel()
				c.Check(<-done, qt.IsNil)
			}()
			network.mu.Lock()
			before := network.exchanges
			network.mu.Unlock()
			for end := time.Now().Add(configDeadline); time.Now().Before(end) && len(config) == 0; time.Sleep(10 * time.Millisecond) {
				if tc.offered != 0 {
					f.OfferPeer(link.Peer{ID: tc.offered, Addr: addr(int(tc.offered))})
				}
			}
			c.Assert(len(config) > 0, qt.Equals, tc.configured)
			if tc.configured {
				c.Check(<-config, qt.Equals, "one")
				c.Check(f.Members(), qt.HasLen, 3)
			}
			if !tc.storeFails {
				network.mu.Lock()
				c.Check(network.exchanges-before <= 2*int(configDeadline/registry.WatchWait)*3, qt.IsTrue)
				network.mu.Unlock()
			}
		})
	}
}
