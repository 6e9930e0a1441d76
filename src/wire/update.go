package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:4096 maps:4096
//msgp:tuple Patch

// Body is one service document as its team wrote it.
type Body struct {
	Service string `msg:"service"`
	Version uint64 `msg:"version"`          // configuration version that accepted this document
	Digest  string `msg:"digest"`           // of the whole document
	Data    []byte `msg:"data,limit=65536"` // at most document.MaxSize
	Patch   Patch  `msg:"patch"`
}

// Patch tells that a Body's Data is the middle of a document whose ends are those of another one.
type Patch struct {
	Base string `msg:"base"` // digest of the other document, empty when Data is whole
	Head int    `msg:"head"` // bytes of its beginning that are kept
	Tail int    `msg:"tail"` // bytes of its end that are kept
}

// Update carries a daemon from one configuration version to a later one.
type Update struct {
	Schema  uint16   `msg:"schema"`
	From    uint64   `msg:"from"`    // 0 for a full copy
	Version uint64   `msg:"version"` // version reached
	Digest  uint64   `msg:"digest"`  // digest of the whole configuration reached
	Bodies  []Body   `msg:"bodies"`  // changed documents, or all of them in a full copy
	Removed []string `msg:"removed"`
}

// Push is an Update with the part of the tree that its receiver serves.
type Push struct {
	Update  Update   `msg:"update"`
	Subtree []uint64 `msg:"subtree"` // member ids the receiver passes the update on to
}

// Pull asks a peer for an Update.
type Pull struct {
	Have uint64 `msg:"have"` // version in force at the asker, 0 for none
}

// PullReply answers a Pull.
type PullReply struct {
	Update    Update `msg:"update"`
	Current   bool   `msg:"current"`    // the peer is not ahead of the asker
	BusyNext  uint64 `msg:"busy_next"`  // member to ask instead, 0 for none
	BusyAfter int64  `msg:"busy_after"` // milliseconds to wait before asking again, 0 when not busy
}
