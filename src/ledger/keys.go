package ledger

// The store's keys.
const (
	HeadRefKey = "config/head"      // holds a wire.HeadRef
	headPrefix = "config/accepted/" // followed by the id of the wire.Head that is held there
	bodyPrefix = "config/body/"     // followed by the digest of the document that is held there
)

// BodyKey returns the key of the document with a digest.
func BodyKey(digest string) string { return bodyPrefix + digest }

// AcceptedHeadKey returns the key of the wire.Head with an id.
func AcceptedHeadKey(id string) string { return headPrefix + id }
