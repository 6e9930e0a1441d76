package agent

import (
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/registry"
)

// keyAge decides whether the keys in force are too old to admit requests by them. Its fields are set
// before the first call of isOutdated.
type keyAge struct {
	revocation Revocation
	follower   *registry.Follower
	log        logr.Logger

	outdated atomic.Bool // last result of isOutdated because of Revocation
}

// isOutdated reports whether this agent has not yet asked its peers for a newer configuration than
// the store's, which may have come back from an older copy, or, with Strict, knows only what is older
// than Revocation.Time. It may be called concurrently.
func (k *keyAge) isOutdated() bool {
	if !k.follower.HasAskedPeers() {
		return true
	}
	if !k.revocation.Strict {
		return false
	}
	age := k.follower.Age()
	outdated := age > k.revocation.Time.Std()
	if k.outdated.Swap(outdated) != outdated {
		k.log.Info("admission by keys changed", "refusing", outdated, "reason", "age of what is known of the store", "age_ms", age.Milliseconds(), "limit_ms", k.revocation.Time.Std().Milliseconds())
	}
	return outdated
}
