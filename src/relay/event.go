package relay

import "time"

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick reports that the time returned by Core.Next has come.
type Tick struct{}

// Members is the list of daemons that are not dead, this one included.
type Members struct {
	Members []Member `json:"members"`
}

// HeadSeen is the store's answer to WatchHead or ReadHead.
type HeadSeen struct {
	Revision uint64 `json:"revision"` // store revision of the head, 0 when no configuration was ever accepted
	Version  uint64 `json:"version"`
}

// HeadFailed reports that WatchHead or ReadHead failed.
type HeadFailed struct {
	TimedOut bool `json:"silent,omitempty"` // the watch had no answer within its wait and WatchTimeoutMargin
}

// FetchFailed reports that Fetch failed to read the documents.
type FetchFailed struct{}

// LeaseAnswered is the store's answer to Grant or Renew.
type LeaseAnswered struct {
	Held bool `json:"held"` // this daemon holds the lease
}

// LeaseFailed reports that Grant or Renew had no answer.
type LeaseFailed struct{}

// PushReceived is an update pushed by a peer, to be passed on to the members of Subtree.
type PushReceived struct {
	From    uint64   `json:"from"`
	Base    uint64   `json:"base"` // version that the update applies to, 0 for a full copy
	Version uint64   `json:"version"`
	Subtree []uint64 `json:"subtree,omitempty"`
}

// PushDone reports that the child has received a push, or that the push was dropped because too many are queued.
type PushDone struct {
	ID uint64 `json:"id"`
}

// PushFailed reports that the child may not have received a push.
type PushFailed struct {
	ID uint64 `json:"id"`
}

// PeerAhead reports a peer whose probe showed a higher version in force than this daemon's.
type PeerAhead struct {
	Peer    uint64 `json:"peer"`
	Version uint64 `json:"version"`
}

// Asked is the answer to Ask.
type Asked struct {
	Peer    uint64 `json:"peer"`
	Version uint64 `json:"version"`
	Failed  bool   `json:"failed,omitempty"` // the peer did not answer or its address is not known
}

// Pulled is the answer to Pull.
type Pulled struct {
	Peer        uint64        `json:"peer"`
	Version     uint64        `json:"version"`                 // version that the update leads to, or the peer's version if Current; 0 if the peer was busy or Failed
	Current     bool          `json:"current,omitempty"`       // the peer holds no newer version
	Failed      bool          `json:"failed,omitempty"`        // the peer did not answer or its address is not known
	Alternative uint64        `json:"busy_next,omitempty"`     // another peer to pull from if the peer was busy, 0 for none
	RetryAfter  time.Duration `json:"busy_after_ns,omitempty"` // above 0 if the peer was busy
}

// PullRequested is a pull request from a peer.
type PullRequested struct {
	From        uint64 `json:"from"`
	HeldVersion uint64 `json:"have"` // 0 requests a full copy, versionQuery only the version
}

// Source is the way by which a version was received.
type Source string

// Sources of versions.
const (
	SourceStore Source = "store"
	SourcePush  Source = "push"
	SourcePull  Source = "pull"
)

// Taken reports that an update was applied and its version is held.
type Taken struct {
	Version uint64 `json:"version"`
	Source  Source `json:"source"`
	Peer    uint64 `json:"peer,omitempty"`
}

// Refused reports that a version could not be applied; the one held before stays.
type Refused struct {
	Version        uint64 `json:"version"`
	Source         Source `json:"source"`
	Peer           uint64 `json:"peer,omitempty"`
	Base           uint64 `json:"base,omitempty"` // version that the update applies to, 0 for a full copy
	UpdateUnusable bool   `json:"gap,omitempty"`  // the update does not apply to the version held, is malformed or has another schema; another update may lead to the version
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
