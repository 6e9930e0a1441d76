package registry

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/pack"
)

// heldConfigs is the number of configurations that an agent keeps to send and to read deltas: the one
// in force and two before it, since a peer may have missed one. Each takes its own size in memory.
const heldConfigs = 3

// heldConfig is a configuration as the operator wrote it.
type heldConfig struct {
	digest uint64
	value  []byte
}

// configHistory holds the newest configurations, and their encodings for peers. Its zero value is
// empty; its methods may be called concurrently.
type configHistory struct {
	mu      sync.Mutex
	held    []heldConfig      // the newest last
	encoded map[uint64][]byte // of the newest, by the digest of the base of the delta, 0 for none
}

// add adds the newest configuration.
func (h *configHistory) add(value []byte) {
	digest := xxh3.Hash(value)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = slices.DeleteFunc(h.held, func(c heldConfig) bool { return c.digest == digest })
	h.held = append(h.held, heldConfig{digest, value})
	if len(h.held) > heldConfigs {
		h.held = slices.Delete(h.held, 0, 1)
	}
	h.encoded = map[uint64][]byte{}
}

// newest returns the digest of the newest configuration, 0 for none.
func (h *configHistory) newest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		return 0
	}
	return h.held[len(h.held)-1].digest
}

// value returns the configuration with a digest, nil if it is not held.
func (h *configHistory) value(digest uint64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.find(digest)
}

// find is value for a caller that holds h.mu.
func (h *configHistory) find(digest uint64) []byte {
	for _, c := range h.held {
		if c.digest == digest {
			return c.value
		}
	}
	return nil
}

// encode returns the encoding of a configuration and its digest: a delta from the one with the digest
// base if that is held, otherwise, with actualBase 0, the whole. Encodings of the newest
// configuration are kept, so that each is computed once for all peers.
func (h *configHistory) encode(value []byte, base uint64) (encoded []byte, digest, actualBase uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isNewest := false
	if n := len(h.held); n > 0 && len(value) > 0 && len(h.held[n-1].value) == len(value) && &h.held[n-1].value[0] == &value[0] {
		isNewest, digest = true, h.held[n-1].digest
	} else {
		digest = xxh3.Hash(value)
	}
	baseValue := h.find(base)
	if baseValue == nil {
		base = 0
	}
	if b, ok := h.encoded[base]; ok && isNewest {
		return b, digest, base
	}
	if base != 0 {
		encoded = pack.Delta(baseValue, value)
	}
	if encoded == nil {
		base = 0
		if b, ok := h.encoded[0]; ok && isNewest {
			return b, digest, 0
		}
		encoded = pack.Pack(value)
	}
	if isNewest {
		h.encoded[base] = encoded
	}
	return encoded, digest, base
}
