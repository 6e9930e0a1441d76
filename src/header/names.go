package header

import "strings"

// Names holds the names of header fields; an empty name stands for a field that is not used.
type Names struct {
	RequestID string // caller's ID of a request, which the backend server echoes
	Deadline  string // milliseconds that the caller, and then the backend server, has left
	Caller    string // service of the VM on which a request began
	Expect    string // incarnation that alone may run a request
	Instance  string // incarnation that answers
	NotRun    string // marks an answer to a request that the backend server has not run
	Load      string // requests running, requests waiting and slots, with commas
	Proof     string // marks an answer that a backend server has made
	Limit     string // requests a second that a backend server takes from all VMs together, as long as its answers name it
	Tenant    string // name of the caller's tenant, set for the backend server
	Leaving   string // "1" in the answers of a backend server that is leaving
	Fractions bool   // Retry-After may carry fractions of a second
}

// Replaces tells whether the daemons set a header field, whatever the caller sent.
func (n Names) Replaces(name string) bool {
	return strings.EqualFold(name, n.Deadline) || (n.Caller != "" && (strings.EqualFold(name, n.Caller) || strings.EqualFold(name, n.Expect)))
}

// IsTenant tells whether a header field names the caller's tenant. The daemons set it where the
// configuration holds tenants, and pass it on unchanged elsewhere.
func (n Names) IsTenant(name string) bool {
	return n.Tenant != "" && strings.EqualFold(name, n.Tenant)
}

// Default returns the names of yuccaport's own interface. Backend servers there say by their health
// endpoint that they are leaving.
func Default() Names {
	return Names{Deadline: "X-Deadline-Ms", NotRun: "X-Not-Run", Limit: "X-Limit-Per-Second"}
}
