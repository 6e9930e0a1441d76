package bench

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// gatedStore is a daemon's way to the store, which a pause holds up and a cut closes.
type gatedStore struct {
	store kv.Store
	port  *port
}

// pass waits until the daemon may call the store, or refuses the call after the store's timeout.
func (s *gatedStore) pass(ctx context.Context) error {
	t := time.NewTimer(storeTimeout)
	defer t.Stop()
	f := s.port.fabric
	f.await(ctx.Done(), nil, func() bool { return s.port.paused })
	if f.await(ctx.Done(), t.C, func() bool { return f.cut != "" && s.port.domain == f.cut }) {
		return nil
	}
	return problem.New(problem.Unavailable, "store", "cut off", "wait until the cut has healed")
}

// Get implements kv.Store.
func (s *gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.pass(ctx); err != nil {
		return kv.Entry{}, err
	}
	return s.store.Get(ctx, key)
}

// Swap implements kv.Store.
func (s *gatedStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if err := s.pass(ctx); err != nil {
		return 0, err
	}
	return s.store.Swap(ctx, key, expect, value)
}

// Delete implements kv.Store.
func (s *gatedStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Delete(ctx, key, expect)
}

// Grant implements kv.Store.
func (s *gatedStore) Grant(ctx context.Context, key, holder string, ttl time.Duration) (kv.Lease, error) {
	if err := s.pass(ctx); err != nil {
		return kv.Lease{}, err
	}
	return s.store.Grant(ctx, key, holder, ttl)
}

// Renew implements kv.Store.
func (s *gatedStore) Renew(ctx context.Context, l kv.Lease) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Renew(ctx, l)
}

// Release implements kv.Store.
func (s *gatedStore) Release(ctx context.Context, l kv.Lease) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Release(ctx, l)
}

// Watch implements kv.Store; its answer is held back while the daemon can't be reached.
func (s *gatedStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Entry, error) {
	if err := s.pass(ctx); err != nil {
		return kv.Entry{}, err
	}
	e, err := s.store.Watch(ctx, key, after, wait)
	if perr := s.pass(ctx); perr != nil {
		return kv.Entry{}, perr
	}
	return e, err
}
