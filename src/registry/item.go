package registry

// Item is the state of a key at a revision: the value written at that revision or, if Deleted, the deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}
