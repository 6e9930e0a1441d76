package registry

import "bytes"

// rejection remembers a configuration that this agent has rejected and the one before it. Without it
// a rejected configuration would hide the one in force from agents that start later: it is the only
// one in the store, and newer than what peers hold.
type rejection struct {
	rejected        Item // zero for none
	previous        Item // configuration before the newest one, zero for none
	previousVersion uint64
}

// matches reports whether a configuration is the rejected one. Values are compared too, since a store
// that came back from an older copy gives revisions out again.
func (r *rejection) matches(i Item) bool {
	return len(r.rejected.Value) > 0 && i.Revision == r.rejected.Revision && bytes.Equal(i.Value, r.rejected.Value)
}

// RejectConfig reports that a configuration passed to OnConfig cannot be used. The one before it is
// then again what this agent passes on to its peers and takes from them. It may be called by OnConfig.
func (f *Follower) RejectConfig(value []byte) {
	f.init()
	f.step(ConfigRejected{Value: value})
}

// rejectConfig goes back to the configuration before the newest one, if that is the rejected one.
func (c *Core) rejectConfig(value []byte) {
	if !bytes.Equal(value, c.config.Value) {
		return
	}
	c.rejection.rejected = c.config
	c.config, c.configVersion = c.rejection.previous, c.rejection.previousVersion
}
