package bench

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/problem"
)

// gatedStore is a daemon's way to the store, which a pause holds up and a cut closes.
type gatedStore struct {
	store platform.Store
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

// Get implements platform.Store.
func (s *gatedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.pass(ctx); err != nil {
		return platform.Entry{}, err
	}
	return s.store.Get(ctx, key)
}

// Swap implements platform.Store.
func (s *gatedStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if err := s.pass(ctx); err != nil {
		return 0, err
	}
	return s.store.Swap(ctx, key, expect, value)
}

// Delete implements platform.Store.
func (s *gatedStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Delete(ctx, key, expect)
}

// Grant implements platform.Store.
func (s *gatedStore) Grant(ctx context.Context, key, holder string, ttl time.Duration) (platform.Lease, error) {
	if err := s.pass(ctx); err != nil {
		return platform.Lease{}, err
	}
	return s.store.Grant(ctx, key, holder, ttl)
}

// Renew implements platform.Store.
func (s *gatedStore) Renew(ctx context.Context, l platform.Lease) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Renew(ctx, l)
}

// Release implements platform.Store.
func (s *gatedStore) Release(ctx context.Context, l platform.Lease) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	return s.store.Release(ctx, l)
}

// Watch implements platform.Store; its answer is held back while the daemon can't be reached.
func (s *gatedStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error) {
	if err := s.pass(ctx); err != nil {
		return platform.Entry{}, err
	}
	e, err := s.store.Watch(ctx, key, after, wait)
	if perr := s.pass(ctx); perr != nil {
		return platform.Entry{}, perr
	}
	return e, err
}
