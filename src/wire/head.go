package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:4096 maps:4096
//msgp:tuple HeadService
//msgp:tuple HeadChange
//msgp:tuple RetiredBody

// SchemaNumber is the schema of Head and Document that this build reads.
const SchemaNumber = 1

// Head is the one record in the store that names the accepted configuration.
type Head struct {
	Schema   uint16        `msg:"schema"`
	Version  uint64        `msg:"version"` // only grows
	Services []HeadService `msg:"services"`
	Changes  []HeadChange  `msg:"changes"` // newest last, a bounded number for each service
	Retired  []RetiredBody `msg:"retired"` // bodies that are not referred to and will be deleted
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

// RetiredBody names a body that can be deleted some time after it was written or replaced.
type RetiredBody struct {
	Digest string `msg:"digest"`
	At     int64  `msg:"at"`     // milliseconds since the Unix epoch
	Doomed bool   `msg:"doomed"` // deletion may have begun: the body must be written again before it is referred to
}
