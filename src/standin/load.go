package standin

// Load is the answer of a backend server's load endpoint, as JSON.
type Load struct {
	Server   string `json:"server"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Draining bool   `json:"draining"`
}
