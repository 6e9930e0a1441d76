package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// memoryStore is a store in memory that does not fail.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision uint64
	calls    int
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]kv.Entry{}} }

func (s *memoryStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	e, ok := s.entries[key]
	if !ok {
		return e, problem.New(problem.NotFound, key, "absent", "")
	}
	return e, nil
}

func (s *memoryStore) Swap(_ context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.entries[key].Revision != expect {
		return 0, problem.New(problem.Conflict, key, fmt.Sprintf("at revision %d", s.entries[key].Revision), "")
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.entries[key].Revision != expect {
		return problem.New(problem.Conflict, key, "changed", "")
	}
	delete(s.entries, key)
	return nil
}

func (s *memoryStore) Grant(context.Context, string, string, time.Duration) (kv.Lease, error) {
	return kv.Lease{}, nil
}
func (s *memoryStore) Renew(context.Context, kv.Lease) error   { return nil }
func (s *memoryStore) Release(context.Context, kv.Lease) error { return nil }
func (s *memoryStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (kv.Entry, error) {
	return s.Get(ctx, key)
}

// hookStore calls hooks before swaps and deletions, and after swaps.
type hookStore struct {
	kv.Store
	before func(op, key string) error // an error makes the call fail before it is carried out
	after  func(op, key string) error // an error replaces the answer of a call that was carried out
}

func (s *hookStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if err := s.hook(s.before, "swap", key); err != nil {
		return 0, err
	}
	revision, err := s.Store.Swap(ctx, key, expect, value)
	if lost := s.hook(s.after, "swap", key); lost != nil {
		return 0, lost
	}
	return revision, err
}

func (s *hookStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.hook(s.before, "delete", key); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, expect)
}

func (s *hookStore) hook(f func(op, key string) error, op, key string) error {
	if f == nil {
		return nil
	}
	return f(op, key)
}

// runOnceStore runs action once: before a read of key (op "before get"), after it ("after get") or before its deletion ("before delete"); deletions do not call the hooks of hookStore.
type runOnceStore struct {
	hookStore
	op, key string
	action  func()
}

func (s *runOnceStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.run("before get", key)
	e, err := s.Store.Get(ctx, key)
	s.run("after get", key)
	return e, err
}

func (s *runOnceStore) Delete(ctx context.Context, key string, expect uint64) error {
	s.run("before delete", key)
	return s.Store.Delete(ctx, key, expect)
}

func (s *runOnceStore) run(op, key string) {
	if action := s.action; op == s.op && key == s.key && action != nil {
		s.action = nil
		action()
	}
}
