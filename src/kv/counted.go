package kv

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/problem"
)

// Counted counts the calls that pass to a Store.
type Counted struct {
	Store   Store
	Metrics *metrics.Set // nil for an own set

	once    sync.Once
	reads   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

var _ Store = (*Counted)(nil)

// Reads returns the number of gets and watches, a waiting watch once.
func (c *Counted) Reads() uint64 { return c.reads.Load() }

// Writes returns the number of swaps, deletes and lease calls.
func (c *Counted) Writes() uint64 { return c.writes.Load() }

// Watches returns the number of watches, which Reads counts too.
func (c *Counted) Watches() uint64 { return c.watches.Load() }

// Get implements Store.
func (c *Counted) Get(ctx context.Context, key string) (Entry, error) {
	c.count("get", &c.reads)
	e, err := c.Store.Get(ctx, key)
	return e, c.failed(err)
}

// Swap implements Store.
func (c *Counted) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	c.count("swap", &c.writes)
	revision, err := c.Store.Swap(ctx, key, expect, value)
	return revision, c.failed(err)
}

// Delete implements Store.
func (c *Counted) Delete(ctx context.Context, key string, expect uint64) error {
	c.count("delete", &c.writes)
	return c.failed(c.Store.Delete(ctx, key, expect))
}

// Grant implements Store.
func (c *Counted) Grant(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	c.count("grant", &c.writes)
	l, err := c.Store.Grant(ctx, key, holder, ttl)
	return l, c.failed(err)
}

// Renew implements Store.
func (c *Counted) Renew(ctx context.Context, l Lease) error {
	c.count("renew", &c.writes)
	return c.failed(c.Store.Renew(ctx, l))
}

// Release implements Store.
func (c *Counted) Release(ctx context.Context, l Lease) error {
	c.count("release", &c.writes)
	return c.failed(c.Store.Release(ctx, l))
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	c.watches.Add(1)
	c.count("watch", &c.reads)
	e, err := c.Store.Watch(ctx, key, after, wait)
	return e, c.failed(err)
}

func (c *Counted) count(call string, n *atomic.Uint64) {
	n.Add(1)
	c.set().GetOrCreateCounter(`yuccaport_platform_calls_total{call="` + call + `"}`).Inc()
}

// failed counts an error by its kind and returns it.
func (c *Counted) failed(err error) error {
	for kind, name := range errorNames {
		if err != nil && errors.Is(err, kind) {
			c.set().GetOrCreateCounter(`yuccaport_platform_errors_total{kind="` + name + `"}`).Inc()
		}
	}
	return err
}

var errorNames = map[problem.Kind]string{
	problem.NotFound:    "not_found",
	problem.Conflict:    "conflict",
	problem.Unavailable: "unavailable",
	problem.Unsure:      "unsure",
}

func (c *Counted) set() *metrics.Set {
	c.once.Do(func() {
		if c.Metrics == nil {
			c.Metrics = metrics.NewSet()
		}
	})
	return c.Metrics
}
