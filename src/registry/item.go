package registry

// Item is a key with the value that a revision wrote, or that it deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}
