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

// inForce is the time in which a configuration is to be in force everywhere.
const inForce = 2 * time.Second

// mesh carries messages between followers in memory.
type mesh struct {
	mu        sync.Mutex
	followers map[uint64]*registry.Follower
	frozen    map[uint64]bool // answer nothing
	exchanged int
}

// Exchange implements link.Exchanger.
func (m *mesh) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	m.mu.Lock()
	f, frozen := m.followers[to.ID], m.frozen[to.ID]
	m.exchanged++
	m.mu.Unlock()
	switch {
	case f == nil:
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no link", "")
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.ServeMessage(ctx, to, kind, payload)
}

// configured is a follower with the configurations that it was given.
type configured struct {
	*registry.Follower
	suspended atomic.Int64 // how long its VM was
	mu        sync.Mutex
	last      string
}

func (f *configured) config() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// startFollowers runs followers of members 1 to n in one failure domain until the test ends; each has a view of the store of its own.
func startFollowers(c *qt.C, n int, s *standin.RegistryStore, change ...func(*registry.Follower)) (*mesh, []*configured, []*standin.RegistryStore) {
	m := &mesh{followers: map[uint64]*registry.Follower{}, frozen: map[uint64]bool{}}
	var all []*configured
	var views []*standin.RegistryStore
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := 1; i <= n; i++ {
		mb := member(i)
		mb.Domain = "mid-a"
		b, _ := mb.MarshalMsg(nil) // to memory, cannot fail
		s.Put(memberKey(mb.Addr), b)
	}
	for i := 1; i <= n; i++ {
		view := s.View()
		f := &configured{}
		f.Follower = &registry.Follower{
			Store: view, Keys: testKeys, EntryKey: memberKey(addr(i)), ID: uint64(i), Domain: "mid-a", Exchanger: m,
			OnMembers: func() {}, OnEntryMissing: func() {}, Log: logr.Discard(),
			SuspendedFor: func() time.Duration { return time.Duration(f.suspended.Swap(0)) },
			OnConfig: func(b []byte) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.last = string(b)
			},
		}
		for _, ch := range change {
			ch(f.Follower)
		}
		m.followers[uint64(i)] = f.Follower
		all, views = append(all, f), append(views, view)
	}
	for _, f := range all {
		wg.Go(func() { c.Check(f.Run(ctx), qt.IsNil) })
	}
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	s.Put(testKeys.Config, []byte("one"))
	for _, f := range all {
		eventually(c, "configured", func() bool { return f.config() == "one" })
	}
	return m, all, views
}

