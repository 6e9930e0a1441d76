package deposit

import (
	"container/list"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Bounds of the claims that a holder remembers. The oldest are forgotten first: a copy from which a
// store comes back is
// some seconds to hours old, and claims that are older than the copy are in it.
const (
	maxRemembered     = 1 << 16
	maxRememberedSize = 32 << 20 // bytes, encoded
)

// rememberedClaim is a claim of this holder that a restored store may lack, as it should be in the store.
type rememberedClaim struct {
	claim    wire.Claim // its Era is that of the last write known to have taken effect
	sentAt   time.Time  // a time before that write took effect
	ackAt    time.Time  // when that write was known to have taken effect
	foundEra uint64     // highest era in which the store is known to hold the claim, or need not hold it
	size     int
}

// memory holds a holder's own claims, ordered by ackAt.
type memory struct {
	byDigest map[string]*list.Element
	order    list.List // of *rememberedClaim, latest first
	size     int
}

// get returns the claim remembered for a digest, or nil.
func (m *memory) get(digest []byte) *rememberedClaim {
	if e := m.byDigest[string(digest)]; e != nil {
		r, _ := e.Value.(*rememberedClaim)
		return r
	}
	return nil
}

// getOwn returns the claim remembered for a digest if it has the given ID, or nil.
func (m *memory) getOwn(digest []byte, id wire.ClaimID) *rememberedClaim {
	if r := m.get(digest); r != nil && r.claim.ID == id {
		return r
	}
	return nil
}

// put remembers a claim whose write took effect, and forgets what exceeds the bounds or has expired.
func (m *memory) put(r *rememberedClaim, isExpired func(wire.Claim) bool) {
	m.remove(r.claim.Digest)
	if m.byDigest == nil {
		m.byDigest = map[string]*list.Element{}
	}
	r.size = r.claim.Msgsize()
	m.size += r.size
	m.byDigest[string(r.claim.Digest)] = m.order.PushFront(r)
	for m.order.Len() > 1 {
		oldest, _ := m.order.Back().Value.(*rememberedClaim)
		if m.order.Len() <= maxRemembered && m.size <= maxRememberedSize && !isExpired(oldest.claim) {
			return
		}
		m.remove(oldest.claim.Digest)
	}
}

// remove forgets the claim of a digest.
func (m *memory) remove(digest []byte) {
	e := m.byDigest[string(digest)]
	if e == nil {
		return
	}
	r, _ := m.order.Remove(e).(*rememberedClaim)
	m.size -= r.size
	delete(m.byDigest, string(digest))
}

// nextUnfound returns the latest claim of which it is not known whether the store holds it in an
// era, or nil.
func (m *memory) nextUnfound(era uint64) *rememberedClaim {
	for e := m.order.Front(); e != nil; e = e.Next() {
		if r, _ := e.Value.(*rememberedClaim); r.foundEra < era {
			return r
		}
	}
	return nil
}

// setFound records that the store holds r, unchanged since its last write, in an era. The store's
// copy then was taken after
// that write, so it holds all claims last written before it in the same era of the store.
func (m *memory) setFound(r *rememberedClaim, era uint64) {
	r.foundEra = era
	for e := m.order.Front(); e != nil; e = e.Next() {
		if other, _ := e.Value.(*rememberedClaim); other.claim.Era == r.claim.Era && other.ackAt.Before(r.sentAt) {
			other.foundEra = era
		}
	}
}
