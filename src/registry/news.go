package registry

import "time"

// HasAskedPeers reports whether this agent has listed the store and then asked peers for what an
// older copy of the store may lack, or has no more time to wait for their answers. With a
// configuration from a peer while the store has never answered, it reports true as well: there is no
// older copy then.
func (f *Follower) HasAskedPeers() bool {
	if f.askedPeers.Load() {
		return true
	}
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.core.start.askedAt.IsZero() || f.core.start.isDone(time.Now()) {
		f.askedPeers.Store(!f.core.start.askedAt.IsZero())
		return true
	}
	return false
}