// Each disturbance of the reader of a failure domain leaves the others in force within the time allowed. The silent ones were found by CONFIG on hollins-valet trouble-1 and scale-2.
func TestFollowersOfADisturbedReader(t *testing.T) {
	tests := map[string]func(m *mesh, reader *standin.RegistryStore){
		"none":            func(*mesh, *standin.RegistryStore) {},
		"store is silent": func(_ *mesh, reader *standin.RegistryStore) { reader.Set(func() { reader.Hold = make(chan struct{}) }) },
		"store refuses it": func(_ *mesh, reader *standin.RegistryStore) {
			reader.Set(func() { reader.Fail = problem.New(problem.Unavailable, "", "", "") })
		},
		"watch goes silent": func(_ *mesh, reader *standin.RegistryStore) { reader.Set(func() { reader.Stuck = true }) },
		"reader is frozen":  func(m *mesh, _ *standin.RegistryStore) { m.mu.Lock(); m.frozen[1] = true; m.mu.Unlock() },
		"reader is gone":    func(m *mesh, _ *standin.RegistryStore) { m.mu.Lock(); delete(m.followers, 1); m.mu.Unlock() },
		"watch hears nothing": func(_ *mesh, reader *standin.RegistryStore) {
			reader.Set(func() { reader.Deaf = true })
			time.AfterFunc(inForce/4, func() { reader.Set(func() { reader.Deaf = false }) })
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			m, all, views := startFollowers(c, 4, s)
			disturb(m, views[0])
			s.Put(testKeys.Config, []byte("two"))
			began := time.Now()
			for _, f := range all[1:] {
				eventually(c, "in force", func() bool { return f.config() == "two" })
			}
			c.Check(time.Since(began) < inForce, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}

// One daemon of a failure domain reads the store; the others cost it nothing while all is calm.
func TestCallsToTheStoreAtRest(t *testing.T) {
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
	c.Check(total <= 4, qt.IsTrue, qt.Commentf("%d calls", total))
}

func none(wire.Member) bool { return false }

// Pattern: a series of versions in a fleet with thin links, whose reader dies. Its followers go on through the next reader; none of them reads the store, which tells each version whole.
func TestFollowersOnThinLinksTakeTheNextReader(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	m, all, views := startFollowers(c, 6, s, func(f *registry.Follower) { f.MaxTransferTime = time.Second })
	time.Sleep(2 * registry.WatchWait)
	calls := func() int {
		n := 0
		for _, v := range views[2:] {
			v.Set(func() { n += v.Calls })
		}
		return n
	}
	before := calls()
	m.mu.Lock()
	delete(m.followers, 1)
	m.mu.Unlock()
	for _, version := range []string{"two", "three", "four"} {
		s.Put(testKeys.Config, []byte(version))
		began := time.Now()
		for _, f := range all[1:] {
			eventually(c, "in force", func() bool { return f.config() == version })
		}
		c.Check(time.Since(began) < inForce, qt.IsTrue, qt.Commentf("%s: %s", version, time.Since(began)))
	}
	c.Check(calls(), qt.Equals, before)
}

func TestReadersHaveTheWidestLinks(t *testing.T) {
	var members []wire.Member
	for i, d := range []string{"mid-a", "mid-a", "mid-a", "mid-b", "mid-b"} {
		m := member(i + 1)
		m.Domain, m.LinkMbps = d, 5
		members = append(members, m)
	}
	members[1].LinkMbps, members[2].LinkMbps = 100, 100
	first := func(m wire.Member) bool { return m.ID == 2 }
	tests := map[string]struct {
		self   int
		domain string
		skip   func(wire.Member) bool
		want   uint64 // 0 for none
	}{
		"thin follows wide":               {1, "mid-a", none, 2},
		"wide follows the first wide":     {3, "mid-a", none, 2},
		"the reader":                      {2, "mid-a", none, 0},
		"the first one does not answer":   {1, "mid-a", first, 3},
		"then the next reads the store":   {3, "mid-a", first, 0},
		"domain with thin links only":     {4, "mid-b", none, 2},
		"a reader does not skip itself":   {2, "mid-a", first, 0},
		"thin domain, first without word": {5, "mid-b", first, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := registry.ReaderFor(members, memberKey(addr(tc.self)), tc.domain, testKeys, tc.skip)
			qt.Assert(t, m.ID, qt.Equals, tc.want)
		})
	}
}

func TestReaders(t *testing.T) {
	of := func(n int) []wire.Member {
		var out []wire.Member
		for i := 1; i <= n; i++ {
			m := member(i)
			m.Domain = "mid-a"
			out = append(out, m)
		}
		return out
	}
	leaving := of(3)
	leaving[0].State = wire.StateLeaving
	elsewhere := of(3)
	elsewhere[0].Domain = "mid-b"
	tests := map[string]struct {
		members []wire.Member
		self    int
		want    uint64 // 0 for none
	}{
		"nobody known":             {nil, 2, 0},
		"alone":                    {of(1), 1, 0},
		"the reader":               {of(3), 1, 0},
		"follows the reader":       {of(3), 3, 1},
		"not announced yet":        {of(3), 9, 1},
		"reader leaves":            {leaving, 3, 2},
		"another failure domain's": {elsewhere, 3, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m, _ := registry.ReaderFor(tc.members, memberKey(addr(tc.self)), "mid-a", testKeys, none)
			qt.Assert(t, m.ID, qt.Equals, tc.want)
		})
	}
	c := qt.New(t)
	served := map[uint64]int{}
	for i := 1; i <= 200; i++ {
		if m, ok := registry.ReaderFor(of(200), memberKey(addr(i)), "mid-a", testKeys, none); ok {
			served[m.ID]++
		}
	}
	c.Check(served, qt.HasLen, 1+200/registry.FollowersMax)
	for id, n := range served {
		c.Check(n < 64, qt.IsTrue, qt.Commentf("reader %d serves %d", id, n))
	}
}

// A VM that wakes up does not wait for the answer to a call that it made before.
func TestFollowerOfASuspendedVMReadsTheStoreAfresh(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	_, all, views := startFollowers(c, 1, s)
	views[0].Set(func() { views[0].Stuck = true })
	time.Sleep(2 * registry.WatchWait) // into a watch that never answers
	for i := range 3 {
		want := []string{"two", "three", "four"}[i]
		s.Put(testKeys.Config, []byte(want))
		began := time.Now()
		all[0].suspended.Store(int64(3 * time.Second))
		eventually(c, "in force", func() bool { return all[0].config() == want })
		c.Check(time.Since(began) < registry.WatchWait, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	}
}

// Pattern: the store drops its history, as readers see it: a watch that is cut, or one that stays silent. The others go on through the reader, since all of them at once would cost more than the wait.
func TestAReaderThatIsCutOnceSendsNobodyElseToTheStore(t *testing.T) {
	tests := map[string]func(reader *standin.RegistryStore){
		"cut":    func(reader *standin.RegistryStore) { reader.Cut = 1 },
		"silent": func(reader *standin.RegistryStore) { reader.Stuck = true },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := standin.NewRegistryStore()
			_, all, views := startFollowers(c, 8, s)
			time.Sleep(2 * registry.WatchWait) // all follow through the reader
			calls := func() int {
				n := 0
				for _, v := range views[1:] {
					v.Set(func() { n += v.Calls })
				}
				return n
			}
			before := calls()
			views[0].Set(func() { disturb(views[0]) })
			time.Sleep(3 * registry.WatchWait)
			views[0].Set(func() { views[0].Stuck = false })
			c.Assert(calls(), qt.Equals, before)
			s.Put(testKeys.Config, []byte("two"))
			began := time.Now()
			for _, f := range all {
				eventually(c, "in force", func() bool { return f.config() == "two" })
			}
			c.Assert(time.Since(began) < inForce, qt.IsTrue)
		})
	}
}

// An agent that starts learns from its first list what an earlier one has acknowledged, without a call for it.
func TestMarkersOfTheFirstList(t *testing.T) {
	c := qt.New(t)
	s := standin.NewRegistryStore()
	s.Put(testKeys.TombstonePrefix+"i-1", []byte("1700"))
	s.Put(testKeys.TombstonePrefix+"i-2", []byte("soon"))
	f := &registry.Follower{Keys: testKeys, EntryKey: memberKey(addr(1))}
	_, known := f.Tombstone("i-1")
	c.Assert(known, qt.IsFalse)
	_, all, _ := startFollowers(c, 1, s)
	until, known := all[0].Tombstone("i-1")
	c.Assert(known, qt.IsTrue)
	c.Assert(until, qt.Equals, time.UnixMilli(1700))
	_, known = all[0].Tombstone("i-2")
	c.Assert(known, qt.IsFalse, qt.Commentf("cannot be read: the store is asked, which tells why"))
	until, known = all[0].Tombstone("i-3")
	c.Assert(known, qt.IsTrue)
	c.Assert(until.IsZero(), qt.IsTrue)
}
