package registry

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	peerAnnounceDelay    = 50 * time.Millisecond // time that the store has for an entry before peers are told
	peerAnnounceInterval = time.Second           // between two rounds while the store lacks the entry
	maxAnnouncedTo       = 48                    // members told in a round; in a larger fleet the others learn of it later
)

// PeerAnnouncer tells other members of this agent's entry while the store does not take it, so that
// the backend server is used at once after a start.
//
// Its exported fields are set before Run.
type PeerAnnouncer struct {
	Announcer *Announcer
	Follower  *Follower
}

// Run announces the entry until ctx is done. It always returns nil and must be called at most once.
func (p *PeerAnnouncer) Run(ctx context.Context) error {
	p.Announcer.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Announcer.unwritten:
		}
		clock.Sleep(ctx, peerAnnounceDelay)
		for ctx.Err() == nil {
			m, ok := p.Announcer.unwrittenEntry()
			if !ok {
				break
			}
			p.announce(ctx, m)
			clock.Sleep(ctx, peerAnnounceInterval)
		}
	}
}

// announce tells random members of an entry. It does not wait for their answers.
func (p *PeerAnnouncer) announce(ctx context.Context, m wire.Member) {
	f := p.Follower
	peers := slices.DeleteFunc(f.Members(), func(peer wire.Member) bool { return peer.Addr == m.Addr || peer.State != wire.StateAlive })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAnnouncedTo)]
	f.Log.Info("own entry announced to peers", "reason", "the store has not taken it", "peers", len(peers))
	req := wire.RegistryRequest{After: math.MaxUint64, Announced: []wire.RegistryEntry{{Key: f.EntryKey, Member: m, Version: m.Version}}}
	req.Config, req.ConfigVersion = f.config()
	payload, err := req.MarshalMsg(nil)
	if err != nil {
		return
	}
	for _, peer := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			// Any member at the address is told, since after a common restart all known member IDs
			// are old.
			_, _ = f.Exchanger.Exchange(ctx, link.Peer{Addr: peer.Addr}, link.KindRegistry, payload)
		}()
	}
}
