package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:8192 maps:0

// QuarantineReport tells a peer under which requests backend servers have crashed.
type QuarantineReport struct {
	Digest  uint64            `msg:"digest"` // of all that the sender knows, if it asks for what the peer knows; 0 asks for nothing
	Crashes []QuarantineCrash `msg:"crashes"`
	Probes  []QuarantineProbe `msg:"probes,omitempty"`
}

// QuarantineProbe says that a request that is quarantined has run, or is about to run, once more.
type QuarantineProbe struct {
	Content uint64 `msg:"content"`
	Number  int    `msg:"number"` // of its last probe, from 1
}

// QuarantineCrash says that a backend server crashed while it ran a request.
type QuarantineCrash struct {
	ID       uint64 `msg:"id"`       // drawn at random; the same for all requests that ran at that moment
	Content  uint64 `msg:"content"`  // hash of the request's content
	Instance string `msg:"instance"` // that crashed
	AgeMS    int64  `msg:"age_ms"`   // time since the crash
	UsualMS  int64  `msg:"usual_ms"` // time within which the request had been answered before, 0 if it never was
	Cleared  bool   `msg:"cleared"`  // the request is known not to be the cause
}
