package registry

// Unlisted returns the IDs of the members whose entries are missing from the store, nil for none.
func (c *Core) Unlisted() map[uint64]bool {
	var out map[uint64]bool
	for _, e := range c.entries {
		if e.missingSince.IsZero() {
			continue
		}
		if out == nil {
			out = map[uint64]bool{}
		}
		out[e.member.ID] = true
	}
	return out
}

// Unlisted returns the IDs of the members whose entries are missing from the store, nil for none.
func (f *Follower) Unlisted() map[uint64]bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Unlisted()
}
