package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:4096 maps:0

// RegistryRequest asks a peer for what has changed in the registry.
type RegistryRequest struct {
	Config uint64 `msg:"config"`  // revision of the asker's configuration, 0 for none
	After  uint64 `msg:"after"`   // store revision up to which the asker knows the members, 0 for all
	WaitMS int64  `msg:"wait_ms"` // longest wait for a change, 0 for none

	ConfigVersion uint64 `msg:"config_version"` // version of the asker's configuration, 0 if unknown; goes before Config
	Start         bool   `msg:"start"`          // the asker has just started and wants all tombstones

	// Older builds ignore the fields below and answer with the whole configuration.
	Parts  bool   `msg:"parts,omitempty"`  // the asker reads deltas, and configurations in parts
	Digest uint64 `msg:"digest,omitempty"` // of the asker's configuration, 0 for none; a delta may be from it
	Want   uint64 `msg:"want,omitempty"`   // digest of the configuration of which the asker has the first Offset bytes, 0 for none
	Offset uint32 `msg:"offset,omitempty"` // in the encoded configuration
	Search bool   `msg:"search,omitempty"` // the asker is cut off from the store, and waits for a newer configuration or for a Source

	Announced []RegistryEntry `msg:"announced,omitempty,limit=1"` // the asker's own entry, which the store may lack
}

// RegistryReply is what a daemon knows of the registry.
type RegistryReply struct {
	Lost     bool            `msg:"lost"`                // the answerer does not follow the store at the moment
	Revision uint64          `msg:"revision"`            // store revision up to which the answerer knows the members
	Config   uint64          `msg:"config"`              // revision of the answerer's configuration
	Value    []byte          `msg:"value,limit=1048576"` // the configuration, packed; empty when the asker's is as new
	Members  []RegistryEntry `msg:"members"`

	ConfigVersion uint64              `msg:"config_version"` // version of the answerer's configuration, 0 if unknown
	Tombstones    []RegistryTombstone `msg:"tombstones"`
	Items         []RegistryItem      `msg:"items,omitempty"` // orders and plans of rollouts written after the asker's revision

	Source  uint64   `msg:"source,omitempty"`          // member that reads the store and through which the answerer follows it, itself if it reads the store, 0 for none or unknown
	Digest  uint64   `msg:"digest,omitempty"`          // of the configuration in Value, once decoded; only if the asker reads parts
	Base    uint64   `msg:"base,omitempty"`            // digest of the configuration from which Value is a delta, 0 for none
	Size    uint32   `msg:"size,omitempty"`            // bytes of the encoded configuration, of which Value is a part
	Holders []uint64 `msg:"holders,omitempty,limit=8"` // members that have asked the answerer with the same configuration
	AgeMS   int64    `msg:"age_ms,omitempty"`          // age that the answerer's knowledge of the store would have had when the request arrived; below zero if it is newer
}

// RegistryTombstone says which starts of a backend server have announced that they are leaving.
type RegistryTombstone struct {
	Instance      string `msg:"instance"`
	LatestStartMS int64  `msg:"latest_start_ms"` // milliseconds since the Unix epoch; all that started then or before
	Revision      uint64 `msg:"revision"`        // that wrote it
}

// RegistryEntry is a member with the revision that wrote it or removed its entry.
type RegistryEntry struct {
	Key      string `msg:"key"`
	Revision uint64 `msg:"revision"`
	Deleted  bool   `msg:"deleted"`
	Member   Member `msg:"member"`
	Version  string `msg:"version,omitempty"` // Member.Version
}

// RegistryItem is a key of the store that readers relay as it is.
type RegistryItem struct {
	Key      string `msg:"key"`
	Revision uint64 `msg:"revision"`
	Value    []byte `msg:"value"`
	Deleted  bool   `msg:"deleted,omitempty"`
}
