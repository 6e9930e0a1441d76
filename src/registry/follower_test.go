package registry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// configDeadline is the time within which a configuration must be in force on all agents.
const configDeadline = 2 * time.Second

// peerNetwork carries messages between followers in memory.
type peerNetwork struct {
	mu        sync.Mutex
	followers map[uint64]*registry.Follower
	frozen    map[uint64]bool // members that never answer
	exchanges int
}

// Exchange implements link.Exchanger.
func (n *peerNetwork) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	n.mu.Lock()
	f, frozen := n.followers[to.ID], n.frozen[to.ID]
	n.exchanges++
	n.mu.Unlock()
	switch {
	case f == nil:
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no link", "")
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.ServeMessage(ctx, to, kind, payload)
}

// testFollower is a follower that records its latest configuration.
type testFollower struct {
	*registry.Follower
	suspended  atomic.Int64 // nanoseconds for which its VM was suspended
	mu         sync.Mutex
	lastConfig string
}

func (f *testFollower) config() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastConfig
}

// startFollowers runs one Follower for each of the members 1 to n, all in one failure domain, until the test ends. Each has its own view of the store, on which faults can be set.
func startFollowers(c *qt.C, n int, s *standin.RegistryStore, configure ...func(*registry.Follower)) (*peerNetwork, []*testFollower, []*standin.RegistryStore) {
	network := &peerNetwork{followers: map[uint64]*registry.Follower{}, frozen: map[uint64]bool{}}
	var agents []*testFollower
	var views []*standin.RegistryStore
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := 1; i <= n; i++ {
		entry := member(i)
		entry.Domain = "mid-a"
		b, _ := entry.MarshalMsg(nil) // to memory, cannot fail
		s.Put(memberKey(entry.Addr), b)
	}
	for i := 1; i <= n; i++ {
		view := s.View()
		f := &testFollower{}
		f.Follower = &registry.Follower{
			Store: view, Keys: testKeys, EntryKey: memberKey(addr(i)), ID: uint64(i), Domain: "mid-a", Exchanger: network,
			OnMembers: func() {}, OnEntryMissing: func() {}, Log: logr.Discard(),
			SuspendedFor: func() time.Duration { return time.Duration(f.suspended.Swap(0)) },
			OnConfig: func(b []byte) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.lastConfig = string(b)
			},
		}
		for _, configureFollower := range configure {
			configureFollower(f.Follower)
		}
		network.followers[uint64(i)] = f.Follower
		agents, views = append(agents, f), append(views, view)
	}
	for _, f := range agents {
		wg.Go(func() { c.Check(f.Run(ctx), qt.IsNil) })
	}
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	s.Put(testKeys.Config, []byte("one"))
	for _, f := range agents {
		eventually(c, "configured", func() bool { return f.config() == "one" })
	}
	return network, agents, views
}

