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
// revisions are given out again.
func (k *Keyspace) Restore(c KeyspaceCopy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setup()
	k.entries, k.leases, k.revision = maps.Clone(c.entries), maps.Clone(c.leases), c.revision
	k.wake()
}
