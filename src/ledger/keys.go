package ledger

// Keys of the store.
const (
	HeadRefKey = "config/head"      // the value is a wire.HeadRef
	headPrefix = "config/accepted/" // followed by an id; the value is a wire.Head, accepted or not
	bodyPrefix = "config/body/"     // followed by a digest; the value is the document with that digest
)

// BodyKey returns the key of the document with the given digest.
func BodyKey(digest string) string { return bodyPrefix + digest }

// HeadKey returns the key of the wire.Head with the given id, accepted or not.
func HeadKey(id string) string { return headPrefix + id }
