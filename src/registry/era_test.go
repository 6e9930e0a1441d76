package registry_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
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

// configVersion is the version of a test's configuration, which is a number.
func configVersion(value []byte) uint64 {
	n, _ := strconv.ParseUint(string(value), 10, 64)
	return n
}

// startFollower runs one more follower, in a failure domain of its own so that it reads the store
// itself, and returns the configurations that it delivers.
func startFollower(c *qt.C, s registry.Store, network *peerNetwork, n int) (*registry.Follower, func() []string) {
	var mu sync.Mutex
	var configs []string
	f := &registry.Follower{
		Store: s, Keys: testKeys, EntryKey: memberKey(addr(n)), ID: uint64(n), Domain: fmt.Sprint("domain-", n), Exchanger: network, Log: logr.Discard(),
		ConfigVersion: configVersion, OnMembers: func() {}, OnEntryMissing: func() {},
		OnConfig: func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			configs = append(configs, string(b))
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return f, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string{}, configs...)
	}
}

// The store comes back from an older copy: its revisions go back and are given out again, so that
// an agent that orders changes by them ignores the operator's next configurations. Each of those
// must be in force in time, an older one never again, and an agent that starts meanwhile must take
// the newest from a peer.
func TestFollowerStoreFromOlderCopy(t *testing.T) {
	tests := map[string]struct {
		restores    int
		refused     int // agents that the store refuses just then
		historyKept bool
	}{
		"once":                          {restores: 1},
		"twice in a row":                {restores: 2},
		"a third of the agents refused": {restores: 1, refused: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			s.SetEra(3)
			network, agents, views := startFollowers(c, 6, s, func(f *registry.Follower) { f.ConfigVersion = configVersion })
			inForce := func(version string, agents []*testFollower) {
				began := time.Now()
				for _, f := range agents {
					eventually(c, version+" in force", func() bool { return f.config() == version })
				}
				c.Check(time.Since(began) < configDeadline, qt.IsTrue, qt.Commentf("%s: %s", version, time.Since(began)))
			}
			s.Put(testKeys.Config, []byte("10"))
			inForce("10", agents)
			older := s.Copy()
			for i := 11; i <= 20; i++ {
				s.Put(testKeys.Config, []byte(strconv.Itoa(i)))
			}
			inForce("20", agents)

			for _, v := range views[len(views)-tc.refused:] {
				v.Set(func() { v.Fail = problem.New(problem.Unavailable, "store", "busy", "wait") })
			}
			for range tc.restores {
				s.Restore(older)
				time.Sleep(50 * time.Millisecond)
			}
			_, started := startFollower(c, s.View(), network, 99)
			eventually(c, "newest configuration at an agent that starts", func() bool {
				configs := started()
				return len(configs) > 0 && configs[len(configs)-1] == "20"
			})
			time.Sleep(registry.WatchWait)
			for _, f := range agents {
				c.Check(f.config(), qt.Equals, "20")
			}
			restarted := member(3)
			restarted.ID, restarted.Domain = 33, "mid-a"
			b, err := restarted.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			s.Put(memberKey(restarted.Addr), b) // at a revision that was given out before
			for _, f := range agents {
				eventually(c, "restarted member known", func() bool {
					return slices.ContainsFunc(f.Members(), func(m wire.Member) bool { return m.ID == 33 })
				})
			}
			s.Put(testKeys.Config, []byte("21"))
			inForce("21", agents)
			eventually(c, "next configuration at the agent that started", func() bool {
				configs := started()
				return configs[len(configs)-1] == "21"
			})
			for _, v := range views {
				v.Set(func() { v.Fail = nil })
			}
			s.Put(testKeys.Config, []byte("22"))
			inForce("22", agents)
			for _, f := range agents {
				c.Check(f.Members(), qt.HasLen, 6, qt.Commentf("no member is dropped"))
			}
		})
	}
}

