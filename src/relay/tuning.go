package relay

import (
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
)

// Tuning holds the parameters that depend on the profile.
type Tuning struct {
	ReadersPerDomain int           // readers by rank, and leases, per failure domain
	Fanout           int           // children of a daemon in the push tree
	CoalesceDelay    time.Duration // wait of a reader for further changes before it fetches
	StandbyDelay     time.Duration // wait per rank of a standby reader for a push before it fetches
	PushTimeout      time.Duration // for one push, before the next member of the subtree replaces the child
	PullDelayMin     time.Duration // wait for a push before a daemon that is behind pulls
	PullDelayMax     time.Duration
	RepublishDelay   time.Duration // minimum wait for a push before a version pulled from another failure domain is pushed in this one; the maximum is three times as long
	FullCopyRate     float64       // pull requests for a full copy served per second
	FullCopyBurst    float64       // pull requests for a full copy served in a burst
}

// Timeouts and limits common to all profiles.
const (
	LeaseTTL               = 15 * time.Second
	LeaseRenewInterval     = 5 * time.Second         // longest time between renewals, and between rounds of denied requests
	LeaselessReadDelay     = 300 * time.Millisecond  // a daemon that is a reader by rank but is denied the lease watches the store without one after this time
	MaxWatchWait           = 1500 * time.Millisecond // longest time that the store holds a watch open
	WatchTimeoutMargin     = 250 * time.Millisecond  // beyond the wait of a watch, before the call times out
	PollInterval           = 500 * time.Millisecond  // between reads of the head while polling; also the wait of the first watch after polling
	PollDuration           = 30 * time.Second        // how long the head is polled after a watch timed out
	MinBackoff             = 200 * time.Millisecond  // after the first failed store call in a row, before jitter
	MaxBackoff             = 1500 * time.Millisecond // longest backoff, before jitter
	DeltaTimeout           = 300 * time.Millisecond  // of a delta pull and of a version query
	FullCopyTimeout        = 2 * time.Second         // of a full-copy pull
	PullRetryMin           = 20 * time.Millisecond   // before the next pull after a peer did not answer
	PullRetryMax           = 100 * time.Millisecond
	NotAheadRetryMin       = 100 * time.Millisecond // before the next pull after a peer was not ahead
	NotAheadRetryMax       = 500 * time.Millisecond
	BusyRetryMin           = 200 * time.Millisecond // retry delay in the answer of a busy peer
	BusyRetryMax           = 600 * time.Millisecond
	RefusedRetryDelay      = 30 * time.Second       // before a refused version is tried again
	BootstrapPeers         = 3                      // peers, or all others if fewer are listed, that must report their version before the first version comes into force, unless BootstrapPeerWait passes first
	BootstrapPeerWait      = 3 * time.Second        // with the head read, longest wait for peer answers; without it, shortest wait, so that a version being distributed can arrive
	BootstrapReadDelayMax  = 500 * time.Millisecond // longest delay before a starting daemon reads the head
	BootstrapReadSpacing   = 600 * time.Microsecond // per listed member, the limit of that delay: about the interval between the reads of daemons that start together
	BootstrapFallbackDelay = 5 * time.Second        // time without a first version in force after which a daemon may watch the store and fetch from it whatever its rank
	FallbackReadMin        = 3 * time.Second        // between head calls of such a daemon if it is not a reader by rank, and before its fetch
	FallbackReadMax        = 8 * time.Second
	MinWatchInterval       = 100 * time.Millisecond // between the starts of head calls that return no new revision
	FirstLeaseDelayMin     = 200 * time.Millisecond // before the first lease request after a start
	FirstLeaseDelayMax     = 1500 * time.Millisecond
	MaxSubtreeSize         = 2000 // members of a received subtree that are served; the rest is dropped
	maxPullCandidates      = 4    // peers remembered as candidates for a pull
	maxPendingPushes       = 4096 // pushes in progress; further ones are dropped
	maxAskedPeers          = 12   // peers asked for their version by a starting daemon
)

// TuningOf returns the parameters of a profile, those of ProfileFast for any but ProfileThrifty.
func TuningOf(p settings.Profile) Tuning {
	if p == settings.ProfileThrifty {
		return Tuning{
			ReadersPerDomain: 2, Fanout: 6, CoalesceDelay: 250 * time.Millisecond, StandbyDelay: 300 * time.Millisecond, PushTimeout: 300 * time.Millisecond,
			PullDelayMin: 350 * time.Millisecond, PullDelayMax: 550 * time.Millisecond, RepublishDelay: 200 * time.Millisecond,
			FullCopyRate: 2, FullCopyBurst: 2,
		}
	}
	return Tuning{
		ReadersPerDomain: 2, Fanout: 12, StandbyDelay: 150 * time.Millisecond, PushTimeout: 200 * time.Millisecond,
		PullDelayMin: 40 * time.Millisecond, PullDelayMax: 160 * time.Millisecond, RepublishDelay: 150 * time.Millisecond,
		FullCopyRate: 8, FullCopyBurst: 8,
	}
}
