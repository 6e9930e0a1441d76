package relay

import "time"

// Event is something that the core decides upon.
type Event interface{ isEvent() }

// Tick tells that time has passed.
type Tick struct{}

// Members tells which daemons are not dead, this one included.
type Members struct {
	Members []Member `json:"members"`
}

// HeadSeen is the store's answer to WatchHead or ReadHead.
type HeadSeen struct {
	Revision uint64 `json:"revision"` // 0 when no configuration was ever accepted
	Version  uint64 `json:"version"`
}

// HeadFailed tells that WatchHead or ReadHead had no answer.
type HeadFailed struct {
	TimedOut bool `json:"silent,omitempty"` // the watch went past its time without an answer
}

// FetchFailed tells that Fetch did not lead to a version.
type FetchFailed struct{}

// LeaseAnswered is the store's answer to Grant or Renew.
type LeaseAnswered struct {
	Held bool `json:"held"`
}

// LeaseFailed tells that Grant or Renew had no answer.
type LeaseFailed struct{}

// PushReceived is an update that a peer has pushed.
type PushReceived struct {
	From    uint64   `json:"from"`
	Base    uint64   `json:"base"` // version that the update starts from, 0 for a full copy
	Version uint64   `json:"version"`
	Subtree []uint64 `json:"subtree,omitempty"`
}

// PushDone tells that a push has arrived.
type PushDone struct {
	ID uint64 `json:"id"`
}

// PushFailed tells that a push may not have arrived.
type PushFailed struct {
	ID uint64 `json:"id"`
}

// PeerAhead tells that a probe has shown a peer to hold a higher version.
type PeerAhead struct {
	Peer    uint64 `json:"peer"`
	Version uint64 `json:"version"`
}

// Asked is the answer to Ask.
type Asked struct {
	Peer    uint64 `json:"peer"`
	Version uint64 `json:"version"`
	Failed  bool   `json:"failed,omitempty"`
}

// Pulled is the answer to Pull.
type Pulled struct {
	Peer        uint64        `json:"peer"`
	Version     uint64        `json:"version"`           // reached by the update, 0 when there is none
	Current     bool          `json:"current,omitempty"` // the peer is not ahead
	Failed      bool          `json:"failed,omitempty"`
	Alternative uint64        `json:"busy_next,omitempty"`
	RetryAfter  time.Duration `json:"busy_after_ns,omitempty"`
}

// PullRequested is a peer's pull.
type PullRequested struct {
	From        uint64 `json:"from"`
	HeldVersion uint64 `json:"have"`
}

// Source tells by which way a version came.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	SourcePush  Source = "push"
	SourcePull  Source = "pull"
)

// Taken tells that a version is held whole.
type Taken struct {
	Version uint64 `json:"version"`
	Source  Source `json:"source"`
	Peer    uint64 `json:"peer,omitempty"`
}

// Refused tells that a version could not be taken and the old one stays.
type Refused struct {
	Version   uint64 `json:"version"`
	Source    Source `json:"source"`
	Peer      uint64 `json:"peer,omitempty"`
	Base      uint64 `json:"base,omitempty"` // version that the update started from, 0 for a full copy
	BadUpdate bool   `json:"gap,omitempty"`  // another update would help
}

func (Tick) isEvent()          {}
func (Members) isEvent()       {}
func (HeadSeen) isEvent()      {}
func (HeadFailed) isEvent()    {}
func (FetchFailed) isEvent()   {}
func (LeaseAnswered) isEvent() {}
func (LeaseFailed) isEvent()   {}
func (PushReceived) isEvent()  {}
func (PushDone) isEvent()      {}
func (PushFailed) isEvent()    {}
func (PeerAhead) isEvent()     {}
func (Asked) isEvent()         {}
func (Pulled) isEvent()        {}
func (PullRequested) isEvent() {}
func (Taken) isEvent()         {}
func (Refused) isEvent()       {}
