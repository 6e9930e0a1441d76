package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:4096 maps:0

// RegistryRequest asks a peer for the configuration and the members that it knows.
type RegistryRequest struct {
	Config uint64 `msg:"config"` // revision of the asker's configuration, 0 for none
}

// RegistryReply is what a daemon knows of the registry.
type RegistryReply struct {
	Config  uint64          `msg:"config"`              // revision of the answerer's configuration
	Value   []byte          `msg:"value,limit=1048576"` // the configuration, empty when the asker's is as new
	Members []RegistryEntry `msg:"members"`
}

// RegistryEntry is a member with the revision that wrote it.
type RegistryEntry struct {
	Key      string `msg:"key"`
	Revision uint64 `msg:"revision"`
	Member   Member `msg:"member"`
}
