package registry

import (
	"context"
	"errors"
	"math"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// startQuery runs query in the background and reports whether it was started. At most maxQueries run at once; a later tick repeats a query that was not started.
func (f *Follower) startQuery(query func()) bool {
	select {
	case f.querySlots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-f.querySlots }()
		query()
	}()
	return true
}

// OfferPeer names an agent that has dialled this one. It does not block.
func (f *Follower) OfferPeer(p link.Peer) {
	f.init()
	f.step(PeerSeen{Member: wire.Member{ID: p.ID, Addr: p.Addr}})
}

// probeMember checks whether a member whose entry is missing answers over its link. A busy member is alive; if another member answers at its address, the member is dead.
func (f *Follower) probeMember(m wire.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	config, version := f.config()
	_, err := f.exchange(ctx, m, wire.RegistryRequest{Config: config, ConfigVersion: version, After: math.MaxUint64}, 0) // no entries in the reply
	f.Log.Info("probed member whose entry is missing", "member", m.ID, "addr", m.Addr.String(), "alive", err == nil, "reason", "entry missing from the store")
	f.step(MemberProbed{MemberID: m.ID, Alive: err == nil || errors.Is(err, problem.Busy)})
}

// queryPeer requests a peer's newer configuration, and its members or, with start, its tombstones.
func (f *Follower) queryPeer(m wire.Member, start bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout+f.MaxTransferTime)
	defer cancel()
	req := wire.RegistryRequest{Start: start}
	req.Config, req.ConfigVersion = f.config()
	if start {
		req.After = math.MaxUint64 // no entries in the reply
	}
	r, err := f.exchange(ctx, m, req, 0)
	if err == nil {
		f.step(PeerReplied{Reply: r})
	} else {
		f.Log.V(1).Info("query to peer failed", "member", m.ID, "reason", err.Error())
	}
	if start {
		f.step(StartQueryEnded{})
	}
}

// send sends a registry request to a member and returns the reply with its configuration still encoded.
func (f *Follower) send(ctx context.Context, m wire.Member, req wire.RegistryRequest) (wire.RegistryReply, error) {
	var r wire.RegistryReply
	payload, err := req.MarshalMsg(nil)
	if err != nil {
		return r, err
	}
	b, err := f.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindRegistry, payload)
	if err != nil {
		return r, err
	}
	if _, err = r.UnmarshalMsg(b); err == nil && (r.Source != 0 || r.Digest != 0) {
		f.noteNewBuild(m.ID)
	}
	return r, err
}

// config returns the revision and the version of the newest known configuration.
func (f *Follower) config() (revision, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Config()
}