// A fault of a failure domain's reader must not delay a configuration beyond the deadline at the agents that watch it. Stalled stores and watches caused such delays.
func TestFollowerReaderFaults(t *testing.T) {
	tests := map[string]func(network *peerNetwork, reader *standin.RegistryStore){
		"none": func(*peerNetwork, *standin.RegistryStore) {},
		"store stalls": func(_ *peerNetwork, reader *standin.RegistryStore) {
			reader.Set(func() { reader.Hold = make(chan struct{}) })
		},
		"store unavailable": func(_ *peerNetwork, reader *standin.RegistryStore) {
			reader.Set(func() { reader.Fail = problem.New(problem.Unavailable, "", "", "") })
		},
		"watch stalls": func(_ *peerNetwork, reader *standin.RegistryStore) { reader.Set(func() { reader.Stuck = true }) },
		"reader does not answer": func(network *peerNetwork, _ *standin.RegistryStore) {
			network.mu.Lock()
			network.frozen[1] = true
			network.mu.Unlock()
		},
		"reader unreachable": func(network *peerNetwork, _ *standin.RegistryStore) {
			network.mu.Lock()
			delete(network.followers, 1)
			network.mu.Unlock()
		},
		"watch misses changes": func(_ *peerNetwork, reader *standin.RegistryStore) {
			reader.Set(func() { reader.Deaf = true })
			time.AfterFunc(configDeadline/4, func() { reader.Set(func() { reader.Deaf = false }) })
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			network, agents, views := startFollowers(c, 4, s)
			injectFault(network, views[0])
			s.Put(testKeys.Config, []byte("two"))
			began := time.Now()
			for _, f := range agents[1:] {
				eventually(c, "in force", func() bool { return f.config() == "two" })
			}
			c.Check(time.Since(began) < configDeadline, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}

// In normal operation only the readers of a failure domain, here one, may call the store.
func TestFollowerIdleStoreCalls(t *testing.T) {
	c := qt.New(t)
	_, _, views := startFollowers(c, 6, standin.NewRegistryStore())
	time.Sleep(100 * time.Millisecond)
	for _, v := range views {
		v.Set(func() { v.Calls = 0 })
	}
	time.Sleep(3 * registry.WatchWait)
	total := 0
	for i, v := range views {
		v.Set(func() {
			total += v.Calls
			if i > 0 {
				c.Check(v.Calls, qt.Equals, 0, qt.Commentf("follower %d", i+1))
			}
		})
	}
	// One watch per WatchWait, and one more because the period does not begin with a watch.
	c.Check(total <= 4, qt.IsTrue, qt.Commentf("%d calls", total))
}

func skipNone(wire.Member) bool { return false }

// When a reader dies during a series of versions, agents with slow links must switch to the next reader. Only that reader may then read the store, which sends each version in full.
func TestFollowerSlowLinksReaderFailover(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	network, agents, views := startFollowers(c, 6, s, func(f *registry.Follower) { f.MaxTransferTime = time.Second })
	time.Sleep(2 * registry.WatchWait)
	calls := func() int {
		n := 0
		for _, v := range views[2:] { // all but the failed reader and its replacement
			v.Set(func() { n += v.Calls })
		}
		return n
	}
	before := calls()
	network.mu.Lock()
	delete(network.followers, 1)
	network.mu.Unlock()
	for _, version := range []string{"two", "three", "four"} {
		s.Put(testKeys.Config, []byte(version))
		began := time.Now()
		for _, f := range agents[1:] {
			eventually(c, "in force", func() bool { return f.config() == version })
		}
		c.Check(time.Since(began) < configDeadline, qt.IsTrue, qt.Commentf("%s: %s", version, time.Since(began)))
	}
	c.Check(calls(), qt.Equals, before)
}

func TestSelectReaderLinkSpeed(t *testing.T) {
	var members []wire.Member
	for i, d := range []string{"mid-a", "mid-a", "mid-a", "mid-b", "mid-b"} {
		m := member(i + 1)
		m.Domain, m.LinkMbps = d, 5
		members = append(members, m)
	}
	members[1].LinkMbps, members[2].LinkMbps = 100, 100
	skipFirst := func(m wire.Member) bool { return m.ID == 2 }
	tests := map[string]struct {
		self   int
		domain string
		skip   func(wire.Member) bool
		want   uint64 // 0 for none
	}{
		"slow link watches fast link":       {1, "mid-a", skipNone, 2},
		"fast link watches first reader":    {3, "mid-a", skipNone, 2},
		"the reader":                        {2, "mid-a", skipNone, 0},
		"first reader skipped":              {1, "mid-a", skipFirst, 3},
		"next reader reads the store":       {3, "mid-a", skipFirst, 0},
		"domain with slow links only":       {4, "mid-b", skipNone, 2},
		"reader does not skip itself":       {2, "mid-a", skipFirst, 0},
		"slow domain, first reader skipped": {5, "mid-b", skipFirst, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := registry.SelectReader(members, memberKey(addr(tc.self)), tc.domain, testKeys, tc.skip)
			qt.Assert(t, m.ID, qt.Equals, tc.want)
		})
	}
}

func TestSelectReader(t *testing.T) {
	newMembers := func(n int) []wire.Member {
		var out []wire.Member
		for i := 1; i <= n; i++ {
			m := member(i)
			m.Domain = "mid-a"
			out = append(out, m)
		}
		return out
	}
	leaving := newMembers(3)
	leaving[0].State = wire.StateLeaving
	elsewhere := newMembers(3)
	elsewhere[0].Domain = "mid-b"
	tests := map[string]struct {
		members []wire.Member
		self    int
		want    uint64 // 0 for none
	}{
		"no members known":       {nil, 2, 0},
		"alone":                  {newMembers(1), 1, 0},
		"the reader":             {newMembers(3), 1, 0},
		"watches the reader":     {newMembers(3), 3, 1},
		"not announced yet":      {newMembers(3), 9, 1},
		"reader leaving":         {leaving, 3, 2},
		"another failure domain": {elsewhere, 3, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := registry.SelectReader(tc.members, memberKey(addr(tc.self)), "mid-a", testKeys, skipNone)
			qt.Assert(t, m.ID, qt.Equals, tc.want)
		})
	}
	c := qt.New(t)
	served := map[uint64]int{}
	for i := 1; i <= 200; i++ {
		if m, ok := registry.SelectReader(newMembers(200), memberKey(addr(i)), "mid-a", testKeys, skipNone); ok {
			served[m.ID]++
		}
	}
	c.Check(served, qt.HasLen, 1+200/registry.AgentsPerReader)
	for id, n := range served {
		// 64 is the number of messages that an agent serves at once.
		c.Check(n < 64, qt.IsTrue, qt.Commentf("reader %d serves %d", id, n))
	}
}

// After a suspension of the VM, a follower must not wait for the answer to a call that it made before.
func TestFollowerSuspension(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	_, agents, views := startFollowers(c, 1, s)
	views[0].Set(func() { views[0].Stuck = true })
	time.Sleep(2 * registry.WatchWait) // until a watch is pending that never answers
	for i := range 3 {
		want := []string{"two", "three", "four"}[i]
		s.Put(testKeys.Config, []byte(want))
		began := time.Now()
		agents[0].suspended.Store(int64(3 * time.Second))
		eventually(c, "in force", func() bool { return agents[0].config() == want })
		c.Check(time.Since(began) < registry.WatchWait, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	}
}

// A single failure of a reader's watch must not make the agents that watch it call the store: simultaneous calls of all of them would cost more than the short delay until the reader's retry. When the store drops its history, readers see such a failure: a watch that is cut or stalls.
func TestFollowerSingleReaderFailure(t *testing.T) {
	tests := map[string]func(reader *standin.RegistryStore){
		"connection cut": func(reader *standin.RegistryStore) { reader.Cut = 1 },
		"watch stalls":   func(reader *standin.RegistryStore) { reader.Stuck = true },
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			_, agents, views := startFollowers(c, 8, s)
			time.Sleep(2 * registry.WatchWait) // until all others watch the reader
			calls := func() int {
				n := 0
				for _, v := range views[1:] {
					v.Set(func() { n += v.Calls })
				}
				return n
			}
			before := calls()
			views[0].Set(func() { injectFault(views[0]) })
			time.Sleep(3 * registry.WatchWait)
			views[0].Set(func() { views[0].Stuck = false })
			c.Assert(calls(), qt.Equals, before)
			s.Put(testKeys.Config, []byte("two"))
			began := time.Now()
			for _, f := range agents {
				eventually(c, "in force", func() bool { return f.config() == "two" })
			}
			c.Assert(time.Since(began) < configDeadline, qt.IsTrue)
		})
	}
}

