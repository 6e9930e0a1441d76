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
