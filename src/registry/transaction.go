package registry

// Transaction is a set of writes that are applied together if all preconditions hold.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
}

// Precondition requires that a key is at a revision; 0 requires that the key does not exist.
type Precondition struct {
	Key      string
	Revision uint64
}

// Write sets the value of a key. The key is removed when its lease expires or is revoked; lease 0 keeps it permanently.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}
