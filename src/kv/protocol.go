package kv

// Paths and header fields of the store's HTTP face.
const (
	// PathKey is the path of gets, watches, swaps and deletes.
	PathKey = "/key"
	// PathLease is the path of the lease calls.
	PathLease = "/lease"
	// HeaderRevision carries an entry's revision or a lease's token.
	HeaderRevision = "X-Revision"
	// HeaderEra names the store's era in each answer; a store without it counts as era 0.
	HeaderEra = "X-Era"
	// ArgumentEra is the query argument with the era of an expected revision. A write whose era is
	// not the store's conflicts.
	// Without it, which is how releases without eras write, the revision is taken as of the current era.
	ArgumentEra = "era"
)
