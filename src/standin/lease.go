package standin

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// grant is the lease of one key as the store holds it.
type grant struct {
	holder string
	token  uint64
	until  time.Time
}

// Grant implements kv.Store.
func (k *Keyspace) Grant(ctx context.Context, key, holder string, ttl time.Duration) (kv.Lease, error) {
	l := kv.Lease{Key: key, Holder: holder, TTL: ttl}
	err := k.write(ctx, func(now time.Time) error {
		g, held := k.lease(key, now)
		if held && g.holder != holder {
			return problem.New(problem.Conflict, key, "the lease is held by "+g.holder, "wait until it lapses")
		}
		k.revision++
		l.Token = k.revision
		k.leases[key] = grant{holder: holder, token: l.Token, until: now.Add(ttl)}
		return nil
	})
	return l, err
}

// Renew implements kv.Store.
func (k *Keyspace) Renew(ctx context.Context, l kv.Lease) error {
	return k.write(ctx, func(now time.Time) error {
		g, held := k.lease(l.Key, now)
		if !held || g.token != l.Token {
			return problem.New(problem.Conflict, l.Key, "the lease has lapsed", "grant it again")
		}
		g.until = now.Add(l.TTL)
		k.leases[l.Key] = g
		return nil
	})
}

// Release implements kv.Store.
func (k *Keyspace) Release(ctx context.Context, l kv.Lease) error {
	return k.write(ctx, func(time.Time) error {
		if k.leases[l.Key].token == l.Token {
			delete(k.leases, l.Key)
		}
		return nil
	})
}

// lease returns the lease of a key and whether it still holds; mu is held.
func (k *Keyspace) lease(key string, now time.Time) (grant, bool) {
	g, ok := k.leases[key]
	return g, ok && now.Before(g.until) && !k.faults.LapseLeases
}
