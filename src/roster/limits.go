package roster

import "time"

const (
	tickPeriod             = 100 * time.Millisecond // between two ticks of a Node
	pauseThreshold         = time.Second            // time without a tick after which this process counts as paused
	pauseGracePeriods      = 4                      // length in probe periods of the time after a pause in which this member raises no suspicions
	maxHealthScore         = 8                      // highest local health score; 0 is healthy
	suspicionFactor        = 4.0                    // multiplied by logSize of the cluster: probe periods to refute a suspicion
	indirectFanout         = 3                      // members asked to ping one that did not answer
	maxIndirectPings       = 64                     // pings in progress on behalf of other members
	gossipFanout           = 3                      // members that receive one round of gossip
	leaveFanout            = 8                      // members notified at once that this one leaves
	retransmitFactor       = 3                      // multiplied by int(logSize+1) of the cluster: transmissions of an update
	longQueueLength        = 32                     // queued updates above which each is sent only longQueueRetransmits times
	longQueueRetransmits   = 3                      // transmissions of an update while the queue is long
	maxPiggybackSize       = 400                    // bytes of a ping or an ack with its updates
	maxQueuedUpdates       = 4096                   // members with an update waiting to be sent
	maxExchangeUpdates     = 64                     // changes from one exchange request or reply that are queued as gossip
	gossipBurst            = 2.0                    // seconds of unused gossip rate that can accumulate
	packetOverhead         = 28                     // bytes of the IPv4 and UDP headers
	amplificationLimit     = 3                      // maximum answer to an unknown sender, in multiples of the datagram received
	joinProbeSize          = 400                    // bytes of a join, padded because the answer is limited to amplificationLimit times its size
	maxDeathReportsPerTick = 4                      // reported deaths verified in one tick
	healingTime            = 5 * time.Second        // time after the return of a lost member during which lost members are pinged on every tick
	healingPings           = 4                      // lost members pinged in a tick during healingTime
	lostHoldTime           = 10 * time.Minute       // time that lost members may stay in the view, see heldMembers
	tombstoneTTL           = 6 * time.Hour          // time that a dead member is remembered; exceeds any expected network partition
	maxTombstones          = 4096                   // dead members, lost ones included, above which those that are not lost are removed early
	sweepPeriod            = time.Second            // between two sweeps of expired state
	alarmInterval          = 10 * time.Second       // minimum between two alarms of one failure domain
	alarmSampleSize        = 3                      // member IDs listed in an alarm
	pageSize               = 512                    // members in a page of a full copy, and in each list of a request that reconcile makes
	bucketCount            = 32                     // buckets of the roster digest
	joinJitter             = time.Second            // over which the first joins of daemons started together are spread
	joinBackoffMin         = time.Second
	joinBackoffMax         = 10 * time.Second
	joinFanout             = 3                // addresses of one list contacted in an attempt to join
	maxWelcomeMembers      = 16               // other members in the answer to a join
	maxSeeds               = 5                // members in a seed record
	seedWriters            = 2                // members of a failure domain that maintain its seed record
	startupTime            = 30 * time.Second // time after the start during which differing digests are repaired sooner
	seedJitter             = time.Second      // over which reads that may create the seed record are spread
	isolatedSeedPeriod     = 2 * time.Second  // mean interval between two reads of the seed record while no other live member is known
	domainsPeriodFactor    = 5                // period of reads of the index of failure domains, in periods of seed record reads
	maxDomains             = 64               // failure domains in the index

	// finalIncarnation marks a death that the member announced itself; it cannot be refuted.
	finalIncarnation = ^uint32(0)
)
