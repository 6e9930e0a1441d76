package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	watchWait  = 30 * time.Second
	maxBackoff = 5 * time.Second
)

// Carrier keeps a daemon's configuration at the highest accepted version that it can learn of.
type Carrier struct {
	Self       func() wire.Member
	Store      platform.Store
	Exchanger  link.Exchanger
	View       func() *roster.View
	Profile    settings.Profile
	Baseline   bool                         // every daemon watches the store by itself
	OnSnapshot func(*ledger.Snapshot) error // takes a version into force; an error refuses it and the old one stays
	Now        func() time.Time             // time.Now when nil
	Rand       *rand.Rand                   // seeded from the system when nil
	Log        logr.Logger
	Metrics    *metrics.Set
	Record     *trace.Recorder

	mu      sync.Mutex
	current *ledger.Snapshot
	refused uint64
	why     string
	healthy bool
	since   time.Time
}

// Run carries configuration until ctx is over.
func (c *Carrier) Run(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		e, err := c.Store.Watch(ctx, ledger.HeadKey, revision, watchWait)
		c.storeAnswered(err == nil)
		if err == nil && e.Revision != revision {
			if err = c.take(ctx, e.Value); err == nil {
				revision = e.Revision
			}
		}
		if err != nil {
			c.sleep(ctx, maxBackoff/8)
		}
	}
	return nil
}

// Current returns the configuration in force, nil before the first.
func (c *Carrier) Current() *ledger.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Ahead tells that a peer has been seen to hold a higher version; it does not block.
func (c *Carrier) Ahead(_ link.Peer, _ uint64) {}

// ServeMessage answers a push or a pull of another daemon.
func (c *Carrier) ServeMessage(_ context.Context, _ link.Peer, _ link.MessageKind, _ []byte) ([]byte, error) {
	return nil, problem.New(problem.Busy, "relay", "not served yet", "ask another member")
}

// Refused returns the newest version that this daemon could not take and why, or 0.
func (c *Carrier) Refused() (version uint64, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused, c.why
}

// IsReader tells whether this daemon reads the store for its failure domain.
func (c *Carrier) IsReader() bool { return c.Baseline }

// StoreHealthy tells whether the store answered this daemon's last call, and since when that is so.
func (c *Carrier) StoreHealthy() (ok bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.healthy, c.since
}

func (c *Carrier) take(ctx context.Context, value []byte) error {
	h, err := ledger.DecodeHead(value)
	if err != nil {
		return err
	}
	u, err := ledger.Fetch(ctx, c.Store, c.Current(), h)
	if err != nil {
		return err
	}
	next, err := c.Current().Apply(u)
	if err == nil && next != c.Current() {
		err = c.OnSnapshot(next)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.refused, c.why = h.Version, err.Error()
		return nil
	}
	c.current, c.refused, c.why = next, 0, ""
	return nil
}

func (c *Carrier) storeAnswered(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok != c.healthy || c.since.IsZero() {
		c.healthy, c.since = ok, c.now()
	}
}

func (c *Carrier) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c *Carrier) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
