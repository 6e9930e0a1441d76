package roster

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

// digest summarizes the members that are not dead; a suspect counts as alive because suspicions are temporary.
type digest struct{ buckets [bucketCount]uint64 }

// toggle adds a member that is not in the digest, or removes one that is.
func (d *digest) toggle(m *wire.Member) { d.buckets[bucketOf(m.ID)] ^= memberHash(m) }

// sum returns one digest over all buckets.
func (d *digest) sum() uint64 {
	var s uint64
	for _, b := range d.buckets {
		s ^= b
	}
	return s
}

func bucketOf(id uint64) uint64 { return id % bucketCount }

func memberHash(m *wire.Member) uint64 {
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