// A tombstone that the store has lost must still be known to an agent that starts afterwards: its
// peers have seen it.
func TestFollowerTombstoneLostByStore(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	network, agents, _ := startFollowers(c, 3, s)
	older := s.Copy()
	s.Put(testKeys.TombstonePrefix+"i-9", []byte("1700"))
	for _, f := range agents {
		eventually(c, "tombstone known", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), configDeadline)
			defer cancel()
			latestStart, known := f.AwaitTombstone(ctx, "i-9")
			return known && latestStart.Equal(time.UnixMilli(1700))
		})
	}
	s.Restore(older)
	f, _ := startFollower(c, s.View(), network, 99)
	ctx, cancel := context.WithTimeout(context.Background(), configDeadline)
	defer cancel()
	latestStart, known := f.AwaitTombstone(ctx, "i-9")
	c.Assert(known, qt.IsTrue)
	c.Check(latestStart, qt.Equals, time.UnixMilli(1700))
}

// An agent that starts where no peer answers must not wait for one for long.
func TestFollowerStartWithoutPeers(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	network, _, _ := startFollowers(c, 3, s)
	network.mu.Lock()
	for i := range uint64(4) {
		network.frozen[i] = true
	}
	network.mu.Unlock()
	f, _ := startFollower(c, s.View(), network, 99)
	ctx, cancel := context.WithTimeout(context.Background(), configDeadline/4)
	defer cancel()
	_, known := f.AwaitTombstone(ctx, "i-1")
	c.Check(known, qt.IsTrue)
}

// What an agent wrote after the copy was made must be back within about two seconds: its entry,
// under a lease of its own although the store gives lease IDs out again, and the tombstone of an
// acknowledged drain.
func TestAnnouncerStoreFromOlderCopy(t *testing.T) {
	const back = 2*time.Second + 500*time.Millisecond
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.SetEra(3)
	older := s.Copy()
	a := startAnnouncer(c, s.View())
	leaving := member(1)
	leaving.State = wire.StateLeaving
	a.SetEntry(leaving)
	c.Assert(a.WriteTombstone(context.Background(), "i-1", time.UnixMilli(5)), qt.IsNil)
	for i := range 2 {
		s.Restore(older)
		other := s.View()
		for range 3 { // another agent gets the leases that this one held
			_, err := other.GrantLease(context.Background(), time.Second)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(s.Has(a.EntryKey), qt.IsFalse)
		began := time.Now()
		eventually(c, "entry and tombstone written again", func() bool { return s.Has(a.EntryKey) && s.Has(testKeys.TombstonePrefix+"i-1") })
		c.Check(time.Since(began) <= back, qt.IsTrue, qt.Commentf("restore %d: %s", i, time.Since(began)))
		eventually(c, "up to date", func() bool { return registry.UpToDate(a) })
	}
}

// A stopping agent must not revoke a lease of an earlier era, which another agent may hold by then.
func TestAnnouncerStopAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.SetEra(3)
	older := s.Copy()
	view := s.View()
	a := &registry.Announcer{Store: view, Keys: testKeys, EntryKey: memberKey(addr(1)), Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	a.SetEntry(member(1))
	eventually(c, "announced", func() bool { return registry.UpToDate(a) })
	s.Restore(older)
	other := s.View()
	lease, err := other.GrantLease(context.Background(), time.Second)
	c.Assert(err, qt.IsNil)
	_, _, err = view.List(context.Background(), testKeys.WatchPrefix) // any call shows the era
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Check(other.RenewLease(context.Background(), lease), qt.IsNil)
}

// After the return of the store all agents write their entries again. In the ten seconds after it
// they must make at most twice the calls that they make after an outage in which their leases were
// lost, and spread them.
func TestAnnouncersStoreCallsAfterRestore(t *testing.T) {
	const agents, period, factor = 73, 10 * time.Second, 2
	c := qt.New(t)
	run := func(fault func(s *standin.RegistryStore, older standin.RegistryCopy)) (calls, busiest int) {
		s := standin.NewRegistryStore()
		s.SetEra(1)
		older := s.Copy()
		var views []*standin.RegistryStore
		for i := range agents {
			view := s.View()
			views = append(views, view)
			a := &registry.Announcer{Store: view, Keys: testKeys, EntryKey: memberKey(addr(i + 1)), Log: logr.Discard()}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				time.Sleep(time.Duration(i) * 2 * time.Second / agents) // agents have not all started at the same moment
				done <- a.Run(ctx)
			}()
			c.Cleanup(func() {
				cancel()
				c.Check(<-done, qt.IsNil)
			})
			a.SetEntry(member(i + 1))
		}
		for i := range agents {
			eventually(c, "announced", func() bool { return s.Has(memberKey(addr(i + 1))) })
		}
		count := func() (n int) {
			for _, v := range views {
				v.Set(func() { n += v.Calls })
			}
			return n
		}
		fault(s, older)
		first, last := count(), count()
		for end := time.Now().Add(period); time.Now().Before(end); {
			time.Sleep(time.Second)
			now := count()
			busiest, last = max(busiest, now-last), now
		}
		return last - first, busiest
	}
	var afterOutage, afterRestore, busiest int
	var wg sync.WaitGroup
	wg.Go(func() { afterOutage, _ = run(func(s *standin.RegistryStore, _ standin.RegistryCopy) { s.Revoke() }) })
	wg.Go(func() {
		afterRestore, busiest = run(func(s *standin.RegistryStore, older standin.RegistryCopy) { s.Restore(older) })
	})
	wg.Wait()
	t.Logf("%d calls after an outage, %d after a restore, at most %d in a second", afterOutage, afterRestore, busiest)
	c.Check(afterRestore <= factor*afterOutage, qt.IsTrue, qt.Commentf("%d calls, %d after an outage", afterRestore, afterOutage))
	c.Check(busiest <= 4*agents, qt.IsTrue, qt.Commentf("%d calls in a second", busiest))
}

