package registry

// Item is a key with the value that a revision wrote, or a key that the revision deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}
