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
	slotKeySize = 2                   // bytes of the digest in a slot's key, for 65536 slots
	digestSize  = 16                  // bytes
	maxSlotSize = kv.MaxValueSize / 2 // bytes; a claim that would exceed it is refused, to leave room for the outcomes of the claims in the slot
)

// keyDigest returns a digest that identifies an idempotency key of a service, so that the store does not hold the key itself.
func keyDigest(service, key string) []byte {
	hash := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(service)))
	hash.Write(length[:])
	hash.Write([]byte(service))
	hash.Write([]byte(key))
	return hash.Sum(nil)[:digestSize]
}

// slotKey returns the store key of the slot for a digest.
func slotKey(digest []byte) string {
	return slotPrefix + hex.EncodeToString(digest[:slotKeySize])
}

// findClaim returns the first claim that matches, or nil.
func findClaim(s wire.ClaimSlot, match func(wire.Claim) bool) *wire.Claim {
	for i := range s.Claims {
		if match(s.Claims[i]) {
			return &s.Claims[i]
		}
	}
	return nil
}

// replaceClaim returns a copy of a slot in which the claim with the given ID is replaced, or removed if replacement is nil.
func replaceClaim(s wire.ClaimSlot, id wire.ClaimID, replacement *wire.Claim) wire.ClaimSlot {
	out := wire.ClaimSlot{Claims: make([]wire.Claim, 0, len(s.Claims))}
	for _, claim := range s.Claims {
		switch {
		case claim.ID != id:
			out.Claims = append(out.Claims, claim)
		case replacement != nil:
			out.Claims = append(out.Claims, *replacement)
		}
	}
	return out
}
