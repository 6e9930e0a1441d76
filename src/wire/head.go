package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:4096 maps:4096
//msgp:tuple HeadService
//msgp:tuple HeadChange
//msgp:tuple LatestChange
//msgp:tuple RetiredKey

// SchemaNumber is the schema of HeadRef, Head and Document that this build reads.
const SchemaNumber = 1

// HeadRef is the one record in the store that is swapped: it accepts the configuration that it names.
//
// It is kept small, since every reader gets it with each watch.
type HeadRef struct {
	Schema     uint16         `msg:"schema"`
	Version    uint64         `msg:"version"`     // only grows
	Digest     uint64         `msg:"digest"`      // of the whole configuration
	Head       string         `msg:"head"`        // id of the key that holds the Head
	HeadDigest string         `msg:"head_digest"` // hexadecimal 128-bit digest of the Head's value
	Latest     []LatestChange `msg:"latest"`      // newest last, bounded
	Pending    []RetiredKey   `msg:"pending"`     // keys that edits under way write before their acceptance
}

// LatestChange names a service that a version has changed.
type LatestChange struct {
	Version uint64 `msg:"version"`
	Service string `msg:"service"`
	Digest  string `msg:"digest"` // of the body, empty when the service was removed
}

// Head is the accepted configuration with its history, under a key of its own that is never written again once a HeadRef names it.
type Head struct {
	Schema   uint16        `msg:"schema"`
	Version  uint64        `msg:"version"`
	Services []HeadService `msg:"services"` // by name
	Changes  []HeadChange  `msg:"changes"`  // newest last, a bounded number for each service
	Retired  []RetiredKey  `msg:"retired"`  // keys that are not referred to and will be deleted
}

// HeadService names the accepted document of one service.
type HeadService struct {
	Name      string `msg:"name"`
	Version   uint64 `msg:"version"`    // configuration version that accepted this document
	Digest    string `msg:"digest"`     // hexadecimal 128-bit digest of the body
	Size      int    `msg:"size"`       // bytes
	TokenHash string `msg:"token_hash"` // hexadecimal SHA-256 of the team's token, empty when none is set
}

// HeadChange records one accepted edit.
type HeadChange struct {
	Version uint64 `msg:"version"`
	Service string `msg:"service"`
	Digest  string `msg:"digest"` // empty when the service was removed
	EditID  string `msg:"edit_id"`
	At      int64  `msg:"at"` // milliseconds since the Unix epoch
	Note    string `msg:"note"`
}

// RetiredKey names a key that can be deleted some time after it was listed.
type RetiredKey struct {
	Key    string `msg:"key"`
	At     int64  `msg:"at"`     // milliseconds since the Unix epoch
	Doomed bool   `msg:"doomed"` // deletion may have begun: the key must be pending and written again before it is referred to
}
