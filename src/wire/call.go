package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:tuple Field Load
//msgp:limit arrays:1024 maps:64

// Field is one HTTP header field.
type Field struct {
	Name  string `msg:"name" json:"name"`
	Value string `msg:"value" json:"value"`
}

// CallHead opens a call on a link.
type CallHead struct {
	Target      uint64  `msg:"target"`   // id of the member meant; any other refuses the call as not run
	TraceID     string  `msg:"trace_id"` // joins the decision lines of a call across daemons
	Service     string  `msg:"service"`
	Route       string  `msg:"route"`
	Method      string  `msg:"method"`
	Host        string  `msg:"host"`
	URI         string  `msg:"uri"` // path and query as the caller sent them
	Fields      []Field `msg:"fields"`
	BodyLength  int64   `msg:"body_length"`  // bytes, -1 when unknown
	TimeoutMS   int64   `msg:"timeout_ms"`   // time left for this attempt when it was sent
	ObjectiveMS int64   `msg:"objective_ms"` // time left of the latency objective when it was sent, negative when it has passed, 0 for none
	Caller      string  `msg:"caller"`       // service of the VM on which the call began
	Priority    uint8   `msg:"priority"`     // 0 is served first
	Idempotent  bool    `msg:"idempotent"`
	Depth       uint8   `msg:"depth"`       // calls above this one in a chain
	RetryLayer  bool    `msg:"retry_layer"` // an earlier daemon in the chain already retries
	Final       bool    `msg:"final"`       // no other server is expected to be sooner
	PatienceMS  int64   `msg:"patience_ms"` // longest wait for a slot that is worth it here, since another server may be sooner, 0 for no bound
	Attempt     uint8   `msg:"attempt"`
	Version     uint64  `msg:"version"`              // configuration version the choice was made with
	Content     uint64  `msg:"content"`              // hash of the request's content, 0 from a daemon that does not compute it
	Quarantine  uint64  `msg:"quarantine,omitempty"` // digest of the crashes that the sender knows, 0 for none
	Rollout     uint64  `msg:"rollout,omitempty"`    // ID of the rollout order of Service that the sender follows, 0 for none
	Tenant      string  `msg:"tenant,omitempty"`     // name of the caller's tenant, empty for none

	TakesDoubt bool `msg:"takes_doubt,omitempty"` // the sender takes a DoubtFrame for the call
}

// ReplyHead opens the answer to a call.
type ReplyHead struct {
	Status      uint16  `msg:"status"`
	Fields      []Field `msg:"fields"`
	BodyLength  int64   `msg:"body_length"` // bytes, -1 when unknown
	Load        Load    `msg:"load"`
	LinkDelayMS int64   `msg:"link_delay_ms"` // time for which long answers use the network connection of the VM that answers
	Leaving     bool    `msg:"leaving"`       // the answer says that the backend server is leaving

	SpeedPercent int32 `msg:"speed_percent,omitempty"` // how long work takes on the backend server's VM now, 100 as usual, 0 when unknown
}

// Load is what the daemon beside a backend server knows of its free capacity.
type Load struct {
	Free    int16 `msg:"free"`    // slots free now, negative when calls are queued
	Slots   int16 `msg:"slots"`   // slots in all
	Backlog int32 `msg:"backlog"` // milliseconds a call that came now would wait
	Service int32 `msg:"service"` // milliseconds a call runs on average, 0 while that is unknown
}

// RefusalReason tells why a call was refused.
type RefusalReason uint8

// The reasons for a refusal.
const (
	ReasonNone RefusalReason = iota
	ReasonQueueFull
	ReasonDeadline
	ReasonLeaving
	ReasonWrongMember
	ReasonNotReady
	ReasonConnect
	ReasonShed
	ReasonLinkLost
	ReasonLimit
	ReasonCancelled
	ReasonTimeout
	ReasonCut
	ReasonCrashed     // the backend server crashed while it ran the call
	ReasonProtocol    // the backend server sent no answer in the protocol
	ReasonQuarantined // several backend servers have crashed while they ran the same request
	ReasonVersion     // a rollout allows no call to the version of the backend server
)

// Refusal ends a call without a whole answer.
type Refusal struct {
	Reason       RefusalReason `msg:"reason"`
	MayHaveRun   bool          `msg:"may_have_run"` // false: the backend server did not begin to run the call
	RetryAfterMS int64         `msg:"retry_after_ms"`
	Load         Load          `msg:"load"`
	LinkDelayMS  int64         `msg:"link_delay_ms"`        // as in ReplyHead
	Repeated     bool          `msg:"repeated,omitempty"`   // with ReasonCrashed: not the first backend server to crash under this request
	StartedAt    int64         `msg:"started_at,omitempty"` // with ReasonLeaving and ReasonWrongMember: Unix milliseconds of the start of the backend server that the refusal speaks of, 0 if unknown

	SpeedPercent int32 `msg:"speed_percent,omitempty"` // as in ReplyHead
}
