package registry

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// firstPart is the largest part of an encoded configuration in the first reply, which then is sent
	// before bulk data on its link even with some entries. Deltas usually fit into it.
	firstPart = 3 << 10
	// nextPart is the size of a further part: one frame of bulk data on a link with its head.
	nextPart     = 15 << 10
	maxTransfer  = 1 << 20 // bytes of an encoded configuration, the limit of wire.RegistryReply
	namedHolders = 3       // holders in a reply whose configuration has further parts
	maxHolders   = 64      // members remembered as holders of the newest configuration
)

// encodeConfig encodes the configuration in a reply, for an asker that reads parts as a delta where
// possible and only the part that it lacks.
func (f *Follower) encodeConfig(asker uint64, req wire.RegistryRequest, r *wire.RegistryReply) {
	if !req.Parts {
		r.Value, _, _ = f.history.encode(r.Value, 0)
		return
	}
	encoded, digest, base := f.history.encode(r.Value, req.Digest)
	if len(encoded) > math.MaxUint32 {
		return
	}
	r.Digest, r.Base, r.Size = digest, base, uint32(len(encoded))
	offset, size := 0, firstPart
	if req.Want == digest {
		offset, size = min(int(req.Offset), len(encoded)), nextPart
	}
	r.Value = encoded[offset:min(offset+size, len(encoded))]
	if len(r.Value) < len(encoded) {
		r.Holders = f.holdersFor(asker)
	}
}

// noteHolder remembers that a member has the newest configuration.
func (f *Follower) noteHolder(member, digest uint64) {
	if digest == 0 || digest != f.history.newest() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdersOf != digest {
		f.holdersOf, f.holders = digest, f.holders[:0]
	}
	if len(f.holders) < maxHolders && !slices.Contains(f.holders, member) {
		f.holders = append(f.holders, member)
	}
}

// holdersFor returns a few random members, without the asker, that have the newest configuration.
func (f *Follower) holdersFor(asker uint64) []uint64 {
	newest := f.history.newest()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdersOf != newest {
		return nil
	}
	out := slices.DeleteFunc(slices.Clone(f.holders), func(id uint64) bool { return id == asker })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), namedHolders)]
}

// exchange sends a registry request to a member and returns the reply with its configuration decoded.
// firstTimeout, if not 0, limits the time until the first reply; ctx limits the whole.
func (f *Follower) exchange(ctx context.Context, m wire.Member, req wire.RegistryRequest, firstTimeout time.Duration) (wire.RegistryReply, error) {
	req.Parts, req.Digest = true, f.history.newest()
	r, err := f.sendWithin(ctx, firstTimeout, m, req)
	if err != nil || len(r.Value) == 0 {
		return r, err
	}
	announced := time.Now()
	for retried := false; ; retried = true {
		if err = f.fetchRest(ctx, m, req, &r); err != nil {
			return r, err
		}
		size, isDelta := len(r.Value), r.Base != 0
		fetched := time.Now()
		if r.Value, err = f.decodeConfig(r); err == nil {
			f.noteReceipt(r, receipt{from: m.ID, bytes: size, delta: isDelta, transfer: fetched.Sub(announced), unpack: time.Since(fetched)})
			return r, nil
		}
		if retried || r.Digest == 0 {
			return r, err
		}
		f.Log.Info("configuration not usable", "member", m.ID, "delta", isDelta, "reason", err.Error(), "outcome", "whole configuration requested from this member alone")
		req.Digest, req.After, req.WaitMS = 0, math.MaxUint64, 0
		whole, err := f.send(ctx, m, req)
		if err != nil || len(whole.Value) == 0 {
			r.Value = nil
			return r, err
		}
		whole.Holders = nil // their parts may be encoded in another way, as by a later release
		replaceConfig(&r, whole)
	}
}

// replaceConfig replaces the configuration of a reply by that of a later one.
func replaceConfig(r *wire.RegistryReply, by wire.RegistryReply) {
	r.Config, r.ConfigVersion, r.Value = by.Config, by.ConfigVersion, by.Value
	r.Digest, r.Base, r.Size, r.Holders = by.Digest, by.Base, by.Size, by.Holders
}

// fetchRest requests the parts of a configuration that a reply lacks, from the member m that sent it
// and the holders that it names. If one of them has a newer configuration, that one is fetched instead.
func (f *Follower) fetchRest(ctx context.Context, m wire.Member, req wire.RegistryRequest, r *wire.RegistryReply) error {
	if r.Size > maxTransfer {
		return problem.New(problem.Protocol, m.Addr.String(), "configuration is too large", "run the same release on all agents")
	}
	req.After, req.WaitMS, req.Search, req.Start = math.MaxUint64, 0, false, false
	sources := f.holderMembers(m, r.Holders)
	for len(r.Value) < int(r.Size) {
		req.Want, req.Offset = r.Digest, uint32(len(r.Value))
		i := rand.IntN(len(sources))
		part, err := f.sendWithin(ctx, peerTimeout+f.MaxTransferTime/3, sources[i], req)
		switch {
		case err == nil && len(part.Value) > 0 && part.Digest == r.Digest && part.Base == r.Base && part.Size == r.Size:
			r.Value = append(r.Value, part.Value...)
		case err == nil && len(part.Value) > 0 && part.Size <= maxTransfer && isNewerConfig(part, *r):
			replaceConfig(r, part)
			m = sources[i]
			sources = f.holderMembers(m, r.Holders) // the others may not have it yet
		case sources[i].ID == m.ID:
			if err == nil {
				err = problem.New(problem.Unavailable, m.Addr.String(), "configuration is no longer there", "ask another member")
			}
			return err
		default:
			sources = slices.Delete(sources, i, i+1)
		}
	}
	return nil
}

// isNewerConfig reports whether the configuration of reply a is newer than that of b.
func isNewerConfig(a, b wire.RegistryReply) bool {
	if a.ConfigVersion > 0 && b.ConfigVersion > 0 {
		return a.ConfigVersion > b.ConfigVersion
	}
	return a.Config > b.Config
}

// holderMembers returns m and the known members among the holders that it has named.
func (f *Follower) holderMembers(m wire.Member, holders []uint64) []wire.Member {
	out := []wire.Member{m}
	if len(holders) == 0 {
		return out
	}
	for _, other := range f.Members() {
		if other.ID != m.ID && other.ID != f.ID && slices.Contains(holders, other.ID) {
			out = append(out, other)
		}
	}
	return out
}

// decodeConfig returns the configuration whose encoding is in a reply.
func (f *Follower) decodeConfig(r wire.RegistryReply) (value []byte, err error) {
	if r.Base == 0 {
		value, err = pack.Unpack(r.Value)
	} else {
		value, err = pack.Patch(f.history.value(r.Base), r.Value)
	}
	if err == nil && r.Digest != 0 && xxh3.Hash(value) != r.Digest {
		err = problem.New(problem.Protocol, "configuration", "digest does not match", "run the same release on all agents")
	}
	return value, err
}

// sendWithin is send with a timeout, 0 for none.
func (f *Follower) sendWithin(ctx context.Context, timeout time.Duration, m wire.Member, req wire.RegistryRequest) (wire.RegistryReply, error) {
	if timeout == 0 {
		return f.send(ctx, m, req)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.send(ctx, m, req)
}
