package trace

import "encoding/json"

// Header is the first line of a trace.
type Header struct {
	Core     string          `json:"core"`  // name of the core, such as roster
	Title    string          `json:"title"` // what the trace shows
	Seed     int64           `json:"seed"`
	Settings json.RawMessage `json:"settings,omitempty"` // settings of the core
}
