package standin

import (
	"maps"
)

// KeyspaceCopy is a copy of a Keyspace's data at one time.
type KeyspaceCopy struct {
	entries  map[string]versions
	leases   map[string]grant
	revision uint64
}

// Copy returns a copy of the data.
func (k *Keyspace) Copy() KeyspaceCopy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setup()
	return KeyspaceCopy{entries: maps.Clone(k.entries), leases: maps.Clone(k.leases), revision: k.revision}
}

// Restore brings the data back to an earlier copy, as a store does that comes back from one:
// its numbers are given out again, in a new era.
func (k *Keyspace) Restore(c KeyspaceCopy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setup()
	k.entries, k.leases, k.revision = maps.Clone(c.entries), maps.Clone(c.leases), c.revision
	k.era++
	k.wake()
}

// NamesEra implements kv.Eras.
func (k *Keyspace) NamesEra() bool { return true }

// Era returns the number of restores so far.
func (k *Keyspace) Era() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}
