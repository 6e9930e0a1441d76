package ledger

// Keys of the store.
const (
	HeadRefKey = "config/head"      // the value is a wire.HeadRef
	headPrefix = "config/accepted/" // followed by an id; the value is a wire.Head
	bodyPrefix = "config/body/"     // followed by a digest; the value is the document with that digest
)

// BodyKey returns the key of the document with a digest.
func BodyKey(digest string) string { return bodyPrefix + digest }

// AcceptedHeadKey returns the key of the wire.Head with an id.
func AcceptedHeadKey(id string) string { return headPrefix + id }
