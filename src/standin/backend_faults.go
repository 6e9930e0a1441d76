package standin

// BackendFaults are the ways in which a backend server stand-in misbehaves; the zero value behaves well.
type BackendFaults struct {
	SlowFactor        float64 `json:"slow_factor"`         // work takes this many times as long, 0 for once
	AcceptNeverAnswer bool    `json:"accept_never_answer"` // requests run and are never answered
	ShedAll           bool    `json:"shed_all"`            // requests are refused before they run
	FailAll           bool    `json:"fail_all"`            // requests run and are answered with status 500
	LieLoad           bool    `json:"lie_load"`            // the load endpoint says that all slots are free
	Unhealthy         bool    `json:"unhealthy"`           // the health endpoint says 503
	CutAnswers        bool    `json:"cut_answers"`         // answers end in the middle of their body
	RefuseConnections bool    `json:"refuse_connections"`  // new connections are closed at once
	Limit             float64 `json:"limit"`               // requests a second that the answers name as its limit, 0 for none
	ResetWhenFull     bool    `json:"reset_when_full"`     // connections beyond the limit, and those of requests beyond the slots, are reset
	Dead              bool    `json:"dead"`                // nothing runs, every connection is closed
}
