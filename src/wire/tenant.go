package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:tuple TenantCredit TenantGrant
//msgp:limit arrays:8192 maps:16

// TenantReport tells the granter of quotas what an agent holds and needs. Keys are short since every
// agent sends a few reports each second.
type TenantReport struct {
	Session   uint32         `msg:"s"`           // drawn at random when the agent begins to follow the granter, 0 to ask only whether it answers
	Seq       uint64         `msg:"q"`           // grows with each report of the agent
	Echo      int64          `msg:"e,omitempty"` // TenantGrants.Clock of the last answer in this session, 0 for none
	Version   uint64         `msg:"v,omitempty"` // of the agent's configuration
	Members   uint32         `msg:"n"`           // number of members by which the limits are divided, as the agent knows it
	LeaseMS   uint32         `msg:"l"`           // time for which credit and delegation are valid
	Start     bool           `msg:"b,omitempty"` // no report of this session has been answered
	Delegates bool           `msg:"d,omitempty"` // the agent's part of all limits is at the granter's disposal
	Release   bool           `msg:"r,omitempty"` // ends the session
	Leaves    bool           `msg:"z,omitempty"` // with Release: the agent stops for good, and its part of all limits falls to the others
	Credits   []TenantCredit `msg:"c,omitempty"` // that have changed since the last report that was answered
}

// TenantCredit is an agent's credit of one tenant. The counts are since the start of the session.
type TenantCredit struct {
	Tenant   uint32 `msg:"tenant"`   // hash of the name
	Carried  int64  `msg:"carried"`  // credit that the agent brought into the session
	Spent    int64  `msg:"spent"`    // requests admitted, less those that have not run
	Returned int64  `msg:"returned"` // credit given back unused
	Refused  int64  `msg:"refused"`  // requests that arrived, less Spent: few, so that the number is short
	Waiting  int64  `msg:"waiting"`  // requests that wait for credit now
}

// TenantGrants answers a TenantReport.
type TenantGrants struct {
	Clock   int64         `msg:"e"`           // granter's clock in nanoseconds
	Version uint64        `msg:"v,omitempty"` // of the granter's configuration
	Members uint32        `msg:"n,omitempty"` // number of members by which the limits are divided, 0 unless a majority of them follows the granter
	Granter uint64        `msg:"f,omitempty"` // that a majority follows as far as the answerer knows, 0 for none and for the answerer itself
	Reset   bool          `msg:"x,omitempty"` // the granter does not know the session
	Grants  []TenantGrant `msg:"g,omitempty"`
}

// TenantGrant changes an agent's credit of one tenant.
type TenantGrant struct {
	Tenant  uint32 `msg:"tenant"`
	Issued  int64  `msg:"issued"`   // credit issued since the start of the session
	Return  int64  `msg:"return"`   // credit to give back, if it is still unused
	RetryMS int64  `msg:"retry_ms"` // time until there may be credit for requests that wait and got none, 0 if all got it
}
