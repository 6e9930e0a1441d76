package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
)

// RegistryStore is a registry.Store in memory that can misbehave; its exported fields are changed by Set.
type RegistryStore struct {
	mu       sync.Mutex
	items    map[string]registry.Item
	leases   map[uint64]bool
	grants   map[uint64]leaseGrant
	keyLease map[string]uint64 // lease of each key that has one
	revision uint64
	era      uint64 // rises with each Restore
	eraSeen  uint64 // highest era that an answer of this view has shown
	last     uint64
	Calls    int
	Fail     error          // returned by every call that is not carried out
	Cut      int            // calls that fail at once and are not carried out
	Lose     int            // commits that are carried out and not answered
	Hold     chan struct{}  // calls wait for it, nil for none
	Stuck    bool           // watches never answer
	Deaf     bool           // watches hear nothing, and answer with the newest revision
	of       *RegistryStore // whose data this view shows, nil for its own
	changed  chan struct{}  // closed at the next change
}

// NewRegistryStore returns an empty store.
func NewRegistryStore() *RegistryStore {
	return &RegistryStore{
		items: map[string]registry.Item{}, leases: map[uint64]bool{}, grants: map[uint64]leaseGrant{}, keyLease: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// leaseGrant is the time for which a lease was granted and when it ends unless it is renewed.
type leaseGrant struct {
	ttl  time.Duration
	ends time.Time
}

// ExpireLeases ends the leases that have not been renewed in time, with their keys. Without a call
// of it, leases last until they are revoked.
func (s *RegistryStore) ExpireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease, g := range s.grants {
		if s.leases[lease] && now.After(g.ends) {
			s.endLease(lease)
		}
	}
}

// endLease ends a lease and removes its keys; s.mu is held.
func (s *RegistryStore) endLease(lease uint64) {
	delete(s.leases, lease)
	delete(s.grants, lease)
	removed := false
	for k, l := range s.keyLease {
		if l != lease {
			continue
		}
		delete(s.keyLease, k)
		if !removed {
			s.revision++
			removed = true
		}
		s.items[k] = registry.Item{Key: k, Revision: s.revision, Deleted: true}
	}
	if removed {
		s.tell()
	}
}

// loses tells whether the answer to a commit is lost; data is locked already.
func (s *RegistryStore) loses(data *RegistryStore) bool {
	if s != data {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	if s.Lose == 0 {
		return false
	}
	s.Lose--
	return true
}

// View returns the store as one daemon reaches it, with troubles of its own.
func (s *RegistryStore) View() *RegistryStore { return &RegistryStore{of: s} }

// data returns the store that holds the data.
func (s *RegistryStore) data() *RegistryStore {
	if s.of != nil {
		return s.of
	}
	return s
}

// Put writes a key as another client does.
func (s *RegistryStore) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = registry.Item{Key: key, Value: value, Revision: s.revision}
	s.tell()
}

func (s *RegistryStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.Calls++
	hold, fail := s.Hold, s.Fail
	if s.Cut > 0 && fail == nil {
		s.Cut--
		fail = problem.New(problem.Unavailable, "store", "connection cut", "call again")
	}
	s.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return problem.Wrap(problem.Unsure, ctx.Err(), "store", "no answer", "")
		}
	}
	return fail
}

// List implements registry.Store.
func (s *RegistryStore) List(ctx context.Context, prefix string) ([]registry.Item, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return nil, 0, err
	}
	defer s.answered()
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []registry.Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && !i.Deleted {
			out = append(out, s.inEra(i))
		}
	}
	slices.SortFunc(out, func(a, b registry.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, registry.JoinRevision(s.era, s.revision), nil
}

// inEra returns an item with its revision in the current era; s.mu is held.
func (s *RegistryStore) inEra(i registry.Item) registry.Item {
	i.Revision = registry.JoinRevision(s.era, i.Revision)
	return i
}

// answered records the era that an answer of this view has shown.
func (s *RegistryStore) answered() {
	data := s.data()
	data.mu.Lock()
	era := data.era
	data.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraSeen = max(s.eraSeen, era)
}

// Era implements registry.Store.
func (s *RegistryStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eraSeen
}

// RegistryCopy is a copy of a RegistryStore's data at one time.
type RegistryCopy struct {
	items    map[string]registry.Item
	leases   map[uint64]bool
	grants   map[uint64]leaseGrant
	keyLease map[string]uint64
	revision uint64
	last     uint64
}

// Copy returns a copy of the data.
func (s *RegistryStore) Copy() RegistryCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RegistryCopy{
		items: maps.Clone(s.items), leases: maps.Clone(s.leases), grants: maps.Clone(s.grants), keyLease: maps.Clone(s.keyLease), revision: s.revision, last: s.last,
	}
}

