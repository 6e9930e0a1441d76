package ledger

import (
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Snapshot is one whole accepted configuration; it is never changed once built.
type Snapshot struct {
	Version   uint64
	Digest    uint64                        // over the names and digests of all documents
	Documents map[string]*document.Document // by service
	Bodies    map[string]wire.Body          // by service
}
