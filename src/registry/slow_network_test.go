package registry_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	simLatency  = 400 * time.Microsecond // of a message between agents, one way
	storeDelay  = 3 * time.Millisecond   // of a call to the store
	urgentBytes = 4 << 10                // a message up to this size passes bulk data, as in package link
)

// simLink is one direction of an agent's network connection.
type simLink struct {
	mu        sync.Mutex
	busyUntil time.Time
	bytes     float64
}

// reserve returns when n bytes have passed the link.
func (l *simLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.bytes += float64(n)
	took := time.Duration(float64(n) / linkRate * float64(time.Second))
	if n <= urgentBytes {
		chunk := time.Duration(urgentBytes / linkRate * float64(time.Second))
		return now.Add(took + min(chunk, max(0, l.busyUntil.Sub(now))))
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(took)
	return l.busyUntil
}

// takeBytes returns the bytes since its last call.
func (l *simLink) takeBytes() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.bytes
	l.bytes = 0
	return n
}

// slowNetwork carries messages between followers over links of linkRate.
type slowNetwork struct {
	followers []*registry.Follower
	up, down  []simLink
}

func newSlowNetwork(agents int) *slowNetwork {
	return &slowNetwork{up: make([]simLink, agents), down: make([]simLink, agents)}
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// transfer passes n bytes from one agent to another.
func (s *slowNetwork) transfer(ctx context.Context, from, to, n int) error {
	end := s.up[from].reserve(n)
	if down := s.down[to].reserve(n); down.After(end) {
		end = down
	}
	return sleepUntil(ctx, end.Add(simLatency))
}

func sleepUntil(ctx context.Context, end time.Time) error {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return problem.Wrap(problem.Unavailable, ctx.Err(), "link", "no answer", "")
	case <-t.C:
		return nil
	}
}

func (s *slowNetwork) resetBytes() {
	for i := range s.up {
		s.up[i].takeBytes()
		s.down[i].takeBytes()
	}
}

func (s *slowNetwork) maxBytes() (n float64) {
	for i := range s.up {
		n = max(n, s.up[i].takeBytes(), s.down[i].takeBytes())
	}
	return n
}

// exchanger is the network as one agent sees it.
type exchanger struct {
	*slowNetwork
	self int
}

// Exchange implements link.Exchanger.
func (e exchanger) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	peer := int(to.ID) - 1
	if err := e.transfer(ctx, e.self, peer, len(payload)+40); err != nil {
		return nil, err
	}
	answer, err := e.followers[peer].ServeMessage(context.Background(), link.Peer{ID: uint64(e.self + 1), Addr: simAddr(e.self)}, kind, payload)
	if err != nil {
		return nil, err
	}
	return answer, e.transfer(ctx, peer, e.self, len(answer)+40)
}

// slowStore is the store behind an agent's link.
type slowStore struct {
	registry.Store
	network *slowNetwork
	self    int
}

func (s slowStore) receive(ctx context.Context, items []registry.Item) error {
	n := 0
	for _, i := range items {
		n += len(i.Key) + len(i.Value)
	}
	return sleepUntil(ctx, s.network.down[s.self].reserve(n).Add(storeDelay))
}

// List implements registry.Store.
func (s slowStore) List(ctx context.Context, prefix string) ([]registry.Item, uint64, error) {
	items, revision, err := s.Store.List(ctx, prefix)
	if e := s.receive(ctx, items); err == nil {
		err = e
	}
	return items, revision, err
}

// Watch implements registry.Store.
func (s slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]registry.Item, uint64, error) {
	items, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if e := s.receive(ctx, items); err == nil {
		err = e
	}
	return items, revision, err
}