// A starting agent must find, in its first listing and without another call, the tombstones that an earlier agent wrote.
func TestFollowerTombstone(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.Put(testKeys.TombstonePrefix+"i-1", []byte("1700"))
	s.Put(testKeys.TombstonePrefix+"i-2", []byte("soon"))
	f := &registry.Follower{Keys: testKeys, EntryKey: memberKey(addr(1))}
	ctx, cancel := context.WithTimeout(context.Background(), configDeadline/4)
	defer cancel()
	_, known := f.AwaitTombstone(ctx, "i-1")
	c.Assert(known, qt.IsFalse)
	_, agents, _ := startFollowers(c, 1, s)
	ctx, cancel = context.WithTimeout(context.Background(), configDeadline/4)
	defer cancel()
	latestStart, known := agents[0].AwaitTombstone(ctx, "i-1")
	c.Assert(known, qt.IsTrue)
	c.Assert(latestStart, qt.Equals, time.UnixMilli(1700))
	latestStart, known = agents[0].AwaitTombstone(ctx, "i-3")
	c.Assert(known, qt.IsTrue)
	c.Assert(latestStart.IsZero(), qt.IsTrue)
	_, known = agents[0].AwaitTombstone(ctx, "i-2")
	c.Assert(known, qt.IsFalse, qt.Commentf("malformed: the caller uses Announcer.ReadTombstone, which returns the error"))
}
