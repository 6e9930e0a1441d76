package roster

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

// digest sums up the members that are not dead; suspicions are left out because they pass.
type digest struct{ buckets [bucketCount]uint64 }

// toggle adds a member that is absent or removes one that is present.
func (d *digest) toggle(m *wire.Member) { d.buckets[bucketOf(m.ID)] ^= hash(m) }

// sum returns the digest of all buckets.
func (d *digest) sum() uint64 {
	var s uint64
	for _, b := range d.buckets {
		s ^= b
	}
	return s
}

func bucketOf(id uint64) uint64 { return id % bucketCount }

func hash(m *wire.Member) uint64 {
	state := m.State
	if state == wire.StateSuspect {
		state = wire.StateAlive
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], m.ID)
	binary.LittleEndian.PutUint32(b[8:], m.Incarnation)
	b[12] = byte(wire.NewMark(state, m.Ready))
	return xxh3.Hash(b[:])
}
