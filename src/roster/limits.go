package roster

import "time"

const (
	tickPeriod       = 100 * time.Millisecond // between two ticks of a Node
	pauseGap         = time.Second            // between two ticks that shows that this process stood still
	pauseGrace       = 4                      // probe periods without own suspicions after a pause
	maxHealth        = 8                      // highest local health score; 0 is healthy
	suspicionFactor  = 4.0                    // probe periods to refute, times the magnitude of the fleet
	indirectProbes   = 3                      // members asked to ping a silent one
	maxRelays        = 64                     // pings under way for others
	gossipFanout     = 3                      // members told in one round of news
	urgentFanout     = 8                      // members told at once that this one leaves
	retransmitFactor = 3                      // times news is sent, times the magnitude of the fleet
	crowd            = 32                     // members with news waiting, above which each is sent less often
	crowdRetransmits = 3
	piggybackSize    = 400              // bytes of a ping or its answer with news
	maxNews          = 4096             // members with news waiting to be sent
	smallBatch       = 64               // changes from one exchange that are passed on as news
	gossipBurst      = 2.0              // seconds of gossip rate that can be saved up
	packetOverhead   = 28               // bytes of the IP and UDP headers
	answerFactor     = 3                // answer to a stranger, in sizes of the datagram received
	joinSize         = 400              // bytes of a padded join
	maxChecks        = 4                // claims of a death checked in a tick
	healingTime      = 5 * time.Second  // after a lost member has come back
	healingPings     = 4                // lost members pinged in a tick while a cut heals
	holdTime         = 10 * time.Minute // that lost members stay in view when too many are lost
	tombstoneTime    = 6 * time.Hour    // that a dead member is remembered
	maxTombstones    = 4096
	sweepPeriod      = time.Second
	alarmPeriod      = 10 * time.Second // between two alarms of one failure domain
	alarmGroup       = 3                // deaths in a failure domain that make one alarm
	pageSize         = 512              // members in one answer to an exchange
	bucketCount      = 32               // of the roster digest
	joinJitter       = time.Second      // start of a herd is spread over it
	joinBackoffMin   = time.Second
	joinBackoffMax   = 10 * time.Second
	joinFanout       = 3                // addresses asked in one attempt to join
	maxWelcome       = 16               // members in the answer to a join
	seedSize         = 5                // members in a seed record
	seedWriters      = 2                // members of a failure domain that keep its seed record
	youngTime        = 30 * time.Second // after the start, in which differences are repaired sooner
	seedSpread       = time.Second      // between finding no seed record and writing one
	loneLook         = 2 * time.Second  // between two looks at the seed record while nobody else is known
	reseedEvery      = 5                // looks at the own record for one look at the others
	maxDomains       = 64               // failure domains in the index

	// leftIncarnation marks the death that a member itself announces; it is never refuted.
	leftIncarnation = ^uint32(0)
)
