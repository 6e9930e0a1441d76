package registry

// Transaction is a set of writes under conditions.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
}

// Precondition asks that a key is at a revision; 0 means that it does not exist.
type Precondition struct {
	Key      string
	Revision uint64
}

// Write sets a key's value, which goes with its lease; lease 0 keeps it for good.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}
