package relay

import "time"

// Action is an output of the core, executed by the Distributor.
type Action interface{ isAction() }

// WatchHead waits up to Wait for a head after the given revision; answered by HeadSeen, with an unchanged head when Wait has passed, or HeadFailed.
type WatchHead struct {
	AfterRevision uint64        `json:"after"`
	Wait          time.Duration `json:"wait_ns"`
}

// ReadHead reads the head at once; answered by HeadSeen or HeadFailed.
type ReadHead struct{}

// Fetch reads the documents that differ from the version held and applies the head's version; answered by Taken, Refused or FetchFailed.
type Fetch struct {
	Version uint64 `json:"version"` // the head's version when the fetch was decided
}

// Grant requests one of the failure domain's ReadersPerDomain reader leases; answered by LeaseAnswered or LeaseFailed.
type Grant struct {
	Slot int           `json:"slot"` // number of the lease, from 0
	TTL  time.Duration `json:"ttl_ns"`
}

// Renew extends the lease; answered by LeaseAnswered or LeaseFailed.
type Renew struct{}

// Release releases the lease; it is not answered.
type Release struct {
	Reason string `json:"reason"`
}

// Apply applies the update of the event being handled; answered by Taken or Refused.
type Apply struct {
	Source Source `json:"source"`
	Peer   uint64 `json:"peer"`
}

// Push sends an update that applies to Base and leads to Version or a later one; answered by PushDone or PushFailed.
type Push struct {
	ID      uint64        `json:"id"`
	To      uint64        `json:"to"`
	Base    uint64        `json:"base"`
	Version uint64        `json:"version"`
	Subtree []uint64      `json:"subtree,omitempty"`
	Timeout time.Duration `json:"timeout_ns"`
}

// Ask requests a peer's version; answered by Asked.
type Ask struct {
	To      uint64        `json:"to"`
	Timeout time.Duration `json:"timeout_ns"`
}

// Pull requests an update from a peer; answered by Pulled.
type Pull struct {
	To          uint64        `json:"to"`
	HeldVersion uint64        `json:"have"` // 0 requests a full copy
	Reason      string        `json:"reason"`
	Timeout     time.Duration `json:"timeout_ns"`
}

// AnswerUpdate answers a PullRequested with the update from Base, a full copy if Base is 0 or all documents have changed since.
type AnswerUpdate struct {
	Base uint64 `json:"from"`
}

// AnswerCurrent answers a PullRequested whose sender is not behind this daemon, with the version held here.
type AnswerCurrent struct {
	Version uint64 `json:"version"`
}

// AnswerBusy answers a PullRequested with another peer to pull from and the delay before the next pull.
type AnswerBusy struct {
	Alternative uint64        `json:"next"`
	RetryAfter  time.Duration `json:"after_ns"`
}

// Open brings the first version into force.
type Open struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// StoreBehind reports that the store's head is older than the version held.
type StoreBehind struct {
	HeadVersion uint64 `json:"head"`
	HeldVersion uint64 `json:"have"`
}

func (WatchHead) isAction()     {}
func (ReadHead) isAction()      {}
func (Fetch) isAction()         {}
func (Grant) isAction()         {}
func (Renew) isAction()         {}
func (Release) isAction()       {}
func (Apply) isAction()         {}
func (Push) isAction()          {}
func (Ask) isAction()           {}
func (Pull) isAction()          {}
func (AnswerUpdate) isAction()  {}
func (AnswerCurrent) isAction() {}
func (AnswerBusy) isAction()    {}
func (Open) isAction()          {}
func (StoreBehind) isAction()   {}
