package standin

import "time"

// Run is one request that a backend server has begun to run.
type Run struct {
	Server     string        `json:"server"`
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	Token      string        `json:"token"` // of HeaderToken
	Key        string        `json:"key"`   // of HeaderKey
	Start      time.Time     `json:"start"`
	End        time.Time     `json:"end"`            // zero while it runs
	Whole      bool          `json:"whole"`          // ran to its end
	AfterDrain time.Duration `json:"after_drain_ns"` // begun this long after the server began to drain, 0 when it did not
}
