package registry

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
)

// SinceNews returns the time since the call began in which the store, or a reader that is not cut off
// from it, has last answered; suspensions count. It is the longest duration before the first answer.
func (f *Follower) SinceNews() time.Duration {
	at := f.newsAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return clock.SinceBoot() - time.Duration(at)
}

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
