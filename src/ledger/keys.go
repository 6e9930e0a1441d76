package ledger

// The store's keys.
const (
	HeadKey    = "config/head"  // holds a wire.Head
	bodyPrefix = "config/body/" // followed by the digest of the document that is held there
)

// BodyKey returns the key of the document with a digest.
func BodyKey(digest string) string { return bodyPrefix + digest }
