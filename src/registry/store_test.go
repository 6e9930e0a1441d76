package registry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// memoryStore is a Store in memory that can misbehave.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]Item
	leases   map[uint64]bool
	revision uint64
	last     uint64
	calls    int
	fail     error         // returned by every call that is not carried out
	lose     int           // commits that are carried out and not answered
	hold     chan struct{} // calls wait for it, nil for none
	stuck    bool          // watches never answer
	deaf     bool          // watches hear nothing, and answer with the newest revision
	of       *memoryStore  // whose data this view shows, nil for its own
	changed  chan struct{} // closed at the next change
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]Item{}, leases: map[uint64]bool{}, changed: make(chan struct{})}
}

// view returns the store as one daemon reaches it, with troubles of its own.
func (s *memoryStore) view() *memoryStore { return &memoryStore{of: s} }

// data returns the store that holds the data.
func (s *memoryStore) data() *memoryStore {
	if s.of != nil {
		return s.of
	}
	return s
}

// put writes a key as another client does.
func (s *memoryStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = Item{Key: key, Value: value, Revision: s.revision}
	s.tell()
}

func (s *memoryStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	hold, fail := s.hold, s.fail
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

func (s *memoryStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return nil, 0, err
	}
	s = s.data()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && !i.Deleted {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return nil, 0, err
	}
	over := time.After(wait)
	seen := s
	s = s.data()
	for {
		seen.mu.Lock()
		stuck, deaf := seen.stuck, seen.deaf
		seen.mu.Unlock()
		if stuck {
			<-ctx.Done()
			return nil, 0, problem.Wrap(problem.Unavailable, ctx.Err(), "store", "no answer", "")
		}
		s.mu.Lock()
		var out []Item
		for k, i := range s.items {
			if strings.HasPrefix(k, prefix) && i.Revision > after {
				out = append(out, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
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

func (s *memoryStore) Commit(ctx context.Context, c Change) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range c.Guards {
		i := s.items[g.Key]
		if (i.Deleted && g.Revision != 0) || (!i.Deleted && i.Revision != g.Revision) {
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
		s.items[w.Key] = Item{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	s.tell()
	if s.lose > 0 {
		s.lose--
		return 0, problem.New(problem.Unsure, "store", "answer lost", "")
	}
	return s.revision, nil
}

func (s *memoryStore) Grant(ctx context.Context, _ time.Duration) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = true
	return s.last, nil
}

func (s *memoryStore) Keep(ctx context.Context, lease uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[lease] {
		return problem.New(problem.NotFound, "lease", "ended", "")
	}
	return nil
}

func (s *memoryStore) End(ctx context.Context, lease uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, lease)
	return nil
}

// revoke takes all leases and keys away.
func (s *memoryStore) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = map[uint64]bool{}
	s.revision++
	for k, i := range s.items {
		i.Deleted, i.Revision = true, s.revision
		s.items[k] = i
	}
	s.tell()
}

func (s *memoryStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *memoryStore) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return ok && !i.Deleted
}
