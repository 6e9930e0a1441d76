package deposit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	slotPrefix  = "deposit/"
	slotBytes   = 2                   // of the digest that name the slot: 65536 slots
	digestSize  = 16                  // bytes
	maxSlotSize = kv.MaxValueSize / 2 // leaves room for the outcomes of the claims in it
)

// digest names an idempotency key of a service without showing it in the store.
func digest(service, key string) []byte {
	h := sha256.New()
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(service)))
	h.Write(n[:])
	h.Write([]byte(service))
	h.Write([]byte(key))
	return h.Sum(nil)[:digestSize]
}

// slotKey returns the store's key of the slot that holds a digest.
func slotKey(digest []byte) string {
	return slotPrefix + hex.EncodeToString(digest[:slotBytes])
}

// find returns the first claim that matches, or nil.
func find(s wire.ClaimSlot, match func(wire.Claim) bool) *wire.Claim {
	for i := range s.Claims {
		if match(s.Claims[i]) {
			return &s.Claims[i]
		}
	}
	return nil
}

// replace returns a copy of a slot in which claim id is replaced by x, or left out when x is nil.
func replace(s wire.ClaimSlot, id wire.ClaimID, x *wire.Claim) wire.ClaimSlot {
	out := wire.ClaimSlot{Claims: make([]wire.Claim, 0, len(s.Claims))}
	for _, old := range s.Claims {
		switch {
		case old.ID != id:
			out.Claims = append(out.Claims, old)
		case x != nil:
			out.Claims = append(out.Claims, *x)
		}
	}
	return out
}