// oldBuildNetwork carries messages to a reader that does not know eras: its revisions are the
// store's numbers, and it has no updates for an agent that is further by them.
type oldBuildNetwork struct{ asked chan wire.RegistryRequest }

// Exchange implements link.Exchanger.
func (n oldBuildNetwork) Exchange(ctx context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	select {
	case n.asked <- req:
	default:
	}
	select {
	case <-time.After(time.Duration(req.WaitMS) * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return (&wire.RegistryReply{Revision: 7, Config: 7}).MarshalMsg(nil)
}

// While agents are upgraded one after the other, an agent that follows a reader of a build without
// eras must still get each configuration in time.
func TestFollowerReaderWithoutEras(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.SetEra(3)
	reader := member(1)
	reader.Domain = "mid-a"
	b, err := reader.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	s.Put(memberKey(reader.Addr), b)
	s.Put(testKeys.Config, []byte("1"))
	network := oldBuildNetwork{make(chan wire.RegistryRequest, 100)}
	var mu sync.Mutex
	config := ""
	f := &registry.Follower{
		Store: s.View(), Keys: testKeys, EntryKey: memberKey(addr(2)), ID: 2, Domain: "mid-a", Exchanger: network, Log: logr.Discard(),
		ConfigVersion: configVersion, OnMembers: func() {}, OnEntryMissing: func() {},
		OnConfig: func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			config = string(b)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	defer func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	}()
	for i := 1; i <= 4; i++ {
		s.Put(testKeys.Config, []byte(strconv.Itoa(i)))
		began := time.Now()
		eventually(c, "configuration in force", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return config == strconv.Itoa(i)
		})
		c.Check(time.Since(began) < configDeadline, qt.IsTrue, qt.Commentf("%d: %s", i, time.Since(began)))
		time.Sleep(registry.WatchWait)
	}
	c.Check(len(network.asked) > 0, qt.IsTrue)
}
