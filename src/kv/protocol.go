package kv

// Paths and header fields of the store's HTTP face.
const (
	// PathKey is the path of gets, watches, swaps and deletes.
	PathKey = "/key"
	// PathLease is the path of the lease calls.
	PathLease = "/lease"
	// HeaderRevision carries an entry's revision or a lease's token.
	HeaderRevision = "X-Revision"
)
