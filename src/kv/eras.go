package kv

// Eras is a Store that tells whether its answers name an era.
type Eras interface {
	// NamesEra reports whether the latest answer named an era.
	NamesEra() bool
}

// NamesEra implements Eras.
func (r *Remote) NamesEra() bool { return r.namesEra.Load() }

// NamesEra implements Eras.
func (c *Counted) NamesEra() bool {
	s, ok := c.Store.(Eras)
	return ok && s.NamesEra()
}
