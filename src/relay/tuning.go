package relay

import (
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
)

// Tuning holds what a profile sets.
type Tuning struct {
	ReadersPerDomain int           // daemons of a failure domain that watch the store
	Fanout           int           // peers to which a daemon passes an update on
	CoalesceDelay    time.Duration // a reader waits this long for further changes before it fetches
	StandbyDelay     time.Duration // the next reader in rank waits this long for a push
	PushTimeout      time.Duration // of one push, after which the next peer takes its place
	PullDelayMin     time.Duration // time left for a push before a daemon that is behind pulls
	PullDelayMax     time.Duration
	RepublishDelay   time.Duration // time left for a push before a version pulled from another failure domain is pushed here
	FullCopyRate     float64       // full copies served a second
	FullCopyBurst    float64       // full copies served at once
}

// The bounds that all profiles share.
const (
	LeaseTTL           = 15 * time.Second
	LeaseRenewInterval = 5 * time.Second
	LeaselessReadDelay = 300 * time.Millisecond  // a reader by rank that gets no lease reads without one after this time
	MaxWatchWait       = 1500 * time.Millisecond // longest wait of a watch
	WatchTimeoutMargin = 250 * time.Millisecond
	PollInterval       = 500 * time.Millisecond // between reads of the head while watches stay silent
	PollDuration       = 30 * time.Second       // until the watch is tried again
	MinBackoff         = 200 * time.Millisecond // after a failed call to the store
	MaxBackoff         = 1500 * time.Millisecond
	DeltaTimeout       = 300 * time.Millisecond // of a pull
	FullCopyTimeout    = 2 * time.Second        // of a pull of a full copy
	PullRetryMin       = 20 * time.Millisecond
	PullRetryMax       = 100 * time.Millisecond
	NotAheadRetryMin   = 100 * time.Millisecond // until another peer is asked after one that was not ahead
	NotAheadRetryMax   = 500 * time.Millisecond
	BusyRetryMin       = 200 * time.Millisecond // what a peer that is busy asks to wait
	BusyRetryMax       = 600 * time.Millisecond
	RefusedRetryDelay  = 30 * time.Second       // until a version that could not be taken is tried again
	JoinPeers          = 3                      // peers asked for their version before the first one comes into force
	JoinPeerWait       = 3 * time.Second        // for answers of peers and versions under way
	JoinReadDelayMax   = 500 * time.Millisecond // until a starting daemon reads the head
	JoinReadSpacing    = 600 * time.Microsecond // between the reads of daemons that start together
	JoinFallbackDelay  = 5 * time.Second        // without a first version, after which a daemon reads the store whatever its rank
	FallbackReadMin    = 3 * time.Second        // between its reads, and before it fetches
	FallbackReadMax    = 8 * time.Second
	MinWatchInterval   = 100 * time.Millisecond // between watches that bring nothing new
	FirstLeaseDelayMin = 200 * time.Millisecond
	FirstLeaseDelayMax = 1500 * time.Millisecond
	MaxSubtreeSize     = 2000 // members
	maxSources         = 4    // peers remembered as ahead
	maxPushes          = 4096 // pushes under way
	maxAskAttempts     = 12
)

// TuningOf returns the tuning of a profile.
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
