package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

const digestSize = 16 // bytes of the SHA-256 that are used

// Digest returns the hexadecimal 128-bit digest of a document's bytes or of an encoded head.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestSize])
}

// digestBodies returns the 64-bit xxh3 over the names and digests of all documents.
func digestBodies(bodies map[string]wire.Body) uint64 {
	digests := make(map[string]string, len(bodies))
	for name, b := range bodies {
		digests[name] = b.Digest
	}
	return digestAll(digests)
}

// digestServices returns the same digest as digestBodies for the same documents.
func digestServices(services map[string]wire.HeadService) uint64 {
	digests := make(map[string]string, len(services))
	for name, s := range services {
		digests[name] = s.Digest
	}
	return digestAll(digests)
}

func digestAll(digests map[string]string) uint64 {
	h := xxh3.New()
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(digests[name])
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
