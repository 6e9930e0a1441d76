package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:256 maps:0

// RolloutPlan is the record of a rollout in the store. It names its order, so that it can be
// followed without the order's key.
type RolloutPlan struct {
	Order      uint64  `msg:"order"` // ID of the order
	Service    string  `msg:"service"`
	Version    string  `msg:"version"`  // target version
	Revision   uint64  `msg:"revision"` // of the order's key
	DurationMS int64   `msg:"duration_ms"`
	Stage      uint8   `msg:"stage"`
	Share      float64 `msg:"share"`      // of the service's requests for the target version, in the stage shift
	Step       uint32  `msg:"step"`       // number of the record, from 1
	ElapsedMS  int64   `msg:"elapsed_ms"` // from the order to this record
	Reason     string  `msg:"reason"`     // why this record was written

	Earlier []uint64 `msg:"earlier,omitempty"` // IDs of the service's earlier orders, the latest last
}

// RolloutReport is what the daemon beside a backend server reports to the coordinators of a rollout.
type RolloutReport struct {
	Order     uint64         `msg:"order"`
	Service   string         `msg:"service"`
	Member    uint64         `msg:"member"`     // ID of the sender
	Version   string         `msg:"version"`    // of the backend server's software
	ElapsedMS int64          `msg:"elapsed_ms"` // since the order, as the sender knows
	InFlight  int32          `msg:"in_flight"`  // calls that run or wait at the backend server
	Draining  bool           `msg:"draining"`   // the sender refuses new calls for the order's sake
	Stopped   bool           `msg:"stopped"`    // the sender knows that the version has been stopped
	Step      uint32         `msg:"step"`       // of the record that the sender follows, 0 for none
	Routes    []RolloutRoute `msg:"routes"`
}

// RolloutRoute counts the answers of a backend server on one route since its daemon learned of the
// order. Array indexes of two are load classes, low and high.
type RolloutRoute struct {
	Route    string   `msg:"route"`    // empty for all routes beyond the limit
	Answers  []uint32 `msg:"answers"`  // complete answers and failures, by load class
	Failures []uint32 `msg:"failures"` // among Answers
	First    uint8    `msg:"first"`    // duration class of the first element of Low, High and Cut
	Low      []uint32 `msg:"low"`      // answers of a warm server by duration class, at low load
	High     []uint32 `msg:"high"`     // the same at high load
	Cut      []uint32 `msg:"cut"`      // calls given up by their callers by the duration class reached
}

// RolloutReply answers a RolloutReport.
type RolloutReply struct {
	Order     uint64  `msg:"order"`
	Stage     uint8   `msg:"stage"`
	Share     float64 `msg:"share"`
	Step      uint32  `msg:"step"` // of the record that the coordinator knows, 0 for none
	ElapsedMS int64   `msg:"elapsed_ms"`
	Permit    bool    `msg:"permit"`  // the sender's backend server may run calls of the order for Gate's permit time from when the report was sent
	Stopped   bool    `msg:"stopped"` // the version has been stopped, whatever the record says
}
