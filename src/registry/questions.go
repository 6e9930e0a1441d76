package registry

import (
	"context"
	"errors"
	"math"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// ask runs a question beside the watch; beyond questionsMax at once it is dropped, and asked again at a later tick.
func (f *Follower) ask(question func()) bool {
	select {
	case f.asks <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-f.asks }()
		question()
	}()
	return true
}

// confirm asks a member whose entry has lapsed whether it lives; another one at its address says that it does not.
func (f *Follower) confirm(m wire.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, err := f.exchange(ctx, m, wire.RegistryRequest{Config: f.revision(), After: math.MaxUint64})
	f.Log.Info("lapsed member asked", "member", m.ID, "addr", m.Addr.String(), "alive", err == nil, "reason", "its entry lapsed")
	f.step(MemberProbed{Member: m.ID, Alive: err == nil || errors.Is(err, problem.Busy)})
}

func (f *Follower) askPeer(m wire.Member, have uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout+f.MaxTransferTime)
	defer cancel()
	r, err := f.exchange(ctx, m, wire.RegistryRequest{Config: have})
	if err != nil {
		f.Log.V(1).Info("peer did not answer", "member", m.ID, "reason", err.Error())
		return
	}
	f.step(PeerReplied{Reply: r})
}

func (f *Follower) exchange(ctx context.Context, m wire.Member, req wire.RegistryRequest) (wire.RegistryReply, error) {
	var r wire.RegistryReply
	payload, err := req.MarshalMsg(nil)
	if err != nil {
		return r, err
	}
	b, err := f.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindRegistry, payload)
	if err != nil {
		return r, err
	}
	if _, err = r.UnmarshalMsg(b); err != nil || len(r.Value) == 0 {
		return r, err
	}
	r.Value, err = pack.Unpack(r.Value)
	return r, err
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ConfigRevision()
}
