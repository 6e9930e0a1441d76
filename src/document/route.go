package document

// Route configures how requests that match a path prefix and a method are served.
type Route struct {
	Name        string   `toml:"name"`       // unique in the document; the prefix by default
	Prefix      string   `toml:"prefix"`     // matches whole segments of the path: /book matches /book/1, but not /bookings
	Methods     []string `toml:"methods"`    // empty for all
	Targets     []Target `toml:"targets"`    // the document's own service by default; never empty after Parse
	Fallback    string   `toml:"fallback"`   // service that receives calls while no target has a usable backend server, and retries when the target has no other; empty for none
	Timeout     Duration `toml:"timeout"`    // longest duration of one attempt
	Deadline    Duration `toml:"deadline"`   // longest duration of the whole call
	Objective   Duration `toml:"objective"`  // latency within which an answer is wanted, 0 for none; it guides routing and admission but does not end the call
	Idempotent  *bool    `toml:"idempotent"` // nil to decide by method
	Deposit     bool     `toml:"deposit"`    // requests are payments, which are not idempotent; with an idempotency key, each runs at most once
	Priority    Priority `toml:"priority"`
	Retry       Retry    `toml:"retry"`
	Hedge       Hedge    `toml:"hedge"`
	MaxInFlight int      `toml:"max_in_flight"` // maximum number of the route's calls in flight at one daemon, 0 for no limit
	Locality    Locality `toml:"locality"`
	Public      bool     `toml:"-"` // needs no tenant's key where the configuration holds tenants; only in an agent's configuration
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `toml:"service"`
	Weight  int    `toml:"weight"` // relative to the other targets of the route, 0 for no requests
}

// Retry limits the attempts of one call.
type Retry struct {
	Attempts int `toml:"attempts"` // maximum number that may have run, including the first and a hedged one; 1 for no retry of a call that may have run
}

// Hedge configures hedged requests: a second attempt of an idempotent request without a body that has not been answered within After.
type Hedge struct {
	After Duration `toml:"after"` // since the first attempt was sent, 0 for no hedge
}

// IsIdempotent reports whether a request with this method may run twice on this route.
func (r *Route) IsIdempotent(method string) bool {
	if r.Deposit {
		return false
	}
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}
