package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

const digestSize = 16 // bytes of the SHA-256 that are kept

// Digest returns the hexadecimal 128-bit digest of a document as it is written.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestSize])
}

// digestBodies returns the digest over the names and digests of all documents.
func digestBodies(bodies map[string]wire.Body) uint64 {
	h := xxh3.New()
	for _, name := range slices.Sorted(maps.Keys(bodies)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(bodies[name].Digest)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