// Restore brings the data back to an earlier copy, as a store does that comes back from one: a new
// era begins, in which revisions and leases are given out again.
func (s *RegistryStore) Restore(c RegistryCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.leases, s.revision, s.last = maps.Clone(c.items), maps.Clone(c.leases), c.revision, c.last
	s.grants, s.keyLease = maps.Clone(c.grants), maps.Clone(c.keyLease)
	s.tell()
}

// SetEra sets the era, as of a store that has come back from copies before.
func (s *RegistryStore) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Watch implements registry.Store.
func (s *RegistryStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]registry.Item, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return nil, 0, err
	}
	defer s.answered()
	over := time.After(wait)
	seen := s
	s = s.data()
	era, after := registry.SplitRevision(after)
	for {
		seen.mu.Lock()
		stuck, deaf := seen.Stuck, seen.Deaf
		seen.mu.Unlock()
		if stuck {
			<-ctx.Done()
			return nil, 0, problem.Wrap(problem.Unavailable, ctx.Err(), "store", "no answer", "")
		}
		s.mu.Lock()
		var out []registry.Item
		for k, i := range s.items {
			if strings.HasPrefix(k, prefix) && i.Revision > after {
				out = append(out, s.inEra(i))
			}
		}
		gone := era != s.era || after > s.revision
		revision, changed := registry.JoinRevision(s.era, s.revision), s.changed
		s.mu.Unlock()
		if gone {
			return nil, 0, problem.New(registry.HistoryGone, "store", "no changes after this revision", "list again")
		}
		if len(out) > 0 && !deaf {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-over:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, problem.Wrap(problem.Unavailable, ctx.Err(), "store", "no answer", "")
		}
	}
}

// Commit implements registry.Store.
func (s *RegistryStore) Commit(ctx context.Context, c registry.Transaction) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	defer s.answered()
	seen := s
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range c.Preconditions {
		i := s.items[g.Key]
		_, want := registry.SplitRevision(g.Revision) // as on the wire: a revision of an earlier era may hold by chance
		if (i.Deleted && want != 0) || (!i.Deleted && i.Revision != want) {
			return 0, problem.New(problem.Conflict, g.Key, "condition", "")
		}
	}
	for _, w := range c.Writes {
		if w.Lease != 0 && !s.leases[w.Lease] {
			return 0, problem.New(problem.NotFound, "lease", "ended", "")
		}
	}
	s.revision++
	for _, w := range c.Writes {
		s.items[w.Key] = registry.Item{Key: w.Key, Value: w.Value, Revision: s.revision}
		delete(s.keyLease, w.Key)
		if w.Lease != 0 {
			s.keyLease[w.Key] = w.Lease
		}
	}
	s.tell()
	if seen.loses(s) {
		return 0, problem.New(problem.Unsure, "store", "answer lost", "")
	}
	return registry.JoinRevision(s.era, s.revision), nil
}

// GrantLease implements registry.Store.
func (s *RegistryStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	defer s.answered()
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = true
	s.grants[s.last] = leaseGrant{ttl, time.Now().Add(ttl)}
	return s.last, nil
}

// RenewLease implements registry.Store.
func (s *RegistryStore) RenewLease(ctx context.Context, lease uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.answered()
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[lease] {
		return problem.New(problem.NotFound, "lease", "ended", "")
	}
	g := s.grants[lease]
	s.grants[lease] = leaseGrant{g.ttl, time.Now().Add(g.ttl)}
	return nil
}

// RevokeLease implements registry.Store.
func (s *RegistryStore) RevokeLease(ctx context.Context, lease uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.answered()
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(lease)
	return nil
}

// Revoke takes all leases and keys away.
func (s *RegistryStore) Revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases, s.grants, s.keyLease = map[uint64]bool{}, map[uint64]leaseGrant{}, map[string]uint64{}
	s.revision++
	for k, i := range s.items {
		i.Deleted, i.Revision = true, s.revision
		s.items[k] = i
	}
	s.tell()
}

// Set changes the troubles of the store.
func (s *RegistryStore) Set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *RegistryStore) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Has tells whether a key exists.
func (s *RegistryStore) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return ok && !i.Deleted
}
